#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/time/Clock.h"

#include <map>
#include <optional>
#include <vector>

namespace rattanroad {

/** The live peers, best backup first, and those that are passed over for a while as backups. */
class PeerDirectory {
public:
    void set(const std::vector<std::pair<HostId, Incarnation>>& ranked) { m_ranked = ranked; }

    /** Returns the present incarnation of a live peer. */
    std::optional<Incarnation> incarnation(const HostId& host) const;
    bool isAlive(const HostId& host) const { return incarnation(host).has_value(); }
    bool isAlive(const HostId& host, Incarnation expected) const { return incarnation(host) == expected; }

    /** Passes @p host over as a backup of new segments until @p until. */
    void avoid(const HostId& host, TimePoint until) { m_avoidedUntil[host] = until; }
    /** Returns at most @p count peers for a new segment. */
    std::vector<std::pair<HostId, Incarnation>> chooseBackups(std::size_t count, TimePoint now) const;

private:
    std::vector<std::pair<HostId, Incarnation>> m_ranked;
    std::map<HostId, TimePoint> m_avoidedUntil;
};

}
