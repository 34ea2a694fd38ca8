#pragma once

#include "rattanroad_configuration/configuration/ConfigurationHolder.h"

#include <string>
#include <string_view>

namespace rattanroad {

/** Metadata of an accepted change, as kept in the history. The document itself is not kept: at 580 changes a day,
    documents of several hundred kilobytes would fill the store within days.
*/
struct HistoryEntry {
    Revision revision;
    ChangeId changeId;
    std::string author;
    /** Time of the change in RFC 3339 format. */
    std::string time;
    /** 128-bit XXH3 hash in hexadecimal. It tells a repeated change from a change id reused for another document. */
    std::string documentHash;

    static HistoryEntry of(const ConfigurationValue& value);
    std::string json() const;
    /** Parses the output of json(). Fails with FailureCode::ConfigurationInvalid. */
    static Result<HistoryEntry> parse(std::string_view json);
};

}
