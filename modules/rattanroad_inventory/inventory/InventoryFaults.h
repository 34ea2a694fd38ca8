#pragma once

#include "rattanroad_core/failure/Failure.h"

#include <set>
#include <string>
#include <vector>

namespace rattanroad {

/** Collects the faults of a document, so that an operator sees all of them at once. */
class InventoryFaults {
public:
    /** Records a fault at @p place, for example "targets[3].worker". Only the first fault of a place is kept, since
        later checks of the same value often fail for the same reason.
    */
    void add(const std::string& place, const std::string& reason);

    bool isEmpty() const { return m_lines.empty(); }
    const std::vector<std::string>& lines() const { return m_lines; }

    /** Returns all faults as one failure of type FailureCode::ConfigurationInvalid, one fault a line. */
    Failure failure() const;

private:
    std::set<std::string> m_places;
    std::vector<std::string> m_lines;
};

}
