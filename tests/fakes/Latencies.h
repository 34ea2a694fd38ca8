#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/time/Clock.h"

namespace rattanroad {

/** Where a host or target is. */
struct Place {
    FailureDomainId failureDomain;
    RegionId region;
};

/** One-way latencies by the distance of the places. */
struct Latencies {
    /** A round trip inside a failure domain takes under 1 ms (design page, section 1.1). */
    Duration sameDomain { std::chrono::microseconds(250) };
    Duration sameRegion { std::chrono::microseconds(1500) };
    Duration otherRegion { std::chrono::milliseconds(10) };
    Duration caller { std::chrono::milliseconds(3) };

    Duration between(const Place& left, const Place& right) const
    {
        if (left.failureDomain == right.failureDomain)
            return sameDomain;
        return left.region == right.region ? sameRegion : otherRegion;
    }
};

}
