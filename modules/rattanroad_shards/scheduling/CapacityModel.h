#pragma once

#include "rattanroad_core/time/Clock.h"

#include <cstdint>
#include <optional>

namespace rattanroad::shards {

/** Learns how much work a shard starts while tasks wait for room: the ratio of the work of the started tasks, by their
    estimates, to the millicores of the usable targets times the elapsed time. The ratio covers what the sum of
    millicores does not show: room that no task fits into, faster and slower targets, and wrong estimates. As it is a
    ratio, a loss of targets lowers the rate at once.

    Without recent samples, as after a change of the holder, the sum of millicores counts.
*/
class CapacityModel {
public:
    struct Settings {
        /** Time constant of the average. Tasks of a second start in groups. */
        std::chrono::milliseconds memory { 1000 };
        /** Time after which the last sample counts no more: what waits then may be of another kind. */
        std::chrono::milliseconds sampleLifetime { 2000 };
        /** Weight of the initial ratio of 1, as the time over which it is assumed to have been measured. */
        std::chrono::milliseconds initialWeight { 50 };
        /** A longer interval between two passes is not a sample, because the process may have been paused. */
        std::chrono::milliseconds maximumInterval { 250 };
        /** Bounds of the ratio. They limit what targets that answer late or wrong estimates can do. */
        double minimumRatio { 0.2 };
        double maximumRatio { 4 };
    };
    /** Result of a scheduling pass. */
    struct Pass {
        std::uint64_t startedWork { 0 };
        std::uint64_t usableMillicores { 0 };
        /** A task still waits because no target has room. */
        bool isRoomShort { false };
    };

    explicit CapacityModel(Settings settings)
        : m_settings(settings)
    {
    }

    void passEnded(TimePoint now, const Pass& pass);
    /** Forgets all samples. */
    void reset();
    /** Returns the learned ratio, or 1 without recent samples. */
    double ratio(TimePoint now) const;
    /** Returns the work that targets of this capacity start in a millisecond. */
    double rate(TimePoint now, std::uint64_t millicores) const { return ratio(now) * static_cast<double>(millicores); }

private:
    Settings m_settings;
    double m_startedWork { 0 };
    /** Millicores times milliseconds while room was short. */
    double m_offeredWork { 0 };
    /** Time of the last pass that left tasks waiting for room, if it was the last pass. */
    std::optional<TimePoint> m_shortSince;
    std::optional<TimePoint> m_lastSample;
};

}
