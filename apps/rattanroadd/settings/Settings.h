#pragma once

#include "rattanroad_core/failure/Result.h"
#include "rattanroad_dispatch/rattanroad_dispatch.h"
#include "rattanroad_network/http/ConnectionAccount.h"
#include "rattanroad_shards/types/PlatformLimits.h"
#include "rattanroad_shards/types/ShardTypes.h"

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
    /** Processor time of this host, from its share of a core and the speed of the core; only with
        StoreKind::Platform. */
    shards::HostMillicores processor;
    /** Limits of the platform; only with StoreKind::Platform. */
    shards::PlatformLimits platformLimits;
    /** Limits of what is held for callers; only with StoreKind::Platform. */
    HttpLimits httpLimits;
    /** Time that the platform gives a process to stop; only with StoreKind::Platform. */
    std::chrono::milliseconds shutdownTime { 6000 };
    /** Address of the HTTP interface, "<IPv4 address>:<port>". */
    std::string callerAddress;
    /** Address of the peer socket, to which the other entry hosts connect. */
    std::string peerAddress;
    /** Address of the readiness check; only with StoreKind::Platform. */
    std::string readinessAddress;
    /** Address that serves GET /metrics with StoreKind::Platform; empty for none. */
    std::string metricsAddress;
    /** All failure domains with targets, one shard each; only with StoreKind::Platform. */
    std::vector<FailureDomainId> failureDomains;
    /** Peer addresses of entry hosts to contact at the start. */
    std::vector<std::string> seedAddresses;
    /** The store of the configuration. The platform's store also holds the jobs. */
    enum class StoreKind {
        Etcd,
        Platform,
    };
    StoreKind storeKind { StoreKind::Etcd };
    std::string storeAddress;
    std::chrono::milliseconds storeTimeout { 2000 };
    ByteCount maximumRequestSize { 8U << 20U };
    /** Backups of each ledger segment. */
    std::size_t backupCount { 1 };
    std::chrono::seconds segmentLifetime { 60 };
    /** How long submissions are remembered, so that repeated ones are recognized. */
    std::chrono::seconds retention { 600 };
    /** 0 favours response time, 1 favours few wasted messages. */
    double wasteWeight { 0.5 };
    /** Largest share of a failure domain's targets that may be ejected at a time, 0 to 1. */
    double maximumEjectedShare { 0.3 };
    /** Tasks that may wait on this host, over all teams. */
    std::size_t maximumQueuedTasks { 20000 };
    /** Share of the queue that one team may fill, 0 to 1. */
    double maximumTeamShare { 0.5 };
    /** Time limit for opening a connection to a target. */
    std::chrono::milliseconds connectTimeout { 1000 };
    /** Share of requests without a traceparent that are traced, 0 to 1. */
    double traceSampleShare { 0 };
    /** File that receives OTLP JSON lines; empty for none. */
    std::string traceFile;
    /** Address of an OTLP collector that accepts POST /v1/traces; empty for none. */
    std::string traceAddress;
    /** Log file; empty for the standard error stream, "-" for the standard output. */
    std::string logFile;
    /** Time between the failing readiness check and the refusal of new work, in which the load balancer notices. */
    std::chrono::milliseconds drainNotice { 0 };
    /** Enables POST /testing/links, with which tests block links to peers. */
    bool allowsLinkCuts { false };

    /** Validates the JSON text against the schema and reads it.
        Fails with FailureCode::SettingsInvalid; the detail lists one error per line, each with its path.
    */
    static Result<Settings> parse(std::string_view json);

    /** Returns the part of the settings that the engine needs. */
    EntryHostSettings engineSettings(Incarnation incarnation) const;
};

/** Returns the JSON schema of the settings. */
const char* settingsSchema();

}
