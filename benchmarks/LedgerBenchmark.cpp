// Measures what the journal costs: processor time per start at the owner and at the backup, and memory per retained
// submission, for two job sizes. Prints rows for docs/CAPACITY.md.
#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_ledger/rattanroad_ledger.h"

#include <cstdio>
#include <deque>
#include <malloc.h>

using namespace rattanroad;

namespace {

constexpr std::size_t payloadBytes = 200;
constexpr std::size_t resultBytes = 100;

/** Owner and backup in one process; messages wait in queues so that the time of each side is taken apart. */
class Pair {
public:
    Pair()
        : m_owner(settings("owner", 1), m_clock, m_random, hooks(m_toBackup))
        , m_backup(settings("backup", 2), m_clock, m_random, hooks(m_toOwner))
    {
        m_owner.setLivePeers({ { HostId("backup"), Incarnation(2) } });
        m_backup.setLivePeers({ { HostId("owner"), Incarnation(1) } });
    }

    void run(std::size_t taskCount)
    {
        const auto id = m_owner.mintIds(1).front();
        std::size_t permitted = 0;
        timed(ownerTime, [&] {
            m_owner.accept(id, job(taskCount));
            for (std::uint32_t task = 0; task < taskCount; ++task) {
                m_owner.requestStart(id, TaskIndex(task), AttemptNumber(1), TargetId("runner-17"),
                    [&](SubmissionLedger::StartVerdict) { ++permitted; });
            }
        });
        exchange();
        timed(ownerTime, [&] {
            for (std::uint32_t task = 0; task < taskCount; ++task) {
                protocol::TaskOutcome outcome;
                outcome.set_succeeded(true);
                outcome.set_result(std::string(resultBytes, 'r'));
                m_owner.recordOutcome(id, TaskIndex(task), AttemptNumber(1), false, std::move(outcome));
            }
            m_owner.seal(id, true, std::nullopt, {});
        });
        exchange();
        starts += permitted;
    }

    double ownerTime { 0 };
    double backupTime { 0 };
    std::size_t starts { 0 };
    std::uint64_t bytes { 0 };

private:
    struct Message {
        protocol::Envelope envelope;
    };
    using Queue = std::deque<Message>;

    static SubmissionLedger::Settings settings(const char* host, std::uint64_t incarnation)
    {
        SubmissionLedger::Settings settings;
        settings.self = HostId(host);
        settings.failureDomain = FailureDomainId("remera");
        settings.incarnation = Incarnation(incarnation);
        return settings;
    }

    static SubmissionLedger::Hooks hooks(Queue& queue)
    {
        SubmissionLedger::Hooks hooks;
        hooks.sendToPeer
            = [&queue](const HostId&, protocol::Envelope&& message) { queue.push_back({ std::move(message) }); };
        hooks.changeView = [](const ViewChange&) {};
        hooks.recovered = [](RecoveredSubmission&&) {};
        hooks.superseded = [](const SegmentKey&, const SegmentView&) {};
        hooks.standingChanged = [](const SegmentKey&) {};
        return hooks;
    }

    static protocol::JobDescription job(std::size_t taskCount)
    {
        protocol::JobDescription job;
        job.set_team("desk");
        job.set_deadline_left_ms(5000);
        for (std::size_t task = 0; task < taskCount; ++task) {
            auto& description = *job.add_tasks();
            description.set_kind("quote");
            description.set_payload(std::string(payloadBytes, 'p'));
        }
        return job;
    }

    template <typename Action> static void timed(double& total, Action action)
    {
        const auto begin = std::chrono::steady_clock::now();
        action();
        total += std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
    }

    void exchange()
    {
        for (int round = 0; round < 4; ++round) {
            timed(ownerTime, [&] { m_owner.flush(); });
            timed(backupTime, [&] {
                for (; !m_toBackup.empty(); m_toBackup.pop_front()) {
                    bytes += m_toBackup.front().envelope.ByteSizeLong();
                    m_backup.peerMessage(HostId("owner"), Incarnation(1), m_toBackup.front().envelope);
                }
                m_backup.flush();
            });
            timed(ownerTime, [&] {
                for (; !m_toOwner.empty(); m_toOwner.pop_front()) {
                    bytes += m_toOwner.front().envelope.ByteSizeLong();
                    m_owner.peerMessage(HostId("backup"), Incarnation(2), m_toOwner.front().envelope);
                }
            });
        }
    }

    VirtualClock m_clock;
    PcgRandomSource m_random { 1 };
    Queue m_toBackup;
    Queue m_toOwner;
    SubmissionLedger m_owner;
    SubmissionLedger m_backup;
};

void measure(std::size_t taskCount, std::size_t jobs)
{
    Pair pair;
    pair.run(taskCount);
    const auto before = mallinfo2().uordblks;
    pair.ownerTime = pair.backupTime = 0;
    pair.starts = pair.bytes = 0;
    for (std::size_t job = 0; job < jobs; ++job)
        pair.run(taskCount);
    const auto starts = static_cast<double>(pair.starts);
    std::printf("%4zu tasks a job, %6zu jobs: owner %.2f us, backup %.2f us and %.0f bytes on the wire per start; "
                "%.0f bytes retained per job on both\n",
        taskCount, jobs, pair.ownerTime / starts, pair.backupTime / starts, static_cast<double>(pair.bytes) / starts,
        static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(jobs));
}

}

int main()
{
    std::printf("payload %zu bytes, result %zu bytes a task\n", payloadBytes, resultBytes);
    measure(1, 20000);
    measure(10, 5000);
    measure(100, 1000);
    return 0;
}
