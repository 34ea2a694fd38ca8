#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <map>
#include <optional>

namespace rattanroad::shards {

/** Knows which failure domains are evacuated, since when and from which source, and decides until when an accepted job
    may still start a task in one. Addresses an operator who empties a failure domain: no host in touch with the store
    may start a task there later than a bound after the store has acknowledged the key of the evacuation.
*/
class EvacuationTable {
public:
    enum class Source {
        Store,
        Peer, ///< Another host has reported it, because this one seems not to know.
    };
    struct Settings {
        /** No task starts later than this after the key was acknowledged. Without it, starts stop at once. */
        std::optional<std::chrono::milliseconds> bound;
        /** Share of the bound for which accepted jobs may still start tasks, from the time that the key was read: as
            long as callers of short jobs wait. */
        double startShare { 0.4 };
        /** The same from the earliest time at which the key can have been written. The rest is left for starts that are
            under way and for answers of the store that are late. */
        double latestStartShare { 0.6 };
        /** Nothing starts when the keys of the operator were read longer ago than this share of the bound, unless the
            store is lost. */
        double contactShare { 0.8 };
        /** The limit above is at least this long: a watch without changes is answered after 1.5 s. */
        std::chrono::milliseconds minimumContact { 2500 };
        /** Time for which a report of a peer counts. Peers repeat it with each load, ten times a second. */
        std::chrono::milliseconds peerReportLifetime { 1000 };
        /** A host that has read the operator's keys more recently ignores reports of peers, which may not know yet that
            an evacuation has ended: a watch without changes is answered after 1.5 s. */
        std::chrono::milliseconds recentContact { 2000 };
    };
    struct Evacuation {
        Source source { Source::Store };
        TimePoint knownSince;
        /** From this time on nothing starts. */
        TimePoint startsUntil;
        /** When a report of a peer ends. */
        TimePoint reportedUntil { TimePoint::max() };
    };

    EvacuationTable(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
    {
    }

    /** The store has the key of an evacuation. Returns whether the evacuation is new or was known from a peer only. */
    bool written(const FailureDomainId& domain);
    /** The key was removed. Returns whether the evacuation was known. */
    bool removed(const FailureDomainId& domain);
    /** A peer holds the failure domain for evacuated. Returns whether that is new. */
    bool reportedByPeer(const FailureDomainId& domain);
    /** All changes of the operator's keys that the store had made by @p time were processed. */
    void readUntil(TimePoint time) { m_readUntil = std::max(m_readUntil, time); }
    /** Removes the reports of peers that were not repeated, and returns their failure domains. */
    std::vector<FailureDomainId> removeOutdatedReports();

    /** Returns the evacuation of a failure domain, or null. */
    const Evacuation* find(const FailureDomainId& domain) const;
    bool isEvacuated(const FailureDomainId& domain) const { return find(domain) != nullptr; }
    /** Returns whether a task of an accepted job may start in the failure domain. @p isStoreLost tells that the store
        has been out of reach for a while: the host then serves its targets with what it knows. */
    bool mayStart(const FailureDomainId& domain, bool isStoreLost) const;
    /** Returns the time since the operator's keys were last known completely. */
    std::chrono::milliseconds contactAge() const;

private:
    Duration share(double part) const;

    Settings m_settings;
    const Clock& m_clock;
    std::map<FailureDomainId, Evacuation> m_evacuations;
    TimePoint m_readUntil { distantPast };
};

}
