#pragma once

#include "emulator/EmulatedFleet.h"

#include <catch2/catch.hpp>

namespace rattanroad::emulator {

/** Adds the log of the hosts to the message of the next assertion if it fails. */
inline void showLog(const EmulatedFleet& fleet)
{
    for (const std::string& line : fleet.log())
        UNSCOPED_INFO(line);
}

inline void requireNoViolations(EmulatedFleet& fleet)
{
    showLog(fleet);
    for (const std::string& violation : fleet.targets().violations())
        UNSCOPED_INFO(violation);
    REQUIRE(fleet.targets().violations().empty());
    showLog(fleet);
}

}
