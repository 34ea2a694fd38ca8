#pragma once

#include "rattanroad_core/failure/Failure.h"
#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/time/Clock.h"
#include "settings/Settings.h"

#include <memory>
#include <optional>

namespace rattanroad {
class EventLoop;
}

namespace rattanroad::daemon {

/** An entry host on the platform, for Settings::StoreKind::Platform: connects the ShardNode, which makes all decisions,
    with the HTTP adapters of the platform and with the links to other hosts.
*/
class FleetHost {
public:
    FleetHost(const Settings& settings, Clock& clock, Incarnation incarnation, EventLoop& loop);
    ~FleetHost();
    FleetHost(const FleetHost&) = delete;
    FleetHost& operator=(const FleetHost&) = delete;

    /** Binds the sockets and starts watching the store. Returns the failure when an address cannot be bound. */
    std::optional<Failure> start();
    /** Hands the shards over to other hosts, answers the open requests, then stops the loop. Later calls do nothing. */
    void beginDrain();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
