#pragma once

#include "rattanroad_core/failure/Failure.h"
#include "rattanroad_inventory/import/SourceText.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

namespace rattanroad {

/** Collects faults with file, line and column. */
class SourceFaults {
public:
    void add(const std::string& file, SourcePosition position, const std::string& reason)
    {
        m_faults.push_back({ file, position, reason });
    }

    bool isEmpty() const { return m_faults.empty(); }

    /** Returns all faults as one failure of type FailureCode::ConfigurationInvalid, one fault a line, like
        "workers.csv:3:14: workers[1].cores: must be an integer".
    */
    Failure failure() const
    {
        std::string detail;
        for (const auto& fault : m_faults)
            detail += (detail.empty() ? "" : "\n") + fault.file + ":" + std::to_string(fault.position.line) + ":"
                + std::to_string(fault.position.column) + ": " + fault.reason;
        return { FailureCode::ConfigurationInvalid, RunState::NotRun, detail };
    }

private:
    struct Fault {
        std::string file;
        SourcePosition position;
        std::string reason;
    };
    std::vector<Fault> m_faults;
};

}
