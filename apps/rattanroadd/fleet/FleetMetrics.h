#pragma once

#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/peers/PeerLink.h"
#include "rattanroad_network/telemetry/Metrics.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>

namespace rattanroad::daemon {

/** Metrics of a FleetHost. */
class FleetMetrics {
public:
    /** Values that are read at each scrape. */
    struct Snapshot {
        std::size_t openRequests { 0 };
        bool isHoldingShard { false };
        bool isReady { false };
        PeerLink::Statistics peers;
        std::size_t callerConnections { 0 };
        std::size_t callerBytes { 0 };
        HttpServer::ParserRefusals parserRefusals;
    };

    FleetMetrics();

    /** Counts a logged event, including one whose line the rate limit left out. */
    void count(const char* event) { ++m_events[event]; }
    void observeStoreCall(Duration duration) { observe(m_storeCalls, duration); }
    void observeTargetRequest(Duration duration) { observe(m_targetRequests, duration); }
    /** Records the time from the acceptance of a job to its end. */
    void observeJob(Duration duration) { observe(m_jobs, duration); }
    /** Records how late a timer of the event loop fired. */
    void observeLoopLag(Duration lag) { observe(m_loopLag, lag); }

    /** Returns all metrics in the Prometheus text format. */
    std::string text(const Snapshot& snapshot);

private:
    static void observe(const Metrics::Observe& histogram, Duration duration)
    {
        histogram(std::chrono::duration<double>(duration).count());
    }
    void setHttpRefusals(const char* status, std::uint64_t count);
    void setPeerMessages(const char* event, std::uint64_t count);

    Metrics m_metrics;
    std::map<std::string, std::uint64_t> m_events;
    Metrics::Observe m_storeCalls;
    Metrics::Observe m_targetRequests;
    Metrics::Observe m_jobs;
    Metrics::Observe m_loopLag;
};

}
