#pragma once

#include "rattanroad_dispatch/rattanroad_dispatch.h"
#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/peers/PeerLink.h"
#include "rattanroad_network/telemetry/Metrics.h"

namespace rattanroad::daemon {

/** HTTP interface of the operators except for the configuration: health checks, metrics, status and drain; also link
   cuts for tests.
*/
class OperationsApi {
public:
    struct Settings {
        /** Whether POST /testing/links exists. */
        bool allowsLinkCuts { false };
    };
    struct Hooks {
        std::function<void()> beginDrain;
        /** Returns whether a shutdown was requested, even if the engine does not drain yet. */
        std::function<bool()> isStopping;
        /** Returns whether the host knows a live peer or has waited long enough for one. */
        std::function<bool()> hasJoined;
        /** Copies counters of other classes into the metrics; called at each scrape. */
        std::function<void()> refreshMetrics;
    };

    OperationsApi(Settings settings, EntryHost& engine, PeerLink& peers, Metrics& metrics, Hooks hooks);
    OperationsApi(const OperationsApi&) = delete;
    OperationsApi& operator=(const OperationsApi&) = delete;

    /** Handles the request if its method and path belong to this interface; returns whether they do. */
    bool handle(const HttpRequest& request, const HttpResponder& responder);

private:
    HttpResponse readiness() const;
    HttpResponse status() const;
    /** Blocks the links to the given peers and unblocks all others. */
    HttpResponse cutLinks(const HttpRequest& request);

    Settings m_settings;
    EntryHost& m_engine;
    PeerLink& m_peers;
    Metrics& m_metrics;
    Hooks m_hooks;
};

}
