#include "simulation/run/SeedRange.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace rattanroad {

std::vector<FailureRun::Outcome> SeedRange::run(
    std::uint64_t first, std::uint64_t count, std::size_t threads, std::size_t& completedJobs)
{
    std::vector<FailureRun::Outcome> failed;
    std::atomic<std::uint64_t> next { first };
    std::mutex mutex;
    completedJobs = 0;
    const auto work = [&] {
        for (std::uint64_t seed = next++; seed < first + count; seed = next++) {
            FailureRun::Outcome outcome = FailureRun::run(seed);
            const std::lock_guard<std::mutex> lock(mutex);
            completedJobs += outcome.completedJobs;
            if (!outcome.isGood())
                failed.push_back(std::move(outcome));
        }
    };
    std::vector<std::thread> pool;
    for (std::size_t index = 0; index < threads; index++)
        pool.emplace_back(work);
    for (std::thread& thread : pool)
        thread.join();
    std::sort(failed.begin(), failed.end(), [](const auto& left, const auto& right) { return left.seed < right.seed; });
    return failed;
}

}
