#pragma once

#include "rattanroad_core/rattanroad_core.h"
#include "settings/Settings.h"

#include <memory>

namespace rattanroad {
class EventLoop;
}

namespace rattanroad::daemon {

/** One entry host, for Settings::StoreKind::Etcd: the engine with its sockets, store client and HTTP interfaces, all on
   one event loop.
*/
class Daemon {
public:
    Daemon(Settings settings, Clock& clock, RandomSource& random, EventLoop& loop);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /** Binds the sockets and starts serving. Returns the failure when an address cannot be bound. */
    std::optional<Failure> start();
    /** Fails the readiness check, finishes the work in progress, hands the segments over and stops the loop. Later
       calls do nothing.
    */
    void beginDrain();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
