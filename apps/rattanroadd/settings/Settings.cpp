#include "settings/Settings.h"

#include "rattanroad_network/http/SocketAddress.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

using nlohmann::json;

namespace rattanroad::daemon {

namespace {
    Failure invalid(std::string detail)
    {
        return { FailureCode::SettingsInvalid, RunState::NotRun, std::move(detail) };
    }

    /** Returns the schema violations, one per line with its path; empty when @p document is valid. */
    std::string schemaErrors(const json& document)
    {
        valijson::Schema schema;
        valijson::SchemaParser parser;
        const json schemaDocument = json::parse(settingsSchema());
        parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), schema);
        valijson::Validator validator;
        valijson::ValidationResults results;
        validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results);
        std::string errors;
        valijson::ValidationResults::Error error;
        while (results.popError(error)) {
            std::string path;
            for (const std::string& part : error.context)
                path += part == "<root>" ? "$" : part;
            errors += path + ": " + error.description + "\n";
        }
        return errors;
    }

    /** Returns what the schema cannot express: malformed addresses and sections that need one another. */
    std::string consistencyErrors(const Settings& settings)
    {
        std::string errors;
        const auto check = [&errors](const std::string& path, const std::string& address) {
            if (!address.empty() && !parseSocketAddress(address))
                errors += path + ": not an IPv4 address and port: " + address + "\n";
        };
        check("$[listen][callers]", settings.callerAddress);
        check("$[listen][peers]", settings.peerAddress);
        check("$[listen][readiness]", settings.readinessAddress);
        check("$[listen][metrics]", settings.metricsAddress);
        const bool isPlatform = settings.storeKind == Settings::StoreKind::Platform;
        if (isPlatform && (settings.readinessAddress.empty() || settings.failureDomains.empty()))
            errors += "$[store][kind]: platform needs $[listen][readiness] and $[failure_domains]\n";
        check("$[store][address]", settings.storeAddress);
        check("$[traces][address]", settings.traceAddress);
        for (std::size_t i = 0; i < settings.seedAddresses.size(); ++i)
            check("$[seeds][" + std::to_string(i) + "]", settings.seedAddresses[i]);
        return errors;
    }

    /** Fractions of a millisecond are cut off: all limits of the platform are upper bounds. */
    std::chrono::milliseconds milliseconds(const json& object, const char* name, std::chrono::milliseconds defaultValue)
    {
        return std::chrono::milliseconds(object.value(name, defaultValue.count()));
    }

    std::chrono::seconds seconds(const json& object, const char* name, std::chrono::seconds defaultValue)
    {
        return std::chrono::seconds(object.value(name, defaultValue.count()));
    }

    /** Returns the processor time of a host; unknown without a share. */
    shards::HostMillicores processorTime(const json& processor)
    {
        const double millicores = 1000 * processor.value("share", 0.0) * processor.value("cores", 1.0);
        return shards::HostMillicores(static_cast<std::uint32_t>(std::lround(millicores)));
    }

    HttpLimits httpLimits(const json& section)
    {
        const auto memory = static_cast<std::uint64_t>(section.value("memory_mb", 0.0));
        const auto descriptors = static_cast<std::size_t>(section.value("descriptors", 0.0));
        HttpLimits limits = HttpLimits::of(MebibyteCount(memory), descriptors);
        limits.maximumConnections = section.value("caller_connections", limits.maximumConnections);
        limits.maximumHeldBytes = ByteCount(section.value("caller_bytes", limits.maximumHeldBytes.value()));
        limits.maximumHeadBytes = ByteCount(section.value("header_bytes", limits.maximumHeadBytes.value()));
        limits.headTimeout = milliseconds(section, "header_timeout_ms", limits.headTimeout);
        limits.bodyTimeout = milliseconds(section, "body_timeout_ms", limits.bodyTimeout);
        limits.idleTimeout = milliseconds(section, "idle_timeout_ms", limits.idleTimeout);
        limits.answerTimeout = milliseconds(section, "answer_timeout_ms", limits.answerTimeout);
        return limits;
    }

    /** @pre @p document is valid against the schema. */
    Settings readSettings(const json& document)
    {
        Settings settings;
        const auto section = [&document](const char* name) { return document.value(name, json::object()); };
        const json host = section("host");
        settings.host = HostId(host.value("id", ""));
        settings.failureDomain = FailureDomainId(host.value("failure_domain", ""));
        settings.region = RegionId(host.value("region", ""));
        settings.rack = RackId(host.value("rack", ""));
        settings.processor = processorTime(section("processor"));
        const json limits = section("platform_limits");
        settings.platformLimits.targetDrain
            = milliseconds(limits, "target_drain_ms", settings.platformLimits.targetDrain);
        settings.platformLimits.targetLease
            = milliseconds(limits, "target_lease_ms", settings.platformLimits.targetLease);
        settings.platformLimits.resubmission
            = milliseconds(limits, "resubmission_ms", settings.platformLimits.resubmission);
        if (limits.contains("evacuation_ms"))
            settings.platformLimits.evacuation = milliseconds(limits, "evacuation_ms", {});
        settings.httpLimits = httpLimits(section("process_limits"));
        // Longer leases than this are never requested, so that runs end before callers submit their jobs again.
        settings.platformLimits.targetLease
            = std::min(settings.platformLimits.targetLease, settings.platformLimits.resubmission);
        settings.platformLimits.jobStatus = std::chrono::ceil<std::chrono::seconds>(std::chrono::duration<double>(
            limits.value("job_status_s", std::chrono::duration<double>(settings.platformLimits.jobStatus).count())));
        const std::chrono::duration<double> shutdown(
            limits.value("shutdown_s", std::chrono::duration<double>(settings.shutdownTime).count()));
        settings.shutdownTime = std::chrono::duration_cast<std::chrono::milliseconds>(shutdown);
        settings.callerAddress = section("listen").value("callers", "");
        settings.peerAddress = section("listen").value("peers", "");
        settings.readinessAddress = section("listen").value("readiness", "");
        settings.metricsAddress = section("listen").value("metrics", "");
        for (const std::string& domain : document.value("failure_domains", std::vector<std::string> {}))
            settings.failureDomains.emplace_back(domain);
        if (section("store").value("kind", "etcd") == "platform")
            settings.storeKind = Settings::StoreKind::Platform;
        settings.seedAddresses = document.value("seeds", std::vector<std::string> {});
        settings.storeAddress = section("store").value("address", "");
        settings.storeTimeout = milliseconds(section("store"), "timeout_ms", settings.storeTimeout);
        settings.maximumRequestSize
            = ByteCount(section("requests").value("maximum_bytes", settings.maximumRequestSize.value()));
        const json ledger = section("ledger");
        settings.backupCount = ledger.value("backups", settings.backupCount);
        settings.segmentLifetime = seconds(ledger, "segment_lifetime_s", settings.segmentLifetime);
        settings.retention = seconds(ledger, "retention_s", settings.retention);
        const json dispatch = section("dispatch");
        settings.wasteWeight = dispatch.value("waste_weight", settings.wasteWeight);
        settings.maximumEjectedShare = dispatch.value("maximum_ejected_share", settings.maximumEjectedShare);
        settings.maximumQueuedTasks = dispatch.value("maximum_queued_tasks", settings.maximumQueuedTasks);
        settings.maximumTeamShare = dispatch.value("maximum_team_share", settings.maximumTeamShare);
        settings.connectTimeout = milliseconds(dispatch, "connect_timeout_ms", settings.connectTimeout);
        const json traces = section("traces");
        settings.traceSampleShare = traces.value("sample_share", settings.traceSampleShare);
        settings.traceFile = traces.value("file", "");
        settings.traceAddress = traces.value("address", "");
        settings.logFile = section("logs").value("file", "");
        settings.drainNotice = milliseconds(section("drain"), "notice_ms", settings.drainNotice);
        settings.allowsLinkCuts = section("testing").value("allow_link_cuts", false);
        return settings;
    }
}

