#pragma once

#include "rattanroad_core/failure/Failure.h"

#include <set>
#include <string>
#include <vector>

namespace rattanroad {

/** Collects the faults of a document, so that an operator sees all of them at once. */
class InventoryFaults {
public:
    /** One fault, and the place of the value in the document, for example "targets[3].worker". */
    struct Fault {
        std::string place;
        std::string reason;
    };

    /** Records a fault at @p place. Only the first fault of a place is kept, since later checks of the same value often
        fail for the same reason.
    */
    void add(const std::string& place, const std::string& reason);

    bool isEmpty() const { return m_faults.empty(); }
    const std::vector<Fault>& faults() const { return m_faults; }

    /** Returns all faults as one failure of type FailureCode::ConfigurationInvalid, one fault a line. */
    Failure failure() const;

private:
    std::set<std::string> m_places;
    std::vector<Fault> m_faults;
};

}
