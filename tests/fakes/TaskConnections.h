#pragma once

#include "fakes/FakeNetwork.h"
#include "fakes/FakeTargets.h"
#include "rattanroad_dispatch/rattanroad_dispatch.h"

#include <functional>
#include <map>
#include <memory>
#include <tuple>
#include <unordered_map>

namespace rattanroad {

/** The HTTP client of one host process: carries task starts to the targets and their answers back, with latencies, cuts
    and the client's timeout at the task's deadline.
*/
class TaskConnections : public std::enable_shared_from_this<TaskConnections> {
public:
    struct Environment {
        EventQueue& queue;
        FakeNetwork& network;
        FakeTargets& targets;
        const std::unordered_map<std::string, std::size_t>& targetNumbers;
    };
    using ResultCallback = std::function<void(TaskResult)>;

    /** @p finished is called once per start, unless closeAll() came first. */
    TaskConnections(Environment environment, Place place, bool areRejectionsProof, ResultCallback finished);

    void start(const TaskStart& start);
    /** Closes the request; its result is SlotUse::Unknown. */
    void cancel(const TaskKey& key);
    /** The process died: targets go on with what they run, nobody gets the answers. */
    void closeAll();

private:
    struct Attempt {
        TaskKey key;
        std::size_t target { 0 };
        std::uint64_t run { 0 };
        TimePoint sentAt;
        bool isFinished { false };
    };
    using AttemptPointer = std::shared_ptr<Attempt>;
    using KeyParts = std::tuple<SubmissionId, TaskIndex, AttemptNumber>;

    static KeyParts parts(const TaskKey& key) { return { key.submission, key.task, key.attempt }; }
    void arrive(const AttemptPointer& attempt, const std::string& payload);
    void answered(const AttemptPointer& attempt, const FakeTargets::Outcome& outcome);
    void giveUp(const AttemptPointer& attempt, SlotUse use, const char* detail);
    void finish(const AttemptPointer& attempt, SlotUse use, std::string result, std::string detail);
    const Place& placeOf(const Attempt& attempt) const;
    Duration latencyTo(const Attempt& attempt) const;

    Environment m_environment;
    Place m_place;
    bool m_areRejectionsProof;
    ResultCallback m_finished;
    std::map<KeyParts, AttemptPointer> m_attempts;
};

}
