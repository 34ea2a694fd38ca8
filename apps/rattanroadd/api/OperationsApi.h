#pragma once

#include "rattanroad_dispatch/rattanroad_dispatch.h"
#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/peers/PeerLink.h"
#include "rattanroad_network/telemetry/Metrics.h"

namespace rattanroad::daemon {

/** The operators' interface apart from the configuration: health, metrics, status, drain and link cuts for tests. */
class OperationsApi {
public:
    struct Settings {
        /** Whether POST /testing/links exists. */
        bool allowsLinkCuts { false };
    };
    struct Hooks {
        std::function<void()> beginDrain;
        /** Returns whether a shutdown was requested, before or after the engine drains. */
        std::function<bool()> isStopping;
        /** Brings the metrics that are read from counters up to date. */
        std::function<void()> refreshMetrics;
    };

    OperationsApi(Settings settings, EntryHost& engine, PeerLink& peers, Metrics& metrics, Hooks hooks);
    OperationsApi(const OperationsApi&) = delete;
    OperationsApi& operator=(const OperationsApi&) = delete;

    /** Answers the request if its path belongs to this interface; returns whether it does. */
    bool handle(const HttpRequest& request, const HttpResponder& responder);

private:
    HttpResponse readiness() const;
    HttpResponse status() const;
    HttpResponse cutLinks(const HttpRequest& request);

    Settings m_settings;
    EntryHost& m_engine;
    PeerLink& m_peers;
    Metrics& m_metrics;
    Hooks m_hooks;
};

}
