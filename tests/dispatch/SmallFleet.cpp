#include "dispatch/SmallFleet.h"

#include <algorithm>
#include <cctype>

namespace rattanroad {

namespace {

    constexpr Duration step = std::chrono::milliseconds(1);

    ConfigurationValue configuration(std::size_t hostCount, std::size_t targetCount)
    {
        Inventory::Parts parts;
        parts.failureDomains.push_back({ FailureDomainId("remera"), RegionId("kigali") });
        for (std::size_t number = 0; number < targetCount; ++number) {
            const auto name = std::to_string(number);
            parts.workers.push_back(
                { WorkerId("w" + name), FailureDomainId("remera"), RackId("r1"), { 32, MebibyteCount(1024), 0 } });
            Target target;
            target.id = TargetId("t" + name);
            target.worker = WorkerId("w" + name);
            target.address = "127.0.0.1:" + std::to_string(9000 + number);
            target.path = "/run";
            target.kinds = { WorkKind("quote") };
            target.slots = SlotCount(8);
            target.connections = ConnectionCount(64);
            parts.targets.push_back(target);
        }
        parts.teams.push_back({ TeamId("desk"), SlotCount(0), 1 });
        for (std::size_t number = 0; number < hostCount; ++number)
            parts.entryHosts.push_back({ HostId("remera-" + std::to_string(number)), FailureDomainId("remera") });
        ConfigurationValue value;
        value.revision = Revision(1);
        value.inventory = *Inventory::create(std::move(parts));
        return value;
    }

}

SmallFleet::SmallFleet(std::size_t hostCount, std::size_t targetCount)
{
    target = [](const TaskStart& start) {
        TaskResult result;
        result.use = SlotUse::Succeeded;
        result.result = start.payload;
        std::transform(result.result.begin(), result.result.end(), result.result.begin(),
            [](unsigned char character) { return std::toupper(character); });
        return result;
    };
    for (std::size_t index = 0; index < hostCount; ++index) {
        EntryHostSettings settings;
        auto& self = settings.membership.self;
        self.host = HostId("remera-" + std::to_string(index));
        self.incarnation = Incarnation(1000 + index);
        self.failureDomain = FailureDomainId("remera");
        self.region = RegionId("kigali");
        self.rack = RackId("r" + std::to_string(index));
        self.address = "127.0.0.1:" + std::to_string(7000 + index);
        if (index > 0)
            settings.membership.seedAddresses = { m_hosts.front().address };
        settings.ledger.self = self.host;
        settings.ledger.failureDomain = self.failureDomain;
        settings.ledger.incarnation = self.incarnation;
        settings.borrower.self = self.host;
        Host host;
        host.address = self.address;
        host.engine = std::make_unique<EntryHost>(settings, m_clock, m_random, hooks(index));
        m_hosts.push_back(std::move(host));
        m_hosts.back().engine->offerConfiguration(configuration(hostCount, targetCount));
    }
    runFor(std::chrono::seconds(3));
}

EntryHostHooks SmallFleet::hooks(std::size_t index)
{
    EntryHostHooks hooks;
    hooks.sendToPeer = [this](const std::string& address, protocol::Envelope&& envelope) {
        m_events.schedule(m_clock.now() + step, [this, address, envelope] { deliver(address, envelope); });
    };
    hooks.startTask = [this, index](const TaskStart& start) {
        ++starts[start.key.submission.text() + "/" + std::to_string(start.key.task.value())];
        auto result = target(start);
        result.key = start.key;
        result.ran = taskTime;
        m_events.schedule(m_clock.now() + taskTime, [this, index, result] {
            if (m_hosts[index].engine)
                m_hosts[index].engine->taskResult(result);
        });
    };
    hooks.cancelTask = [](const TaskKey&) {};
    hooks.changeView = [this, index](const ViewChange& change) {
        auto& stored = m_views[change.segment];
        ViewChangeResult result { change.segment, ViewChangeResult::Kind::Lost, stored };
        if (stored.epoch == change.expectedEpoch) {
            stored = change.next;
            result = { change.segment, ViewChangeResult::Kind::Won, stored };
        }
        m_events.schedule(m_clock.now() + step, [this, index, result] {
            if (m_hosts[index].engine)
                m_hosts[index].engine->viewChangeResult(result);
        });
    };
    return hooks;
}

void SmallFleet::deliver(const std::string& address, const protocol::Envelope& envelope)
{
    for (auto& host : m_hosts) {
        if (host.address == address && host.engine)
            host.engine->peerMessage(envelope);
    }
}

void SmallFleet::runFor(Duration duration)
{
    const auto end = m_clock.now() + duration;
    while (m_clock.now() < end) {
        m_clock.advance(step);
        m_events.runDue(m_clock.now());
        for (auto& host : m_hosts) {
            if (!host.engine)
                continue;
            host.engine->flush();
            if (host.engine->nextWakeup() <= m_clock.now())
                host.engine->tick();
        }
    }
}

bool SmallFleet::runUntil(const std::function<bool()>& condition)
{
    for (int round = 0; round < 10000 && !condition(); ++round)
        runFor(step);
    return condition();
}

protocol::JobDescription SmallFleet::job(std::size_t taskCount, std::uint32_t deadlineMs)
{
    protocol::JobDescription job;
    job.set_team("desk");
    job.set_deadline_left_ms(deadlineMs);
    for (std::size_t number = 0; number < taskCount; ++number) {
        auto* task = job.add_tasks();
        task->set_kind("quote");
        task->set_payload("brim-" + std::to_string(number));
        task->set_declared_ms(100);
    }
    return job;
}

}
