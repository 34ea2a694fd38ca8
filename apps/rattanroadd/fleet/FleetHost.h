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

/** An entry host on the users' platform: connects the decisions of rattanroad_shards with the sockets of the platform
    adapter and of the other hosts.
*/
class FleetHost {
public:
    FleetHost(const Settings& settings, Clock& clock, Incarnation incarnation, EventLoop& loop);
    ~FleetHost();
    FleetHost(const FleetHost&) = delete;
    FleetHost& operator=(const FleetHost&) = delete;

    /** Listens and starts to follow the store. Returns why it cannot. */
    std::optional<Failure> start();
    /** Gives the shards to other hosts, answers what is open, then stops the loop. */
    void beginDrain();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
