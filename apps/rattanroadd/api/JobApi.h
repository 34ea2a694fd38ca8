#pragma once

#include "rattanroad_dispatch/rattanroad_dispatch.h"
#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/telemetry/Metrics.h"
#include "rattanroad_network/telemetry/TraceExporter.h"

namespace rattanroad::daemon {

/** HTTP interface of the callers: issues submission ids; submits, queries and cancels jobs. */
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

    /** Handles the request if its path belongs to this interface; returns whether it does. */
    bool handle(const HttpRequest& request, const HttpResponder& responder);

    /** Returns the number of callers that disconnected before their answer. */
    std::uint64_t disconnectCount() const { return *m_disconnectCount; }

private:
    void mintIds(const HttpRequest& request, const HttpResponder& responder);
    void submit(const HttpRequest& request, const HttpResponder& responder);
    void handleJob(const HttpRequest& request, const HttpResponder& responder);
    /** Returns the trace context of a new job: continues the trace of the request, or samples the job for a new trace.
        Sets the traceparent of @p job, unless the request has none and the job is not sampled.
    */
    TraceContext startTrace(const HttpRequest& request, protocol::JobDescription& job);
    void recordSpan(const TraceContext& context, const std::string& parent, std::chrono::system_clock::time_point begin,
        const JobAnswer& answer);

    Settings m_settings;
    Dependencies m_dependencies;
    Metrics::Observe m_observeDuration;
    std::shared_ptr<std::uint64_t> m_disconnectCount { std::make_shared<std::uint64_t>(0) };
};

/** Returns the HTTP response for a job: its state, or a problem when it is neither complete nor in progress. */
HttpResponse jobResponse(const JobAnswer& answer);

}
