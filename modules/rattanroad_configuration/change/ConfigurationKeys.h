#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"

#include <string>

namespace rattanroad {

/** Keys of the configuration in the store. */
class ConfigurationKeys {
public:
    /** The configuration in force. */
    static std::string current() { return "/rattanroad/configuration"; }
    /** Common beginning of the history entries. */
    static std::string historyPrefix() { return "/rattanroad/history/"; }
    /** The history entry of @p revision; zero-padded, so that the order of keys is the order of revisions. */
    static std::string history(Revision revision)
    {
        constexpr std::size_t digits = 20;
        const auto number = std::to_string(revision.value());
        return historyPrefix() + std::string(digits - number.size(), '0') + number;
    }
    /** The history entry by change id, so that a repeated change is recognized after later ones. */
    static std::string change(const ChangeId& id) { return "/rattanroad/changes/" + id.value(); }
};

}
