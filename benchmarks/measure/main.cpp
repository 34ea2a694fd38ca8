#include "measure/MeasureSuite.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <set>

namespace {

void printTable(const std::map<std::string, double>& figures, const std::vector<rattanroad::Workload>& workloads)
{
    for (const rattanroad::Workload& workload : workloads) {
        if (workload.goalMean > 0)
            std::printf(
                "goal      %s: response_ratio_mean <= %.2f, response_ratio_p99 <= %.2f, wasted_per_task <= %.2f\n",
                workload.name.c_str(), workload.goalMean, workload.goalP99, workload.goalWasted);
    }
    std::set<std::string> cells;
    for (const auto& entry : figures)
        cells.insert(entry.first.substr(0, entry.first.rfind('.')));
    for (const std::string& cell : cells) {
        std::printf("%-24s", cell.c_str());
        for (const auto& [key, value] : figures) {
            if (key.substr(0, key.rfind('.')) == cell)
                std::printf("  %s %.4f", key.substr(cell.size() + 1).c_str(), value);
        }
        std::printf("\n");
    }
}

}

int main(int argumentCount, char** arguments)
{
    rattanroad::MeasureSuite::Settings settings;
    bool isJson = false;
    CLI::App app("Measures response ratio and wasted messages on a virtual clock");
    app.add_flag("--quick", settings.isQuick, "short traces");
    app.add_flag("--json", isJson, "print one flat JSON object");
    app.add_option("--seed", settings.seed, "seed of traces and policies");
    app.add_option("--only", settings.only, "run only cells whose key starts with this");
    app.add_option("--threads", settings.threads, "cells that run at the same time");
    CLI11_PARSE(app, argumentCount, arguments);
    rattanroad::MeasureSuite suite(settings);
    const std::map<std::string, double> figures = suite.run();
    if (isJson)
        std::printf("%s\n", nlohmann::json(figures).dump(1).c_str());
    else
        printTable(figures, suite.workloads());
    return 0;
}
