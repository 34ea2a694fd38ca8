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

/** Asks a host for the state of a job, for up to 1.2 s. Returns nothing when the host does not know it. */
inline std::optional<shards::JobState> stateOf(EmulatedFleet& fleet, const HostId& host, const std::string& job)
{
    std::optional<shards::JobState> seen;
    fleet.node(host).entrance().query(shards::JobId(job), std::chrono::milliseconds(1000),
        [&seen](shards::JobEntrance::QueryResult result, shards::JobState state) {
            if (result == shards::JobEntrance::QueryResult::Known)
                seen = state;
        });
    fleet.run(std::chrono::milliseconds(1200));
    return seen;
}

}
