#include "api/JobRequestParser.h"

#include "rattanroad_core/json/BoundedJson.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include <limits>

using nlohmann::json;

namespace rattanroad::daemon {

namespace {
    /** Bounds the size of the response to a request with many errors. */
    constexpr std::size_t maximumReportedErrors = 20;
    constexpr std::size_t maximumTasksPerJob = 260;
    constexpr std::int64_t maximumIdsPerRequest = 1000;
    constexpr std::int64_t maximumDeadlineMs = 600'000;
    constexpr std::int64_t maximumUint32 = std::numeric_limits<std::uint32_t>::max();

    /** Reads the fields of a request and collects an error with its path for each one that is invalid. */
    class RequestReader {
    public:
        void addError(const std::string& path, const std::string& reason)
        {
            if (m_errorCount++ < maximumReportedErrors)
                m_errors += (m_errors.empty() ? "" : "; ") + path + ": " + reason;
        }

        bool isValid() const { return m_errorCount == 0; }
        Failure failure() const { return { FailureCode::MalformedRequest, RunState::NotRun, m_errors }; }

        /** Reports fields that are not in @p known. */
        void rejectUnknownFields(
            const json& object, const std::string& path, std::initializer_list<std::string_view> known)
        {
            for (const auto& item : object.items()) {
                if (std::find(known.begin(), known.end(), item.key()) == known.end())
                    addError(path + item.key(), "unknown field");
            }
        }

        /** Returns an empty string for an absent or invalid field. */
        std::string text(const json& object, const std::string& path, const char* name, bool isRequired)
        {
            const auto found = object.find(name);
            if (found == object.end()) {
                if (isRequired)
                    addError(path + name, "missing");
                return {};
            }
            if (!found->is_string()) {
                addError(path + name, "expected a string");
                return {};
            }
            const auto& value = found->get_ref<const std::string&>();
            if (isRequired && value.empty())
                addError(path + name, "must not be empty");
            return value;
        }

        /** Without a @p defaultValue the field is required. Returns @p minimum for an invalid field. */
        std::int64_t integer(const json& object, const std::string& path, const char* name, std::int64_t minimum,
            std::int64_t maximum, std::optional<std::int64_t> defaultValue)
        {
            const auto found = object.find(name);
            if (found == object.end()) {
                if (!defaultValue)
                    addError(path + name, "missing");
                return defaultValue.value_or(minimum);
            }
            // A number above the range of std::int64_t is stored as unsigned and would wrap around.
            const bool isTooLarge = found->is_number_unsigned()
                && found->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum < 0 ? 0 : maximum);
            if (!found->is_number_integer()) {
                addError(path + name, "expected an integer");
                return minimum;
            }
            if (isTooLarge || found->get<std::int64_t>() < minimum || found->get<std::int64_t>() > maximum) {
                addError(path + name, "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
                return minimum;
            }
            return found->get<std::int64_t>();
        }

    private:
        std::string m_errors;
        std::size_t m_errorCount { 0 };
    };

    protocol::RepeatPolicy readRepeat(const json& task, const std::string& path, RequestReader& reader)
    {
        if (!task.contains("repeat"))
            return protocol::REPEAT_IF_NOT_STARTED;
        const std::string repeat = reader.text(task, path, "repeat", true);
        if (repeat == "never")
            return protocol::REPEAT_NEVER;
        if (repeat == "after-failure")
            return protocol::REPEAT_AFTER_FAILURE;
        if (repeat != "if-not-started")
            reader.addError(path + "repeat", "must be never, if-not-started or after-failure");
        return protocol::REPEAT_IF_NOT_STARTED;
    }

    void readNeeds(
        const json& task, const std::string& path, protocol::TaskDescription& description, RequestReader& reader)
    {
        const auto needs = task.find("needs");
        if (needs == task.end())
            return;
        const std::string needsPath = path + "needs.";
        if (!needs->is_object()) {
            reader.addError(path + "needs", "expected an object");
            return;
        }
        reader.rejectUnknownFields(*needs, needsPath, { "memory_mb", "cores", "accelerators" });
        const auto read = [&](const char* name) {
            return static_cast<std::uint32_t>(reader.integer(*needs, needsPath, name, 0, maximumUint32, 0));
        };
        description.set_memory_mb(read("memory_mb"));
        description.set_cores(read("cores"));
        description.set_accelerators(read("accelerators"));
    }

