#pragma once

#include "daemon/ConfigurationService.h"
#include "rattanroad_dispatch/rattanroad_dispatch.h"
#include "rattanroad_network/http/HttpServer.h"

namespace rattanroad::daemon {

/** The operators' interface to the configuration: read, apply, check and history. */
class ConfigurationApi {
public:
    ConfigurationApi(const EntryHost& engine, const Clock& clock, ConfigurationService& service);
    ConfigurationApi(const ConfigurationApi&) = delete;
    ConfigurationApi& operator=(const ConfigurationApi&) = delete;

    /** Answers the request if its path belongs to this interface; returns whether it does. */
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
