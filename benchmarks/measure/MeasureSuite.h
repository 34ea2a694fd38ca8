#pragma once

#include "measure/CellResult.h"
#include "measure/EngineCell.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanroad {

/** All cells of the measurement: each is one policy on one trace with its own clock, so cells run in parallel and give
    the same figures in any order.
*/
class MeasureSuite {
public:
    struct Settings {
        bool isQuick { false };
        std::uint64_t seed { 1 };
        /** Only cells whose key starts with this run. */
        std::string only;
        std::size_t threads { 10 };
    };

    explicit MeasureSuite(Settings settings);

    /** Runs the cells and returns all figures under flat keys such as "ingofero.response_ratio_mean". */
    std::map<std::string, double> run();

    /** Returns the workloads of this suite, with their goals. */
    const std::vector<Workload>& workloads() const { return m_workloads; }

private:
    using Scenario = EngineCell::Scenario;

    struct Cell {
        std::string key;
        std::function<std::map<std::string, double>()> measure;
        /** Cells that take longest start first. */
        double cost { 0 };
    };
    /** A trace with its ideal responses, shared by the cells that replay it. */
    struct Input {
        Workload workload;
        Trace trace;
        std::vector<Duration> ideal;
    };

    std::shared_ptr<const Input> input(const Workload& workload, double load) const;
    void add(std::string key, const std::shared_ptr<const Input>& input, double relativeCost,
        std::function<CellResult(const Input&)> run);
    void addFloor(const std::shared_ptr<const Input>& input);
    void addBaselines(const std::shared_ptr<const Input>& input);
    void addOtherLoads(const Workload& workload, const std::shared_ptr<const Input>& normal);
    void addEngine(const std::string& prefix, const std::shared_ptr<const Input>& input, Scenario scenario);

    Settings m_settings;
    std::vector<Workload> m_workloads;
    std::vector<Cell> m_cells;
};

}