    void readTask(
        const json& task, const std::string& path, protocol::TaskDescription& description, RequestReader& reader)
    {
        if (!task.is_object()) {
            reader.addError(path.substr(0, path.size() - 1), "expected an object");
            return;
        }
        reader.rejectUnknownFields(task, path, { "kind", "payload", "repeat", "declared_ms", "needs" });
        description.set_kind(reader.text(task, path, "kind", true));
        const auto payload = task.find("payload");
        if (payload == task.end())
            reader.addError(path + "payload", "missing");
        else
            description.set_payload(payload->is_string() ? payload->get<std::string>() : payload->dump());
        description.set_repeat(readRepeat(task, path, reader));
        description.set_declared_ms(
            static_cast<std::uint32_t>(reader.integer(task, path, "declared_ms", 0, maximumDeadlineMs, 0)));
        readNeeds(task, path, description, reader);
    }

    void readTasks(const json& request, protocol::JobDescription& job, RequestReader& reader)
    {
        const auto tasks = request.find("tasks");
        if (tasks == request.end() || !tasks->is_array()) {
            reader.addError("tasks", tasks == request.end() ? "missing" : "expected an array");
            return;
        }
        if (tasks->empty() || tasks->size() > maximumTasksPerJob) {
            reader.addError("tasks", "must have 1 to " + std::to_string(maximumTasksPerJob) + " entries");
            return;
        }
        job.mutable_tasks()->Reserve(static_cast<int>(tasks->size()));
        for (std::size_t i = 0; i < tasks->size(); ++i)
            readTask((*tasks)[i], "tasks[" + std::to_string(i) + "].", *job.add_tasks(), reader);
    }

    Result<json> parseObject(std::string_view body)
    {
        json parsed = parseBoundedJson(body);
        if (parsed.is_object())
            return parsed;
        if (!parsed.is_discarded())
            return Failure { FailureCode::MalformedRequest, RunState::NotRun, "expected a JSON object" };
        try {
            json::parse(body);
        } catch (const json::parse_error& error) {
            return Failure { FailureCode::MalformedRequest, RunState::NotRun,
                "malformed JSON at byte " + std::to_string(error.byte) };
        }
        return Failure { FailureCode::MalformedRequest, RunState::NotRun,
            "JSON nested more than " + std::to_string(maximumJsonDepth) + " levels deep" };
    }
}

Result<JobRequest> parseJobRequest(std::string_view body)
{
    const Result<json> parsed = parseObject(body);
    if (!parsed)
        return parsed.lastReason();
    const json& request = *parsed;
    RequestReader reader;
    JobRequest result;
    reader.rejectUnknownFields(request, "", { "submission_id", "team", "deadline_ms", "priority", "tasks" });
    if (request.contains("submission_id")) {
        const Result<SubmissionId> id = SubmissionId::parse(reader.text(request, "", "submission_id", true));
        if (!id)
            return id.lastReason();
        result.submissionId = *id;
    }
    result.job.set_team(reader.text(request, "", "team", true));
    result.job.set_deadline_left_ms(
        static_cast<std::uint32_t>(reader.integer(request, "", "deadline_ms", 1, maximumDeadlineMs, std::nullopt)));
    result.job.set_priority(static_cast<std::int32_t>(reader.integer(request, "", "priority", -1000, 1000, 0)));
    readTasks(request, result.job, reader);
    if (!reader.isValid())
        return reader.failure();
    return result;
}

Result<std::size_t> parseIdCount(std::string_view body)
{
    const Result<json> parsed = parseObject(body);
    if (!parsed)
        return parsed.lastReason();
    RequestReader reader;
    reader.rejectUnknownFields(*parsed, "", { "count" });
    const std::int64_t count = reader.integer(*parsed, "", "count", 1, maximumIdsPerRequest, std::nullopt);
    if (!reader.isValid())
        return reader.failure();
    return static_cast<std::size_t>(count);
}

}
