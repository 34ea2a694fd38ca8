/** rattanroad_network: HTTP server and client, peer links, store client, metrics and traces on one event loop.

    Dependencies: rattanroad_core, rattanroad_protocol; h2o, ZeroMQ, prometheus-cpp, nlohmann-json, spdlog.
    Read loop/EventLoop.h first.
*/
#pragma once

#include "rattanroad_network/http/HttpClient.h"
#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/peers/PeerLink.h"
#include "rattanroad_network/store/StoreClient.h"
#include "rattanroad_network/telemetry/Metrics.h"
#include "rattanroad_network/telemetry/StateLog.h"
#include "rattanroad_network/telemetry/TraceExporter.h"
