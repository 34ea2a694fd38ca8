#include "history/checker/History.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>

namespace rattanroad {

namespace {

    using Kind = HistoryEvent::Kind;

    constexpr std::array<Kind, 14> allKinds { Kind::Invoked, Kind::Answered, Kind::ConnectionLost, Kind::Started,
        Kind::Ended, Kind::RevisionAccepted, Kind::RevisionSeen, Kind::TargetLeaving, Kind::TargetActive,
        Kind::ShutdownRequested, Kind::ProcessStarted, Kind::ProcessEnded, Kind::HostUnreachable, Kind::HostReachable };

    Kind kindFromName(const std::string& text)
    {
        const auto found
            = std::find_if(allKinds.begin(), allKinds.end(), [&](Kind kind) { return text == name(kind); });
        if (found == allKinds.end())
            throw std::runtime_error("unknown kind \"" + text + "\"");
        return *found;
    }

    template <typename Value> void put(nlohmann::json& object, const char* key, const Value& value)
    {
        if (value != Value {})
            object[key] = value;
    }

    nlohmann::json toJson(const HistoryEvent& event)
    {
        nlohmann::json object { { "kind", name(event.kind) }, { "time_us", event.timeUs } };
        put(object, "host", event.host);
        put(object, "request", event.request);
        put(object, "submission", event.submission);
        put(object, "task", event.task);
        put(object, "target", event.target);
        put(object, "revision", event.revision);
        put(object, "task_count", event.taskCount);
        put(object, "repeat", event.repeat);
        put(object, "complete", event.isComplete);
        put(object, "run_state", event.runState);
        put(object, "code", event.code);
        put(object, "results", event.results);
        put(object, "success", event.isSuccess);
        put(object, "result", event.result);
        return object;
    }

    HistoryEvent fromJson(const nlohmann::json& object)
    {
        HistoryEvent event;
        event.kind = kindFromName(object.at("kind").get<std::string>());
        event.timeUs = object.at("time_us").get<std::int64_t>();
        event.host = object.value("host", "");
        event.request = object.value("request", "");
        event.submission = object.value("submission", "");
        event.task = object.value("task", 0U);
        event.target = object.value("target", "");
        event.revision = object.value("revision", std::uint64_t { 0 });
        event.taskCount = object.value("task_count", 0U);
        event.repeat = object.value("repeat", "");
        event.isComplete = object.value("complete", false);
        event.runState = object.value("run_state", "");
        event.code = object.value("code", "");
        event.results = object.value("results", std::vector<std::string> {});
        event.isSuccess = object.value("success", false);
        event.result = object.value("result", "");
        return event;
    }

}

const char* name(HistoryEvent::Kind kind)
{
    switch (kind) {
    case Kind::Invoked:
        return "invoked";
    case Kind::Answered:
        return "answered";
    case Kind::ConnectionLost:
        return "connection_lost";
    case Kind::Started:
        return "started";
    case Kind::Ended:
        return "ended";
    case Kind::RevisionAccepted:
        return "revision_accepted";
    case Kind::RevisionSeen:
        return "revision_seen";
    case Kind::TargetLeaving:
        return "target_leaving";
    case Kind::TargetActive:
        return "target_active";
    case Kind::ShutdownRequested:
        return "shutdown_requested";
    case Kind::ProcessStarted:
        return "process_started";
    case Kind::ProcessEnded:
        return "process_ended";
    case Kind::HostUnreachable:
        return "host_unreachable";
    case Kind::HostReachable:
        break;
    }
    return "host_reachable";
}

void History::sortByTime()
{
    std::stable_sort(m_events.begin(), m_events.end(),
        [](const HistoryEvent& left, const HistoryEvent& right) { return left.timeUs < right.timeUs; });
}

void History::write(std::ostream& stream) const
{
    for (const HistoryEvent& event : m_events)
        stream << toJson(event).dump() << '\n';
}

std::optional<History> History::read(std::istream& stream, std::string& fault)
{
    History history;
    std::string line;
    for (std::size_t number = 1; std::getline(stream, line); number++) {
        if (line.empty())
            continue;
        try {
            history.add(fromJson(nlohmann::json::parse(line)));
        } catch (const std::exception& error) {
            fault = "line " + std::to_string(number) + ": " + error.what();
            return std::nullopt;
        }
    }
    history.sortByTime();
    return history;
}

}
