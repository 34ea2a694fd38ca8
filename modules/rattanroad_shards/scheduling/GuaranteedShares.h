#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rattanroad::shards {

/** Keeps the share of the room that lower priorities get while higher ones take all they can. Each waiting priority
    earns a part of the work that the shard starts, and its own starts are paid from that.
*/
class GuaranteedShares {
public:
    struct Settings {
        /** Part of the started work that each priority earns while its jobs wait. */
        double share { 0.1 };
        /** Largest credit and debt, as time at the full rate of the shard. Long enough for a task of a second, and
            short enough that a priority that was idle takes no burst of room. */
        std::chrono::milliseconds maximumCredit { 50 };
    };

    explicit GuaranteedShares(Settings settings)
        : m_settings(settings)
    {
    }

    /** Work of a priority was started, while jobs of the priorities in @p waiting waited. @p rate is the work that the
        shard starts in a millisecond. */
    void started(std::uint32_t priority, std::uint64_t work, const std::vector<std::uint32_t>& waiting, double rate);
    /** Returns the priority among @p waiting that is owed the most, or nothing when none is owed any. */
    std::optional<std::uint32_t> owed(const std::vector<std::uint32_t>& waiting) const;

private:
    Settings m_settings;
    std::map<std::uint32_t, double> m_credits;
};

}
