#pragma once

#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_routing/slots/SlotBorrower.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace rattanroad {

/** What a borrower knows of the keepers: their advertisements, corrected by its own demands since then, and whether
    they answer. Divides demands among them.
*/
class KeeperDirectory {
public:
    /** Slots to ask of one keeper. */
    struct Share {
        HostId keeper;
        std::uint32_t count { 0 };
    };

    KeeperDirectory(const Clock& clock, RandomSource& random);

    /** Replaces the list of live keepers. */
    void set(std::vector<SlotBorrower::KeeperOffer> keepers);
    bool contains(const HostId& keeper) const { return m_keepers.count(keeper) > 0; }
    bool isEmpty() const { return m_keepers.empty(); }

    /** Divides @p count slots among the keepers that did not refuse: free slots of the nearest first, the rest where
        the expected wait is shortest. The shares add up to the count; they are empty when every keeper refused.
    */
    std::vector<Share> divide(const WorkKind& kind, std::uint32_t count, const std::set<HostId>& refusedBy);

    /** Returns the slots that are free at other keepers than @p current, for a demand that waits there. */
    std::uint32_t freeElsewhere(const WorkKind& kind, const HostId& current, const std::set<HostId>& refusedBy) const;

    /** Takes the load that a keeper states in a message, which is newer than the last advertisement. */
    void update(const HostId& keeper, const protocol::FreeSlots& offer);
    /** Counts slots that were asked for and not answered yet; negative when they are answered or withdrawn. */
    void addInFlight(const HostId& keeper, const WorkKind& kind, std::int64_t count);
    /** Corrects the advertisement until the next one: @p count slots asked for (positive) or given back. */
    void correct(const HostId& keeper, const WorkKind& kind, std::int64_t count);
    /** Passes over a keeper that did not answer until it is heard again or @p until. */
    void suspect(const HostId& keeper, TimePoint until);
    void heardFrom(const HostId& keeper);
    /** Returns whether a message of the keeper arrived after @p time. */
    bool isHeardSince(const HostId& keeper, TimePoint time) const;

    void recordRun(const WorkKind& kind, Duration ran);
    /** Returns the shortest expected wait over the keepers for one more task. */
    Duration expectedWait(const WorkKind& kind) const;

private:
    struct Offer {
        std::int64_t free { 0 };
        std::int64_t total { 0 };
        // Slots asked for, less those given back, that the statement of the keeper does not include.
        std::int64_t askedSince { 0 };
        std::int64_t inFlight { 0 };
        Duration wait { 0 };

        std::int64_t estimatedFree() const { return std::clamp<std::int64_t>(free - askedSince, 0, total); }
    };
    static void apply(Offer& entry, const protocol::FreeSlots& slots);

    struct Keeper {
        HostId host;
        int distance { 0 };
        TimePoint advertisedAt;
        TimePoint heardAt;
        TimePoint suspectUntil;
        std::map<WorkKind, Offer> offers;
    };
    struct Candidate {
        Keeper* keeper { nullptr };
        Offer* offer { nullptr };
        std::uint32_t share { 0 };
    };

    std::vector<Candidate> candidates(const WorkKind& kind, const std::set<HostId>& refusedBy);
    std::uint32_t takeFree(std::vector<Candidate>& candidates, std::uint32_t count);
    void takeQueued(std::vector<Candidate>& candidates, const WorkKind& kind, std::uint32_t count) const;
    Duration waitFor(const Offer& offer, const WorkKind& kind, std::int64_t extra) const;
    Duration meanRun(const WorkKind& kind) const;

    const Clock& m_clock;
    RandomSource& m_random;
    std::map<HostId, Keeper> m_keepers;
    std::unordered_map<WorkKind, Duration> m_meanRun;
};

}
