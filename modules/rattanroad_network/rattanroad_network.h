/** rattanroad_network: HTTP server and client, peer links, store client, metrics and traces on one event loop.

    Dependencies: rattanroad_core, rattanroad_protocol; h2o, ZeroMQ, prometheus-cpp, nlohmann-json, spdlog.
*/
#pragma once
