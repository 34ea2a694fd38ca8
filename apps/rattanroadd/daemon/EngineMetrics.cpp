#include "daemon/EngineMetrics.h"

namespace rattanroad::daemon {

namespace {
    void refreshJobs(Metrics& metrics, const EntryHost::Statistics& engine)
    {
        const auto job = [&metrics](const char* event, std::uint64_t count) {
            metrics.setCounter(
                "rattanroad_jobs_total", "Jobs by event", static_cast<double>(count), { { "event", event } });
        };
        job("accepted", engine.jobsAccepted);
        job("completed", engine.jobsCompleted);
        job("failed", engine.jobsFailed);
        job("refused", engine.jobsRefused);
        job("joined", engine.jobsJoined);
        const auto task = [&metrics](const char* event, std::uint64_t count) {
            metrics.setCounter(
                "rattanroad_tasks_total", "Task attempts by event", static_cast<double>(count), { { "event", event } });
        };
        task("started", engine.tasksStarted);
        task("succeeded", engine.tasksSucceeded);
        task("failed", engine.tasksFailed);
        task("retried", engine.tasksRetried);
        metrics.setGauge("rattanroad_jobs_active", "Jobs in progress", static_cast<double>(engine.jobsActive));
        metrics.setGauge(
            "rattanroad_tasks_queued", "Tasks waiting for a slot", static_cast<double>(engine.tasksQueued));
    }

    void refreshSlots(Metrics& metrics, const EntryHost& engine, const EntryHost::Statistics& statistics)
    {
        const auto total = [&metrics](const char* name, const char* help, std::uint64_t count) {
            metrics.setCounter(name, help, static_cast<double>(count));
        };
        total("rattanroad_slot_grants_total", "Slots granted as keeper", statistics.keeper.grants);
        total("rattanroad_slot_returns_unused_total", "Granted slots that came back unused",
            statistics.keeper.returnsUnused);
        total("rattanroad_slot_leases_expired_total", "Slot leases that ran out", statistics.keeper.leasesExpired);
        total("rattanroad_target_ejections_total", "Ejections of targets", statistics.keeper.ejections);
        total("rattanroad_slot_demands_total", "Slot demands sent to keepers", statistics.borrower.demandsSent);
        metrics.setGauge(
            "rattanroad_slots_held", "Slots borrowed now", static_cast<double>(statistics.borrower.slotsHeld));
        metrics.setGauge("rattanroad_slot_demands_waiting", "Demands that wait at this keeper",
            static_cast<double>(statistics.keeper.demandsWaiting));
        std::size_t ejected = 0;
        const auto targets = engine.targets();
        for (const SlotKeeper::TargetStatus& target : targets)
            ejected += target.isEjected ? 1 : 0;
        metrics.setGauge(
            "rattanroad_targets_kept", "Targets that this host keeps", static_cast<double>(targets.size()));
        metrics.setGauge("rattanroad_targets_ejected", "Kept targets that are ejected", static_cast<double>(ejected));
    }

    void refreshLedger(Metrics& metrics, const SubmissionLedger::Statistics& ledger)
    {
        metrics.setGauge("rattanroad_segments_owned", "Segments owned", static_cast<double>(ledger.segmentsOwned));
        metrics.setGauge(
            "rattanroad_segments_held", "Segments held as backup", static_cast<double>(ledger.segmentsHeldAsBackup));
        metrics.setGauge("rattanroad_submissions_retained", "Submissions in memory",
            static_cast<double>(ledger.submissionsRetained));
        metrics.setCounter("rattanroad_takeovers_total", "Segments taken over", static_cast<double>(ledger.takeovers));
        metrics.setCounter("rattanroad_view_changes_lost_total", "View changes that another host won",
            static_cast<double>(ledger.viewChangesLost));
        metrics.setCounter(
            "rattanroad_journal_records_total", "Journal records written", static_cast<double>(ledger.recordsAppended));
    }

    void refreshLinks(Metrics& metrics, const PeerLink::Statistics& peers)
    {
        const auto message = [&metrics](const char* event, std::uint64_t count) {
            metrics.setCounter("rattanroad_peer_messages_total", "Messages between entry hosts",
                static_cast<double>(count), { { "event", event } });
        };
        message("sent", peers.messagesSent);
        message("received", peers.messagesReceived);
        message("dropped", peers.messagesDropped);
        message("malformed", peers.malformedMessages);
        message("unknown_version", peers.unknownVersions);
        message("blocked", peers.messagesBlocked);
        const auto bytes = [&metrics](const char* event, std::uint64_t count) {
            metrics.setCounter("rattanroad_peer_bytes_total", "Bytes between entry hosts", static_cast<double>(count),
                { { "event", event } });
        };
        bytes("sent", peers.bytesSent);
        bytes("received", peers.bytesReceived);
    }
}

void refreshMetrics(Metrics& metrics, const EntryHost& engine, const PeerLink::Statistics& peers,
    const platform::StoreClient::Statistics& store, const TraceExporter::Statistics& traces)
{
    const EntryHost::Statistics statistics = engine.statistics();
    refreshJobs(metrics, statistics);
    refreshSlots(metrics, engine, statistics);
    refreshLedger(metrics, statistics.ledger);
    refreshLinks(metrics, peers);
    metrics.setGauge("rattanroad_members_live", "Other live entry hosts",
        static_cast<double>(engine.members().liveMembers().size()));
    metrics.setGauge("rattanroad_configuration_revision", "Configuration revision in force",
        static_cast<double>(engine.configuration().revision().value()));
    metrics.setCounter("rattanroad_heartbeat_bytes_total", "Bytes of heartbeats sent",
        static_cast<double>(statistics.members.heartbeatBytesSent));
    metrics.setCounter("rattanroad_store_calls_total", "Calls to the store", static_cast<double>(store.calls));
    metrics.setCounter(
        "rattanroad_store_failures_total", "Calls to the store without an answer", static_cast<double>(store.failures));
    metrics.setCounter(
        "rattanroad_spans_total", "Spans by event", static_cast<double>(traces.exported), { { "event", "exported" } });
    metrics.setCounter(
        "rattanroad_spans_total", "Spans by event", static_cast<double>(traces.dropped), { { "event", "dropped" } });
}

}
