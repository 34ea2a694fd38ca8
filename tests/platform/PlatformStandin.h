#pragma once

#include "emulator/EmulatedStore.h"
#include "emulator/EmulatedTargets.h"
#include "rattanroad_network/http/HttpServer.h"

#include <nlohmann/json.hpp>

namespace rattanroad::emulator {

/** Serves an emulated store and emulated targets over the HTTP interfaces of the platform, in real time on an event
    loop.
*/
class PlatformStandin {
public:
    explicit PlatformStandin(EventLoop& loop);
    PlatformStandin(const PlatformStandin&) = delete;
    PlatformStandin& operator=(const PlatformStandin&) = delete;

    /** Address of the store and of all targets. */
    const std::string& address() const { return m_address; }
    EmulatedStore& store() { return m_store; }
    EmulatedTargets& targets() { return m_targets; }
    /** Adds a target of the service "quotes" and its entry in the store. */
    void addTarget(const std::string& id, const std::string& failureDomain);

private:
    using Json = nlohmann::json;

    /** Advances the virtual clock to the elapsed real time, and repeats this at intervals. */
    void advance();
    void handle(const HttpRequest& request, const HttpResponder& responder);
    bool handleRead(const HttpRequest& request, const HttpResponder& responder);
    bool handleWrite(const HttpRequest& request, const HttpResponder& responder);
    bool handleTargetRequest(const HttpRequest& request, const HttpResponder& responder);

    EventLoop& m_loop;
    TimePoint m_startedAt;
    VirtualClock m_clock;
    TimePoint m_emulatedStart;
    EventQueue m_queue;
    EmulatedStore m_store;
    EmulatedTargets m_targets;
    shards::KeyValueStore m_storeCalls;
    shards::TargetCalls m_targetCalls;
    HttpServer m_server;
    std::string m_address;
};

}
