#pragma once

#include "fakes/FakeNetwork.h"
#include "fakes/FakeStore.h"
#include "fakes/FleetSettings.h"
#include "fakes/TaskConnections.h"
#include "history/checker/History.h"
#include "rattanroad_core/random/PcgRandomSource.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace rattanroad {

/** One process of an entry host: the engine with the loop turns, connections and store calls that the daemon would give
    it. A frozen process does nothing; what arrives meanwhile is handled at the thaw.
*/
class HostProcess : public std::enable_shared_from_this<HostProcess> {
public:
    struct Environment {
        EventQueue& queue;
        FakeNetwork& network;
        FakeTargets& targets;
        FakeStore& store;
        const FleetSettings& settings;
        const std::unordered_map<std::string, std::size_t>& targetNumbers;
        /** May be null. */
        History* history;
    };
    /** Gets the answer, or null when the connection broke before it. */
    using CallDone = std::function<void(const JobAnswer*)>;
    using Input = std::function<void(EntryHost&)>;

    static std::shared_ptr<HostProcess> start(
        const Environment& environment, std::size_t host, std::uint32_t startNumber, std::uint64_t seed);
    HostProcess(const HostProcess&) = delete;
    HostProcess& operator=(const HostProcess&) = delete;

    /** Runs @p input now or at the thaw; drops it when the process has ended. */
    void input(Input input);
    /** A caller's request that arrives now; @p done is called once per answer or once at the end of the process. */
    void call(const std::function<void(EntryHost&, AnswerCallback)>& request, CallDone done);
    void setFrozen(bool isFrozen);
    /** Ends the process; graceful means exit status 0. */
    void end(bool isGraceful);

    bool isAlive() const { return m_engine != nullptr; }
    bool isFrozen() const { return m_isFrozen; }
    /** @pre isAlive() */
    EntryHost& engine() { return *m_engine; }
    /** Name of the process in the history, "<host>#<start number>". */
    const std::string& name() const { return m_name; }
    const Place& place() const { return m_environment.settings.hosts[m_host]; }
    /** Highest revision that the store offered to this process. */
    Revision offered;

private:
    struct Call {
        CallDone done;
    };

    HostProcess(const Environment& environment, std::size_t host, std::uint32_t startNumber, std::uint64_t seed);
    void begin();
    EntryHostHooks hooks();
    void changeView(const ViewChange& change);
    void registerKeyHome();
    void pullConfiguration(const HostId& from, Revision revision);
    void configurationMessage(const Member& from, const protocol::Envelope& envelope);
    void scheduleTurn();
    void turn();
    void scheduleTick();
    void tick(TimePoint scheduledFor);
    void observe();
    void record(HistoryEvent::Kind kind, std::uint64_t revision = 0, bool isSuccess = false);

    Environment m_environment;
    std::size_t m_host;
    Incarnation m_incarnation;
    std::string m_name;
    PcgRandomSource m_random;
    std::shared_ptr<TaskConnections> m_connections;
    std::unique_ptr<EntryHost> m_engine;
    std::set<std::shared_ptr<Call>> m_calls;
    std::vector<Input> m_inbox;
    bool m_isFrozen { false };
    bool m_isTurnScheduled { false };
    bool m_isEnding { false };
    TimePoint m_tickAt { TimePoint::max() };
    Revision m_seenRevision;
};

}
