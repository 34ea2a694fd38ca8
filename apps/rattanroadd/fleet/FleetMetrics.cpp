#include "fleet/FleetMetrics.h"

namespace rattanroad::daemon {

FleetMetrics::FleetMetrics()
    : m_storeCalls(m_metrics.histogram("rattanroad_store_call_duration_seconds",
        "Duration of calls to the store, watches left out", Metrics::timeBuckets()))
    , m_targetRequests(m_metrics.histogram("rattanroad_target_order_duration_seconds",
          "Duration of starts and stops at targets", Metrics::timeBuckets()))
    , m_jobs(m_metrics.histogram("rattanroad_job_duration_seconds",
          "Time from the acceptance of a job by the holder of its shard to its end", Metrics::timeBuckets()))
    , m_loopLag(m_metrics.histogram(
          "rattanroad_loop_lag_seconds", "Lateness of a timer of the event loop", Metrics::timeBuckets()))
{
}

void FleetMetrics::setPeerMessages(const char* event, std::uint64_t count)
{
    m_metrics.setCounter("rattanroad_peer_messages_total", "Messages between entry hosts", static_cast<double>(count),
        { { "event", event } });
}

void FleetMetrics::setHttpRefusals(const char* status, std::uint64_t count)
{
    m_metrics.setCounter("rattanroad_http_refused_total", "Requests of callers that were refused before they were read",
        static_cast<double>(count), { { "status", status } });
}

std::string FleetMetrics::text(const Snapshot& snapshot)
{
    for (const auto& event : m_events) {
        m_metrics.setCounter("rattanroad_events_total", "Events of the log, also those whose lines are left out",
            static_cast<double>(event.second), { { "event", event.first } });
    }
    m_metrics.setGauge("rattanroad_requests_open", "Requests of callers without an answer",
        static_cast<double>(snapshot.openRequests));
    m_metrics.setGauge("rattanroad_holds_shard", "1 while this host holds a shard", snapshot.isHoldingShard ? 1 : 0);
    m_metrics.setGauge("rattanroad_ready", "1 while callers should be sent here", snapshot.isReady ? 1 : 0);
    m_metrics.setGauge(
        "rattanroad_http_connections", "Open connections of callers", static_cast<double>(snapshot.callerConnections));
    m_metrics.setGauge("rattanroad_http_held_bytes", "Bytes of requests and answers that are held for callers",
        static_cast<double>(snapshot.callerBytes));
    setHttpRefusals("400", snapshot.parserRefusals.malformed);
    setHttpRefusals("413", snapshot.parserRefusals.tooLarge);
    setPeerMessages("sent", snapshot.peers.messagesSent);
    setPeerMessages("received", snapshot.peers.messagesReceived);
    setPeerMessages("dropped", snapshot.peers.messagesDropped);
    setPeerMessages("malformed", snapshot.peers.malformedMessages);
    return m_metrics.text();
}

}
