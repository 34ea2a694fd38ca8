#include "settings/Settings.h"

#include "rattanroad_network/http/SocketAddress.h"

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

    /** Returns the faults, one a line, each with its path; empty when @p document fits the schema. */
    std::string schemaFaults(const json& document)
    {
        valijson::Schema schema;
        valijson::SchemaParser parser;
        const json schemaDocument = json::parse(settingsSchema());
        parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), schema);
        valijson::Validator validator;
        valijson::ValidationResults results;
        validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results);
        std::string faults;
        valijson::ValidationResults::Error error;
        while (results.popError(error)) {
            std::string path;
            for (const std::string& part : error.context)
                path += part == "<root>" ? "$" : part;
            faults += path + ": " + error.description + "\n";
        }
        return faults;
    }

    std::string addressFaults(const Settings& settings)
    {
        std::string faults;
        const auto check = [&faults](const std::string& path, const std::string& address) {
            if (!address.empty() && !parseSocketAddress(address))
                faults += path + ": not an IPv4 number and port: " + address + "\n";
        };
        check("$[listen][callers]", settings.callerAddress);
        check("$[listen][peers]", settings.peerAddress);
        check("$[listen][readiness]", settings.readinessAddress);
        check("$[listen][metrics]", settings.metricsAddress);
        const bool isPlatform = settings.storeKind == Settings::StoreKind::Platform;
        if (isPlatform && (settings.readinessAddress.empty() || settings.failureDomains.empty()))
            faults += "$[store][kind]: platform needs $[listen][readiness] and $[failure_domains]\n";
        check("$[store][address]", settings.storeAddress);
        check("$[traces][address]", settings.traceAddress);
        for (std::size_t i = 0; i < settings.seedAddresses.size(); ++i)
            check("$[seeds][" + std::to_string(i) + "]", settings.seedAddresses[i]);
        return faults;
    }

    std::chrono::milliseconds milliseconds(const json& object, const char* name, std::chrono::milliseconds otherwise)
    {
        return std::chrono::milliseconds(object.value(name, otherwise.count()));
    }

    std::chrono::seconds seconds(const json& object, const char* name, std::chrono::seconds otherwise)
    {
        return std::chrono::seconds(object.value(name, otherwise.count()));
    }

    /** @pre @p document fits the schema */
    Settings read(const json& document)
    {
        Settings settings;
        const auto part = [&document](const char* name) { return document.value(name, json::object()); };
        const json host = part("host");
        settings.host = HostId(host.value("id", ""));
        settings.failureDomain = FailureDomainId(host.value("failure_domain", ""));
        settings.region = RegionId(host.value("region", ""));
        settings.rack = RackId(host.value("rack", ""));
        settings.callerAddress = part("listen").value("callers", "");
        settings.peerAddress = part("listen").value("peers", "");
        settings.readinessAddress = part("listen").value("readiness", "");
        settings.metricsAddress = part("listen").value("metrics", "");
        for (const std::string& domain : document.value("failure_domains", std::vector<std::string> {}))
            settings.failureDomains.emplace_back(domain);
        if (part("store").value("kind", "etcd") == "platform")
            settings.storeKind = Settings::StoreKind::Platform;
        settings.seedAddresses = document.value("seeds", std::vector<std::string> {});
        settings.storeAddress = part("store").value("address", "");
        settings.storeTimeout = milliseconds(part("store"), "timeout_ms", settings.storeTimeout);
        settings.maximumRequestSize
            = ByteCount(part("requests").value("maximum_bytes", settings.maximumRequestSize.value()));
        const json ledger = part("ledger");
        settings.backupCount = ledger.value("backups", settings.backupCount);
        settings.segmentLifetime = seconds(ledger, "segment_lifetime_s", settings.segmentLifetime);
        settings.retention = seconds(ledger, "retention_s", settings.retention);
        const json dispatch = part("dispatch");
        settings.wasteWeight = dispatch.value("waste_weight", settings.wasteWeight);
        settings.maximumEjectedShare = dispatch.value("maximum_ejected_share", settings.maximumEjectedShare);
        settings.maximumQueuedTasks = dispatch.value("maximum_queued_tasks", settings.maximumQueuedTasks);
        settings.maximumTeamShare = dispatch.value("maximum_team_share", settings.maximumTeamShare);
        settings.connectTimeout = milliseconds(dispatch, "connect_timeout_ms", settings.connectTimeout);
        const json traces = part("traces");
        settings.traceSampleShare = traces.value("sample_share", settings.traceSampleShare);
        settings.traceFile = traces.value("file", "");
        settings.traceAddress = traces.value("address", "");
        settings.logFile = part("logs").value("file", "");
        settings.drainNotice = milliseconds(part("drain"), "notice_ms", settings.drainNotice);
        settings.allowsLinkCuts = part("testing").value("allow_link_cuts", false);
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
    std::string faults = schemaFaults(document);
    if (!faults.empty())
        return invalid(std::move(faults));
    Settings settings = read(document);
    faults = addressFaults(settings);
    if (!faults.empty())
        return invalid(std::move(faults));
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
