#pragma once

#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_ledger/rattanroad_ledger.h"

#include <array>
#include <deque>
#include <map>
#include <set>

/** Several ledgers on a virtual clock with a faulty network, a faulty store and hosts that die, pause and restart, all
    chosen by a seed. Checks the guarantees at every start and every "not run".
*/
class SimulatedFleet {
public:
    SimulatedFleet(std::uint64_t seed, bool isTraced);
    ~SimulatedFleet();

    /** Runs the seed and returns the violations, empty when there are none. */
    std::string run();
    const std::string& trace() const { return m_trace; }
    std::uint64_t starts() const { return m_startCount; }
    std::uint64_t takeovers() const { return m_takeovers; }

private:
    static constexpr std::size_t hostCount = 4;
    static rattanroad::HostId hostName(std::size_t index)
    {
        return rattanroad::HostId(std::string(1, static_cast<char>('a' + index)));
    }
    static std::string text(const rattanroad::SubmissionId& id, std::uint32_t task);
    using SubmissionId = rattanroad::SubmissionId;
    using Task = std::pair<SubmissionId, std::uint32_t>;
    using Action = std::function<void()>;

    /** What the engine of one process knows of a submission. */
    struct Job {
        std::vector<bool> isStarted;
        std::size_t tasksLeft { 0 };
        bool isSealed { false };
    };
    struct Process {
        std::size_t host { 0 };
        rattanroad::Incarnation incarnation;
        bool isFrozen { false };
        std::deque<Action> inbox;
        std::map<SubmissionId, Job> jobs;
        std::size_t openVerdicts { 0 };
        std::array<rattanroad::TimePoint, hostCount> lastHeard;
        std::array<rattanroad::Incarnation, hostCount> heardIncarnation;
        std::unique_ptr<rattanroad::PcgRandomSource> random;
        std::unique_ptr<rattanroad::SubmissionLedger> ledger;
    };
    enum class StoreState {
        Up,
        Slow,
        Down,
    };

    std::uint64_t below(std::uint64_t bound) { return m_random.below(bound); }
    bool isChance(std::uint64_t percent) { return below(100) < percent; }
    rattanroad::Duration milliseconds(std::uint64_t from, std::uint64_t to);
    void at(rattanroad::Duration delay, Action action);
    void trace(const std::string& line);
    void violation(const std::string& text);

    void startProcess(std::size_t host);
    /** Runs @p action in the process after @p delay if it still lives; keeps it back while the process is frozen. */
    void inProcess(const Process& process, rattanroad::Duration delay, std::function<void(Process&)> action);
    void turn(Process& process, const std::function<void(Process&)>& action);
    void send(std::size_t from, std::size_t to, const std::function<void(Process&)>& deliver);
    void pollMembers(Process& process);
    void tickLoop(const Process& process);
    void changeView(Process& process, const rattanroad::ViewChange& change);
    rattanroad::ViewChangeResult executeAtStore(const rattanroad::ViewChange& change);

    void submitLoop();
    void submit(Process& process, const SubmissionId& id, int hops);
    void runJob(Process& process, const SubmissionId& id);
    void requestStart(Process& process, const SubmissionId& id, std::uint32_t task, std::uint32_t attempt);
    void permitted(Process& process, const SubmissionId& id, std::uint32_t task, std::uint32_t attempt);
    void taskEnded(Process& process, const SubmissionId& id, std::uint32_t task, std::uint32_t attempt);
    void seal(Process& process, const SubmissionId& id, bool isComplete);
    void recovered(Process& process, const rattanroad::RecoveredSubmission& submission);
    void superseded(Process& process, const rattanroad::SegmentKey& segment);

    void faultLoop();
    void injectFault();
    void kill(std::size_t host);
    void freeze(Process& process);
    void thaw(Process& process);
    void cutLinks(std::size_t host);
    void heal();
    void checkProgress();

    rattanroad::VirtualClock m_clock;
    rattanroad::PcgRandomSource m_random;
    bool m_isTraced;
    bool m_isHealed { false };
    std::size_t m_backupCount;
    rattanroad::TimePoint m_startedAt;
    std::multimap<rattanroad::TimePoint, Action> m_events;
    std::array<std::unique_ptr<Process>, hostCount> m_hosts;
    std::array<std::array<bool, hostCount>, hostCount> m_isCut {};
    std::array<bool, hostCount> m_isCutFromStore {};
    StoreState m_store { StoreState::Up };
    std::map<rattanroad::SegmentKey, rattanroad::SegmentView> m_views;
    std::uint64_t m_nextIncarnation { 1 };
    std::vector<SubmissionId> m_ids;
    std::set<Task> m_started;
    std::set<Task> m_notRun;
    /** Per segment the process that was allowed to start without anyone's acknowledgement. */
    std::map<rattanroad::SegmentKey, rattanroad::Incarnation> m_soleOwners;
    std::uint64_t m_startCount { 0 };
    std::uint64_t m_takeovers { 0 };
    std::string m_violations;
    std::string m_trace;
};
