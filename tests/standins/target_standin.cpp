#include "rattanroad_core/rattanroad_core.h"
#include "standins/TargetStandin.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

using namespace rattanroad;

int main(int argc, char** argv)
{
    int firstPort = 9001;
    int count = 1;
    std::uint64_t seed = 1;
    std::string history;
    std::vector<double> speeds;
    standins::TargetStandin::Behaviour behaviour;
    CLI::App app("Stand-in for a fleet of targets on consecutive ports of 127.0.0.1");
    app.add_option("--first-port", firstPort, "Port of the first target");
    app.add_option("--count", count, "Number of targets")->check(CLI::Range(1, 1000));
    app.add_option("--slots", behaviour.slots, "Slots of each target");
    app.add_option("--run-ms", behaviour.runMs, "Run time of tasks whose payload has no run_ms");
    app.add_option("--speeds", speeds, "Speed factors, assigned to the targets in turn");
    app.add_option("--fail-share", behaviour.failShare, "Share of tasks that fail")->check(CLI::Range(0.0, 1.0));
    app.add_option("--history", history, "File for one JSON line per started and ended task");
    app.add_option("--seed", seed, "Seed of the random source");
    CLI11_PARSE(app, argc, argv);

    SteadyClock clock;
    PcgRandomSource random(seed);
    EventLoop loop(clock);
    loop.watchSignals({ SIGTERM, SIGINT }, [&loop](int) { loop.stop(); });
    standins::TargetStandin targets(loop, random, history);
    for (int i = 0; i < count; ++i) {
        if (!speeds.empty())
            behaviour.speed = speeds[static_cast<std::size_t>(i) % speeds.size()];
        if (targets.open(firstPort + i, behaviour) < 0) {
            std::cerr << "cannot listen on port " << firstPort + i << '\n';
            return 1;
        }
    }
    loop.run();
    return 0;
}
