#pragma once

#include "rattanroad_core/failure/Result.h"
#include "rattanroad_dispatch/rattanroad_dispatch.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattanroad::daemon {

/** Settings of one daemon process, read from JSON. */
struct Settings {
    HostId host;
    FailureDomainId failureDomain;
    RegionId region;
    RackId rack;
    /** Address of the HTTP interface, "<IPv4 number>:<port>". */
    std::string callerAddress;
    /** Address of the peer socket; the other entry hosts connect to it. */
    std::string peerAddress;
    /** Address that answers whether the host takes callers; only with StoreKind::Platform. */
    std::string readinessAddress;
    /** Address that serves GET /metrics with StoreKind::Platform; empty for none. */
    std::string metricsAddress;
    /** All failure domains with targets; only with StoreKind::Platform. */
    std::vector<FailureDomainId> failureDomains;
    std::vector<std::string> seedAddresses;
    /** Which store holds the configuration; with Platform it also holds the jobs. */
    enum class StoreKind {
        Etcd,
        Platform,
    };
    StoreKind storeKind { StoreKind::Etcd };
    std::string storeAddress;
    std::chrono::milliseconds storeTimeout { 2000 };
    ByteCount maximumRequestSize { 8U << 20U };
    std::size_t backupCount { 1 };
    std::chrono::seconds segmentLifetime { 60 };
    std::chrono::seconds retention { 600 };
    double wasteWeight { 0.5 };
    double maximumEjectedShare { 0.3 };
    std::size_t maximumQueuedTasks { 20000 };
    double maximumTeamShare { 0.5 };
    std::chrono::milliseconds connectTimeout { 1000 };
    /** Share of requests without a traceparent that are traced. */
    double traceSampleShare { 0 };
    /** File for OTLP JSON lines; empty for none. */
    std::string traceFile;
    /** Address that takes POST /v1/traces; empty for none. */
    std::string traceAddress;
    /** Empty for the standard error stream, "-" for the standard output. */
    std::string logFile;
    /** Wait between the failing readiness check and the refusal of new work, for the load balancer to notice. */
    std::chrono::milliseconds drainNotice { 0 };
    bool allowsLinkCuts { false };

    /** Checks the JSON text against the schema and reads it.
        Fails with FailureCode::SettingsInvalid; the detail names each fault by its path, one a line.
    */
    static Result<Settings> parse(std::string_view json);

    /** Returns the settings of the engine. */
    EntryHostSettings engineSettings(Incarnation incarnation) const;
};

/** Returns the JSON schema of the settings. */
const char* settingsSchema();

}
