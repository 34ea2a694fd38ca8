#pragma once

#include "fakes/HostProcess.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanroad {

/** Entry hosts with their network, store, targets and callers' connections on one virtual clock. What callers, targets
    and operators see goes into the history, when there is one.
*/
class Fleet {
public:
    Fleet(FleetSettings settings, EventQueue& queue, std::uint64_t seed, History* history);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /** Starts all hosts and installs the inventory as revision 1. */
    void start();

    using CallDone = HostProcess::CallDone;
    /** Requests travel to @p host with the callers' latency; @p done gets null when the connection breaks. */
    void submit(std::size_t host, JobRequest request, CallDone done);
    void cancel(std::size_t host, const SubmissionId& id, CallDone done);
    /** Returns ids fetched ahead by a caller; empty when the host cannot answer now. */
    std::vector<SubmissionId> mintIds(std::size_t host, std::size_t count);

    void kill(std::size_t host);
    /** Starts a new process of a host that has none. */
    void restart(std::size_t host);
    void setFrozen(std::size_t host, bool isFrozen);
    void drain(std::size_t host);

    /** Cuts both directions between two failure domains, or one. FailureDomainId("store") is the store. */
    void cut(const FailureDomainId& from, const FailureDomainId& to, bool isOneWay);
    void healCuts();

    /** The platform lists the target as leaving, or not any more; hosts learn of it a little later. */
    void setLeaving(std::size_t target, bool isLeaving);
    /** An operator writes the next revision after the one it read; several may race. */
    void writeConfiguration(const std::string& author);

    bool isAlive(std::size_t host) const { return m_hosts[host]->isAlive(); }
    bool isFrozen(std::size_t host) const { return m_hosts[host]->isFrozen(); }
    /** Name of the present process of the host, as in the history. */
    const std::string& processName(std::size_t host) const { return m_hosts[host]->name(); }
    /** @pre isAlive(host) */
    EntryHost& engine(std::size_t host) { return m_hosts[host]->engine(); }
    std::size_t hostCount() const { return m_hosts.size(); }
    const FleetSettings& settings() const { return m_settings; }

    EventQueue& queue() { return m_queue; }
    FakeNetwork& network() { return m_network; }
    FakeTargets& targets() { return m_targets; }
    FakeStore& store() { return m_store; }

    /** Adds an event at the present time to the history, when there is one. */
    void record(HistoryEvent event);

private:
    void call(std::size_t host, std::function<void(EntryHost&, AnswerCallback)> request, CallDone done);
    FakeTargets::Hooks targetHooks();
    HostProcess::Environment environment();
    void watch();
    void offerTo(HostProcess& process, const ConfigurationValue& value);
    void recordIsolation(const FailureDomainId& domain, bool isReachable);

    FleetSettings m_settings;
    EventQueue& m_queue;
    PcgRandomSource m_random;
    History* m_history;
    std::unordered_map<std::string, std::size_t> m_targetNumbers;
    FakeNetwork m_network;
    FakeTargets m_targets;
    FakeStore m_store;
    std::vector<std::shared_ptr<HostProcess>> m_hosts;
    std::vector<std::uint32_t> m_startNumbers;
    std::set<TargetId> m_leaving;
    std::set<FailureDomainId> m_isolated;
    std::uint64_t m_nextChange { 1 };
};

}
