#pragma once

#include "rattanroad_network/peers/PeerLink.h"
#include "rattanroad_network/telemetry/Metrics.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>

namespace rattanroad::daemon {

/** Counters and histograms of a host on the platform. */
class FleetMetrics {
public:
    /** What is read when the metrics are asked for. */
    struct Readings {
        std::size_t openRequests { 0 };
        bool isHolding { false };
        bool isReady { false };
        PeerLink::Statistics peers;
    };

    FleetMetrics();

    /** Counts an event of the log, also when its line is left out. */
    void count(const char* event) { ++m_events[event]; }
    void observeStoreCall(Duration duration) { observe(m_storeCalls, duration); }
    void observeTargetOrder(Duration duration) { observe(m_targetOrders, duration); }
    /** Takes the time from the acceptance of a job to its end. */
    void observeJob(Duration duration) { observe(m_jobs, duration); }

    /** Returns everything in the Prometheus text format. */
    std::string text(const Readings& readings);

private:
    static void observe(const Metrics::Observe& histogram, Duration duration)
    {
        histogram(std::chrono::duration<double>(duration).count());
    }
    void setPeerMessages(const char* event, std::uint64_t count);

    Metrics m_metrics;
    std::map<std::string, std::uint64_t> m_events;
    Metrics::Observe m_storeCalls;
    Metrics::Observe m_targetOrders;
    Metrics::Observe m_jobs;
};

}