Result<Settings> Settings::parse(std::string_view text)
{
    json document;
    try {
        document = json::parse(text);
    } catch (const json::parse_error& error) {
        return invalid(std::string("$: malformed JSON: ") + error.what());
    }
    std::string errors = schemaErrors(document);
    if (!errors.empty())
        return invalid(std::move(errors));
    Settings settings = readSettings(document);
    errors = consistencyErrors(settings);
    if (!errors.empty())
        return invalid(std::move(errors));
    return settings;
}

EntryHostSettings Settings::engineSettings(Incarnation incarnation) const
{
    EntryHostSettings engine;
    Member& self = engine.membership.self;
    self.host = host;
    self.incarnation = incarnation;
    self.failureDomain = failureDomain;
    self.region = region;
    self.rack = rack;
    self.address = peerAddress;
    engine.membership.seedAddresses = seedAddresses;
    engine.ledger.self = host;
    engine.ledger.failureDomain = failureDomain;
    engine.ledger.incarnation = incarnation;
    engine.ledger.backupCount = backupCount;
    engine.ledger.segmentLifetime = segmentLifetime;
    engine.ledger.retention = retention;
    engine.keeper.wasteWeight = wasteWeight;
    engine.keeper.maximumEjectedShare = maximumEjectedShare;
    engine.borrower.self = host;
    engine.borrower.wasteWeight = wasteWeight;
    engine.admission.maximumQueuedTasks = maximumQueuedTasks;
    engine.admission.maximumTeamShare = maximumTeamShare;
    engine.admission.maximumJobSize = maximumRequestSize;
    return engine;
}

}
