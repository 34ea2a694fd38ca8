#pragma once

#include "rattanroad_core/failure/Failure.h"
#include "rattanroad_inventory/import/SourceText.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

namespace rattanroad {

/** Collects errors with their file, line and column. */
class SourceErrors {
public:
    void add(const std::string& file, SourcePosition position, const std::string& reason)
    {
        m_errors.push_back({ file, position, reason });
    }

    bool isEmpty() const { return m_errors.empty(); }

    /** Returns all errors as one FailureCode::ConfigurationInvalid failure, one error per line, for example
        "workers.csv:3:14: workers[1].cores: must be an integer".
    */
    Failure failure() const
    {
        std::string detail;
        for (const auto& error : m_errors)
            detail += (detail.empty() ? "" : "\n") + error.file + ":" + std::to_string(error.position.line) + ":"
                + std::to_string(error.position.column) + ": " + error.reason;
        return { FailureCode::ConfigurationInvalid, RunState::NotRun, detail };
    }

private:
    struct Error {
        std::string file;
        SourcePosition position;
        std::string reason;
    };
    std::vector<Error> m_errors;
};

}
