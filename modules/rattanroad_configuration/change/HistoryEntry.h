#pragma once

#include "rattanroad_configuration/configuration/ConfigurationHolder.h"

#include <string>
#include <string_view>

namespace rattanroad {

/** What the history keeps of an accepted change. The document itself is left out: at 580 changes a day documents of
    several hundred kilobytes would fill the store within days.
*/
struct HistoryEntry {
    Revision revision;
    ChangeId changeId;
    std::string author;
    /** RFC 3339. */
    std::string time;
    /** Tells whether a repeated change id comes with the same document. */
    std::string documentHash;

    static HistoryEntry of(const ConfigurationValue& value);
    std::string json() const;
    /** Fails with FailureCode::ConfigurationInvalid. */
    static Result<HistoryEntry> parse(std::string_view json);
};

}
