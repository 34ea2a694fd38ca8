#pragma once

#include "daemon/ConfigurationService.h"
#include "rattanroad_dispatch/rattanroad_dispatch.h"
#include "rattanroad_network/http/HttpServer.h"

namespace rattanroad::daemon {

/** HTTP interface with which operators read, change and check the configuration and read its history. */
class ConfigurationApi {
public:
    ConfigurationApi(const EntryHost& engine, const Clock& clock, ConfigurationService& service);
    ConfigurationApi(const ConfigurationApi&) = delete;
    ConfigurationApi& operator=(const ConfigurationApi&) = delete;

    /** Handles the request if its method and path belong to this interface; returns whether they do. */
    bool handle(const HttpRequest& request, const HttpResponder& responder);

private:
    HttpResponse current() const;
    void apply(const HttpRequest& request, const HttpResponder& responder);
    static HttpResponse check(const HttpRequest& request);
    void sendHistory(const HttpResponder& responder);

    const EntryHost& m_engine;
    const Clock& m_clock;
    ConfigurationService& m_service;
};

}
