#pragma once

#include "rattanroad_core/rattanroad_core.h"
#include "settings/Settings.h"

#include <memory>

namespace rattanroad {
class EventLoop;
}

namespace rattanroad::daemon {

/** One entry host: the engine with its sockets, store access and interfaces, on one loop. */
class Daemon {
public:
    Daemon(Settings settings, Clock& clock, RandomSource& random, EventLoop& loop);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /** Binds the sockets and begins to serve; returns why it cannot. */
    std::optional<Failure> start();
    /** Fails the readiness check, finishes the work in progress, hands the segments over and stops the loop. */
    void beginDrain();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
