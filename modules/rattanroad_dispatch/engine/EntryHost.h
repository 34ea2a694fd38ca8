#pragma once

#include "rattanroad_admission/rattanroad_admission.h"
#include "rattanroad_configuration/rattanroad_configuration.h"
#include "rattanroad_dispatch/engine/JobRunner.h"
#include "rattanroad_dispatch/job/JobTypes.h"
#include "rattanroad_ledger/rattanroad_ledger.h"
#include "rattanroad_membership/rattanroad_membership.h"
#include "rattanroad_routing/rattanroad_routing.h"

#include <functional>
#include <memory>
#include <vector>

namespace rattanroad {

/** What the engine does to the outside. */
struct EntryHostHooks {
    /** Sends a message to the peer socket at @p address; loss, delay, duplication and reordering are tolerated. */
    std::function<void(const std::string& address, protocol::Envelope&&)> sendToPeer;
    /** Sends the task to its target; EntryHost::taskResult() must follow exactly once. */
    std::function<void(const TaskStart&)> startTask;
    /** Closes the request of a task that nobody waits for any more; taskResult() still follows. */
    std::function<void(const TaskKey&)> cancelTask;
    /** Writes a view change to the store; EntryHost::viewChangeResult() must follow. */
    std::function<void(const ViewChange&)> changeView;
    /** A new configuration revision is in force on this host. May be empty. */
    std::function<void(const ConfigurationValue&)> configurationInstalled;
    /** A hop of a sampled trace has ended. May be empty. */
    std::function<void(const SpanRecord&)> recordSpan;
    /** A peer sent a configuration message (pull or push); answered outside of the engine. May be empty. */
    std::function<void(const Member& from, const protocol::Envelope&)> configurationMessage;
    /** A heartbeat showed @p revision at @p from. May be empty. */
    std::function<void(const HostId& from, Revision revision)> revisionSeen;
    /** The set of live members changed. May be empty. */
    std::function<void()> membersChanged;
};

struct EntryHostSettings {
    MemberTable::Settings membership;
    SubmissionLedger::Settings ledger;
    SlotKeeper::Settings keeper;
    SlotBorrower::Settings borrower;
    AdmissionControl::Settings admission;
    RetryPolicy::Settings retry;
    /** Wait for the answer of another host beyond the job's deadline before the outcome counts as unknown. */
    Duration forwardGrace { std::chrono::milliseconds(500) };
    /** Longest wait for the answer to a query or a cancellation. */
    Duration queryTimeout { std::chrono::seconds(5) };
    /** Memory for answers of finished submissions. */
    ByteCount answerCacheSize { 64U << 20U };
    JobRunner::Settings runner;
};

/** One entry host without its sockets: accepts, admits, routes, starts and answers jobs.

    Composes membership, configuration, ledger, routing and admission. All inputs come from one thread; every effect
   goes out through a hook, so the same code runs in the daemon, in an embedding program and on a virtual clock. After
   each batch of inputs the caller runs flush(), and tick() no later than nextWakeup().
    @see docs/design.md
*/
class EntryHost {
public:
    EntryHost(EntryHostSettings settings, Clock& clock, RandomSource& random, EntryHostHooks hooks);
    ~EntryHost();
    EntryHost(const EntryHost&) = delete;
    EntryHost& operator=(const EntryHost&) = delete;

    /** Mints ids that callers may use for later submissions. */
    std::vector<SubmissionId> mintIds(std::size_t count);

    /** Runs a job, or joins the submission with the same id or key if there is one. @p answer is called exactly once,
       with a complete answer or a failure, unless the engine is destroyed first.
    */
    void submit(JobRequest request, AnswerCallback answer);
    /** Like submit(), but @p accepted is called as soon as the job is journaled by all members, with isInProgress set,
       or with a failure; the result is fetched with query().
    */
    void submitAsynchronously(JobRequest request, AnswerCallback accepted);
    /** Answers what is known of a submission at once: complete, in progress or failed. */
    void query(const SubmissionId& id, AnswerCallback answer);
    /** Cancels a submission: nothing of it starts any more. The submitter's answer is a failure of type cancelled whose
       run state tells what happened; @p answer gets the same.
    */
    void cancel(const SubmissionId& id, AnswerCallback answer);

    /** Handles a message from another entry host. */
    void peerMessage(const protocol::Envelope& envelope);
    /** Sends a message to a live entry host, with this host's name on it; dropped when the host is not alive. */
    void sendToHost(const HostId& host, protocol::Envelope&& envelope);
    void taskResult(TaskResult result);
    void viewChangeResult(const ViewChangeResult& result);

    /** Offers a configuration that came from the store; older revisions are ignored. */
    void offerConfiguration(ConfigurationValue value);
    /** Sets what the platform's list says about targets that are leaving. */
    void setLeavingTargets(const std::set<TargetId>& leaving);

    /** Stops taking work; everything in progress is finished. */
    void beginDrain();
    bool isDraining() const;
    /** Returns whether everything in progress has ended and all segments are released. */
    bool isDrained() const;

    void flush();
    void tick();
    TimePoint nextWakeup() const;

    const ConfigurationHolder& configuration() const;
    const MemberTable& members() const;
    /** Returns the targets that this host keeps now. */
    const std::vector<TargetId>& keptTargets() const;

    struct Statistics {
        std::uint64_t jobsAccepted { 0 };
        std::uint64_t jobsCompleted { 0 };
        std::uint64_t jobsFailed { 0 };
        std::uint64_t jobsRefused { 0 };
        std::uint64_t jobsJoined { 0 };
        std::uint64_t tasksStarted { 0 };
        std::uint64_t tasksSucceeded { 0 };
        std::uint64_t tasksFailed { 0 };
        std::uint64_t tasksRetried { 0 };
        std::uint64_t messagesSent { 0 };
        std::size_t jobsActive { 0 };
        std::size_t tasksQueued { 0 };
        SubmissionLedger::Statistics ledger;
        SlotKeeper::Statistics keeper;
        SlotBorrower::Statistics borrower;
        MemberTable::Statistics members;
    };
    Statistics statistics() const;
    std::vector<SlotKeeper::TargetStatus> targets() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
