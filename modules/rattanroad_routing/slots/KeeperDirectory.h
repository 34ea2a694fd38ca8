#pragma once

#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_routing/slots/SlotBorrower.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace rattanroad {

/** The live keepers as a borrower sees them: their advertised load, corrected by the borrower's own requests since the
    advertisement, and whether they answer. Divides demands among them.
*/
class KeeperDirectory {
public:
    /** The part of a demand to request from one keeper. */
    struct Share {
        HostId keeper;
        std::uint32_t count { 0 };
    };

    KeeperDirectory(const Clock& clock, RandomSource& random);

    /** Replaces the list of live keepers. */
    void setKeepers(std::vector<SlotBorrower::KeeperOffer> keepers);
    bool contains(const HostId& keeper) const { return m_keepers.count(keeper) > 0; }
    bool isEmpty() const { return m_keepers.empty(); }

    /** Divides @p count slots among the keepers that have not refused: free slots of the nearest keepers first, the
        rest where the expected wait is shortest. The shares add up to the count; the result is empty when every keeper
        has refused.
    */
    std::vector<Share> divide(const WorkKind& kind, std::uint32_t count, const std::set<HostId>& refusedBy);

    /** Returns the number of slots that are free at keepers other than @p current, where a request is queued. */
    std::uint32_t freeElsewhere(const WorkKind& kind, const HostId& current, const std::set<HostId>& refusedBy) const;

    /** Replaces the load of a keeper by the one in a grant, which is newer than the last advertisement. */
    void updateOffer(const HostId& keeper, const protocol::FreeSlots& offer);
    /** Adds to the number of slots in requests that are not answered yet; @p count is negative when a request is
        answered or withdrawn.
    */
    void addInFlight(const HostId& keeper, const WorkKind& kind, std::int64_t count);
    /** Corrects the advertised load until the next advertisement by @p count requested slots; @p count is negative for
        slots that are returned or no longer requested.
    */
    void addRequested(const HostId& keeper, const WorkKind& kind, std::int64_t count);
    /** Skips a keeper that did not answer until its next message, or until @p until. */
    void markSuspect(const HostId& keeper, TimePoint until);
    void recordMessage(const HostId& keeper);
    /** Returns whether a message of the keeper has arrived after @p time. */
    bool hasMessageSince(const HostId& keeper, TimePoint time) const;

    void recordRunTime(const WorkKind& kind, Duration runTime);
    /** Returns the shortest expected wait for one more task over all keepers; zero when nothing is advertised. */
    Duration expectedWait(const WorkKind& kind) const;

private:
    struct Offer {
        std::int64_t free { 0 };
        std::int64_t total { 0 };
        // Slots requested less slots returned since the load was stated, which it therefore does not include.
        std::int64_t requestedSince { 0 };
        std::int64_t inFlight { 0 };
        Duration wait { 0 };

        std::int64_t estimatedFree() const { return std::clamp<std::int64_t>(free - requestedSince, 0, total); }
    };
    static void replaceOffer(Offer& entry, const protocol::FreeSlots& slots);

    struct Keeper {
        HostId host;
        int distance { 0 };
        TimePoint advertisedAt;
        TimePoint lastMessageAt;
        TimePoint suspectUntil;
        std::map<WorkKind, Offer> offers;
    };
    struct Candidate {
        Keeper* keeper { nullptr };
        Offer* offer { nullptr };
        std::uint32_t share { 0 };
    };

    std::vector<Candidate> candidates(const WorkKind& kind, const std::set<HostId>& refusedBy);
    std::uint32_t assignFreeSlots(std::vector<Candidate>& candidates, std::uint32_t count);
    void assignQueuedSlots(std::vector<Candidate>& candidates, const WorkKind& kind, std::uint32_t count) const;
    Duration estimatedWait(const Offer& offer, const WorkKind& kind, std::int64_t extra) const;
    Duration meanRunTime(const WorkKind& kind) const;

    const Clock& m_clock;
    RandomSource& m_random;
    std::map<HostId, Keeper> m_keepers;
    std::unordered_map<WorkKind, Duration> m_meanRunTimes;
};

}
