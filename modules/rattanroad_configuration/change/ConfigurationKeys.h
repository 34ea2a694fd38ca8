#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"

#include <string>

namespace rattanroad {

/** Store keys under which the configuration and its history are kept. */
class ConfigurationKeys {
public:
    /** Key of the configuration in force. */
    static std::string current() { return "/rattanroad/configuration"; }
    /** Common prefix of the keys of all history entries. */
    static std::string historyPrefix() { return "/rattanroad/history/"; }
    /** Key of the history entry of @p revision. The number is zero-padded so that keys sort by revision. */
    static std::string history(Revision revision)
    {
        constexpr std::size_t digits = 20;
        const auto number = std::to_string(revision.value());
        return historyPrefix() + std::string(digits - number.size(), '0') + number;
    }
    /** Key of the history entry of a change id. It lets a repeated change be recognized even after later changes. */
    static std::string change(const ChangeId& id) { return "/rattanroad/changes/" + id.value(); }
};

}
