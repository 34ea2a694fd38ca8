#pragma once

#include "rattanroad_dispatch/rattanroad_dispatch.h"
#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/telemetry/Metrics.h"
#include "rattanroad_network/telemetry/TraceExporter.h"

namespace rattanroad::daemon {

/** The callers' interface: submission ids, jobs, queries and cancellations. */
class JobApi {
public:
    struct Settings {
        /** Share of jobs without a traceparent that are traced, 0 to 1. */
        double traceSampleShare { 0 };
    };
    struct Dependencies {
        EntryHost& engine;
        Clock& clock;
        RandomSource& random;
        Metrics& metrics;
        TraceExporter& traces;
    };

    JobApi(Settings settings, Dependencies dependencies);
    JobApi(const JobApi&) = delete;
    JobApi& operator=(const JobApi&) = delete;

    /** Answers the request if its path belongs to this interface; returns whether it does. */
    bool handle(const HttpRequest& request, const HttpResponder& responder);

    /** Returns how many callers left before their answer. */
    std::uint64_t disconnects() const { return *m_disconnects; }

private:
    void mintIds(const HttpRequest& request, const HttpResponder& responder);
    void submit(const HttpRequest& request, const HttpResponder& responder);
    void handleJob(const HttpRequest& request, const HttpResponder& responder);
    TraceContext traceOf(const HttpRequest& request, protocol::JobDescription& job);
    void recordSpan(const TraceContext& context, const std::string& parent, std::chrono::system_clock::time_point begin,
        const JobAnswer& answer);

    Settings m_settings;
    Dependencies m_dependencies;
    Metrics::Observe m_observeDuration;
    std::shared_ptr<std::uint64_t> m_disconnects { std::make_shared<std::uint64_t>(0) };
};

/** Returns the HTTP answer for the state of a job. */
HttpResponse jobResponse(const JobAnswer& answer);

}
