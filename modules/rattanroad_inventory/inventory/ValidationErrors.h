#pragma once

#include "rattanroad_core/failure/Failure.h"

#include <set>
#include <string>
#include <vector>

namespace rattanroad {

/** Collects the errors of a document, so that an operator sees all of them at once. */
class ValidationErrors {
public:
    /** An error and the path of the value in the document, for example "targets[3].worker". */
    struct Error {
        std::string path;
        std::string reason;
    };

    /** Records an error at @p path. Only the first error of each path is kept, since later checks of the same value
       often fail for the same reason.
    */
    void add(const std::string& path, const std::string& reason);

    bool isEmpty() const { return m_errors.empty(); }
    const std::vector<Error>& errors() const { return m_errors; }

    /** Returns all errors as one FailureCode::ConfigurationInvalid failure, one error per line. */
    Failure failure() const;

private:
    std::set<std::string> m_paths;
    std::vector<Error> m_errors;
};

}
