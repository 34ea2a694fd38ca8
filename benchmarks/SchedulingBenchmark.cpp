// Measures the decisions about order and refusal with 100, 1,000 and 10,000 waiting jobs: the time of one admission, of
// adding a job to the queue and removing it, and of the first job of a pass.
#include "rattanroad_shards/scheduling/Admission.h"
#include "rattanroad_shards/scheduling/ScheduleOrder.h"

#include <cstdio>
#include <random>

using namespace rattanroad;
using namespace rattanroad::shards;

namespace {

constexpr int repetitions = 20000;

WaitingJob waitingJob(const std::string& id, std::mt19937& random)
{
    WaitingJob job;
    job.id = JobId(id);
    job.priority = random() % 3;
    job.softDeadline = TimePoint(std::chrono::hours(10)) + std::chrono::microseconds(random() % 1500000);
    job.latestStart = job.softDeadline - std::chrono::milliseconds(100);
    job.lateAt = job.latestStart;
    job.work = 1 + random() % 10000000;
    job.smallestTask = 13000 + random() % 11000;
    return job;
}

template <typename Action> double nanosecondsOf(const Action& action)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < repetitions; ++i)
        action();
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / repetitions;
}

}

int main()
{
    const TimePoint now { std::chrono::hours(9) };
    for (const int size : { 100, 1000, 10000 }) {
        std::mt19937 random(1);
        WorkQueue queue;
        for (int i = 0; i < size; ++i)
            queue.set(waitingJob("job-" + std::to_string(i), random));
        const Admission admission({});
        std::size_t accepted = 0;
        const double admit = nanosecondsOf([&] {
            const TimePoint deadline
                = TimePoint(std::chrono::hours(10)) + std::chrono::microseconds(random() % 1500000);
            Admission::Figures figures;
            figures.workBefore = queue.workBefore(2, deadline);
            figures.workOfPriority = queue.workOfPriority(2, deadline);
            figures.rate = 4e6;
            accepted += admission.decide({ {}, deadline, {}, false }, figures, now).isAccepted ? 1 : 0;
        });
        const WaitingJob added = waitingJob("added", random);
        const double change = nanosecondsOf([&] {
            queue.set(added);
            queue.remove(added.id);
        });
        std::size_t found = 0;
        const double pass = nanosecondsOf([&] {
            const bool isShort = ScheduleOrder::isRoomShort(queue, 4e6, now);
            ScheduleOrder order(queue);
            found += order.next() && !isShort ? 1 : 0;
        });
        std::printf(
            "%6d waiting jobs: admission %.0f ns, adding and removing %.0f ns, order of a pass %.0f ns (%zu, %zu)\n",
            size, admit, change, pass, accepted, found);
    }
    return 0;
}
