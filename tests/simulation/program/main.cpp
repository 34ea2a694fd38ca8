#include "simulation/run/SeedRange.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <fstream>
#include <map>

// Runs seeded failure runs of a fleet on a virtual clock. Exit status 1 when a run fails.
int main(int argumentCount, char** arguments)
{
    std::uint64_t first = 1;
    std::uint64_t count = 100;
    std::size_t threads = 4;
    std::size_t shown = 3;
    std::string historyFile;
    CLI::App app("Failure runs of a fleet of entry hosts, judged by the history checker");
    app.add_option("--first", first, "first seed");
    app.add_option("--count", count, "number of seeds");
    app.add_option("--threads", threads, "runs at the same time");
    app.add_option("--show", shown, "failed runs printed with their trace");
    app.add_option("--history", historyFile, "file for the history of the first seed");
    CLI11_PARSE(app, argumentCount, arguments);
    if (!historyFile.empty()) {
        std::ofstream file(historyFile);
        rattanroad::FailureRun::run(first).history.write(file);
    }
    std::size_t completed = 0;
    const auto failed = rattanroad::SeedRange::run(first, count, threads, completed);
    for (std::size_t index = 0; index < std::min(shown, failed.size()); index++)
        std::printf("%s\n", failed[index].report().c_str());
    std::map<std::string, std::size_t> tally;
    for (const auto& run : failed) {
        for (const auto& violation : run.violations)
            tally["guarantee " + std::to_string(static_cast<int>(violation.guarantee))]++;
        tally["never answered"] += run.unanswered.size();
        tally["probe failed"] += run.failedProbes.size();
        std::printf("failed seed %llu: %zu violations, %zu unanswered, %zu probes\n",
            static_cast<unsigned long long>(run.seed), run.violations.size(), run.unanswered.size(),
            run.failedProbes.size());
    }
    for (const auto& [what, times] : tally)
        std::printf("%s: %zu\n", what.c_str(), times);
    std::printf("%llu runs, %zu failed, %zu jobs completed\n", static_cast<unsigned long long>(count), failed.size(),
        completed);
    return failed.empty() ? 0 : 1;
}
