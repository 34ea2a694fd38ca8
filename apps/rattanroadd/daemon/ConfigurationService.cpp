#include "daemon/ConfigurationService.h"

#include <algorithm>

namespace rattanroad::daemon {

namespace {
    ConfigurationDistributor::Settings distributorSettings(const Member& self)
    {
        ConfigurationDistributor::Settings settings;
        settings.self = self.host;
        settings.incarnation = self.incarnation;
        return settings;
    }
}

ConfigurationService::ConfigurationService(
    const Member& self, Clock& clock, RandomSource& random, platform::StoreClient& store, Hooks hooks)
    : m_self(self)
    , m_clock(clock)
    , m_random(random)
    , m_storeClient(store)
    , m_store(store)
    , m_hooks(std::move(hooks))
    , m_holder([this](const ConfigurationValue& value) { m_hooks.installed(value); })
    , m_distributor(m_holder, distributorSettings(self), clock, random, distributorHooks())
{
}

ConfigurationDistributor::Hooks ConfigurationService::distributorHooks()
{
    ConfigurationDistributor::Hooks hooks;
    hooks.store.get = [this](const StoreGet& request) {
        m_store.get(request, [this](const StoreGetAnswer& answer) { m_distributor.handleGetAnswer(answer); });
    };
    hooks.store.startWatch = [this](const StoreWatch& request) {
        m_store.startWatch(request, [this](const StoreWatchEvent& event) { m_distributor.handleWatchEvent(event); });
    };
    hooks.store.stopWatch = [this](StoreWatchId watch) { m_store.stopWatch(watch); };
    hooks.sendToPeer = m_hooks.sendToPeer;
    return hooks;
}

void ConfigurationService::apply(ConfigurationChange change, ApplyCallback callback)
{
    // Store requests keep the operation alive, since their answers may arrive after it has finished.
    const auto weakOperation = std::make_shared<std::weak_ptr<ApplyOperation>>();
    ApplyOperation::Hooks hooks;
    hooks.get = [this, weakOperation](const StoreGet& request) {
        m_store.get(request, [operation = weakOperation->lock()](const StoreGetAnswer& answer) {
            if (operation)
                operation->handleGetAnswer(answer);
        });
    };
    hooks.putIf = [this, weakOperation](const StorePutIf& request) {
        m_store.putIf(request, [operation = weakOperation->lock()](const StorePutIfAnswer& answer) {
            if (operation)
                operation->handlePutIfAnswer(answer);
        });
    };
    hooks.finished = [this, callback = std::move(callback)](const ApplyOperation::Outcome& outcome) {
        if (outcome && outcome->value)
            m_holder.offer(*outcome->value);
        callback(outcome);
    };
    const auto operation = std::make_shared<ApplyOperation>(
        std::move(change), ApplyOperation::Settings(), m_clock, m_random, std::move(hooks));
    *weakOperation = operation;
    m_operations.push_back(operation);
    operation->start();
}

void ConfigurationService::readHistory(HistoryCallback callback)
{
    m_storeClient.getPrefix(
        ConfigurationKeys::historyPrefix(), [callback = std::move(callback)](const platform::StoreReadResult& result) {
            if (result.outcome != platform::StoreOutcome::Done) {
                callback(Failure { FailureCode::StoreUnavailable, RunState::NotRun, result.detail });
                return;
            }
            std::string array = "[";
            for (const platform::StoreEntry& entry : result.entries)
                array += (array.size() > 1 ? "," : "") + entry.value;
            callback(array + "]");
        });
}

void ConfigurationService::setMembers(const std::vector<Member>& live)
{
    std::vector<HostId> sameDomain { m_self.host };
    std::vector<HostId> otherDomains;
    for (const Member& member : live)
        (member.failureDomain == m_self.failureDomain ? sameDomain : otherDomains).push_back(member.host);
    m_distributor.setMembers(
        rendezvousOrder(ConfigurationDistributor::rankingKey(), std::move(sameDomain)), otherDomains);
}

void ConfigurationService::heartbeatRevision(const HostId& host, Revision revision)
{
    m_distributor.handleHeartbeatRevision(host, revision);
}

void ConfigurationService::peerMessage(const protocol::Envelope& envelope)
{
    m_distributor.handlePeerMessage(envelope);
}

void ConfigurationService::tick()
{
    m_distributor.tick();
    for (const auto& operation : m_operations)
        operation->tick();
    m_operations.remove_if([](const auto& operation) { return operation->isFinished(); });
}

TimePoint ConfigurationService::nextWakeup() const
{
    TimePoint wakeup = m_distributor.nextWakeup();
    for (const auto& operation : m_operations)
        wakeup = std::min(wakeup, operation->nextWakeup());
    return wakeup;
}

ConfigurationDistributor::Statistics ConfigurationService::statistics() const { return m_distributor.statistics(); }

}
