#include "rattanroad/commands/JobCommands.h"

#include "rattanroad/http/Problem.h"
#include "rattanroad_core/identifiers/SubmissionId.h"

namespace rattanroad::command {

namespace {

    using Json = nlohmann::json;

    constexpr std::chrono::seconds requestTimeLimit { 10 };
    // Time allowed for the response after the job's deadline; covers a takeover by the backup.
    constexpr std::chrono::milliseconds responseGracePeriod { 5000 };
    constexpr std::uint64_t maximumDeadlineMilliseconds = 600'000;
    constexpr size_t maximumTasks = 260;

    Failure malformed(const std::string& detail) { return { FailureCode::MalformedRequest, RunState::NotRun, detail }; }

    Result<Json> parseJob(const std::string& text)
    {
        auto job = Json::parse(text, nullptr, false);
        if (!job.is_object())
            return malformed("the job is not a JSON object");
        const auto tasks = job.find("tasks");
        if (tasks == job.end() || !tasks->is_array() || tasks->empty() || tasks->size() > maximumTasks)
            return malformed("tasks: must be an array of 1 to 260 tasks");
        const auto deadline = job.find("deadline_ms");
        if (deadline == job.end() || !deadline->is_number_unsigned()
            || deadline->get<std::uint64_t>() > maximumDeadlineMilliseconds)
            return malformed("deadline_ms: must be an integer up to 600000");
        return job;
    }

    std::string idOf(const Json& response, const std::string& fallback)
    {
        const auto found = response.find("submission_id");
        return found != response.end() && found->is_string() ? found->get<std::string>() : fallback;
    }

    std::string textOf(const Json& response, const std::string& id)
    {
        const auto state = response.find("state");
        std::string text = "submission " + id + "\n";
        if (state != response.end())
            text += "state " + (state->is_string() ? state->get<std::string>() : state->dump()) + "\n";
        const auto results = response.find("results");
        for (size_t index = 0; results != response.end() && index < results->size(); ++index) {
            const auto& result = (*results)[index];
            text += "task " + std::to_string(index) + ": "
                + (result.is_string() ? result.get<std::string>() : result.dump()) + "\n";
        }
        return text;
    }

}

JobCommands::JobCommands(const Reporter& reporter, ServerPool& servers)
    : m_reporter(reporter)
    , m_servers(servers)
{
}

Result<std::vector<std::string>> JobCommands::fetchIds(std::size_t count)
{
    const HttpRequest request { "POST", "", "/v1/submission-ids", { { "Content-Type", "application/json" } },
        Json { { "count", count } }.dump() };
    const auto exchange = m_servers.send(request, requestTimeLimit);
    // It is harmless to lose a response: the ids in it stay unused.
    if (!exchange.isSuccess())
        return readFailureOf(exchange);
    std::vector<std::string> ids;
    const auto response = Json::parse(exchange.body, nullptr, false);
    if (response.is_object() && response.contains("ids") && response.at("ids").is_array()) {
        for (const auto& id : response.at("ids")) {
            if (id.is_string())
                ids.push_back(id.get<std::string>());
        }
    }
    if (ids.empty())
        return Failure { FailureCode::Internal, RunState::NotRun, "the server's response contains no submission ids" };
    return ids;
}

ExitCode JobCommands::ids(std::size_t count)
{
    const auto ids = fetchIds(count);
    if (!ids)
        return m_reporter.failure(ids.lastReason());
    std::string text;
    for (const auto& id : *ids)
        text += id + "\n";
    return m_reporter.success(text, { { "ids", *ids } });
}

ExitCode JobCommands::submit(const Submission& submission)
{
    auto job = parseJob(submission.job);
    if (!job)
        return m_reporter.failure(job.lastReason());
    HttpRequest request { "POST", "", "/v1/jobs", { { "Content-Type", "application/json" } }, "" };
    auto id = submission.id.empty() ? idOf(*job, "") : submission.id;
    if (!submission.key.empty()) {
        job->erase("submission_id");
        request.headers.emplace_back("Idempotency-Key", submission.key);
    } else {
        if (id.empty()) {
            const auto fetched = fetchIds(1);
            if (!fetched)
                return m_reporter.failure(fetched.lastReason());
            id = fetched->front();
        }
        (*job)["submission_id"] = id;
    }
    if (submission.isAsynchronous)
        request.headers.emplace_back("Prefer", "respond-async");
    request.body = job->dump(-1, ' ', false, Json::error_handler_t::replace);
    const auto timeLimit = std::chrono::milliseconds((*job)["deadline_ms"].get<std::uint64_t>()) + responseGracePeriod;
    request.timeout = timeLimit;
    return reportJob(m_servers.send(request, timeLimit), id);
}

ExitCode JobCommands::query(const std::string& id)
{
    const auto parsed = SubmissionId::parse(id);
    if (!parsed)
        return m_reporter.failure(parsed.lastReason());
    const auto exchange = m_servers.send({ "GET", "", "/v1/jobs/" + id, {}, "" }, requestTimeLimit);
    if (exchange.outcome != HttpExchange::Outcome::ResponseReceived)
        return m_reporter.failure(readFailureOf(exchange));
    return reportJob(exchange, id);
}

ExitCode JobCommands::cancel(const std::string& id)
{
    const auto parsed = SubmissionId::parse(id);
    if (!parsed)
        return m_reporter.failure(parsed.lastReason());
    const auto exchange = m_servers.send({ "DELETE", "", "/v1/jobs/" + id, {}, "" }, requestTimeLimit);
    const bool hasResponse = exchange.outcome == HttpExchange::Outcome::ResponseReceived;
    // A cancelled job is returned as the failure "cancelled", which is the requested result here.
    if (hasResponse && !exchange.isSuccess() && failureOf(exchange).code == FailureCode::Cancelled) {
        const auto failure = failureOf(exchange);
        return m_reporter.success("cancelled, " + std::string(name(failure.runState)),
            { { "submission_id", id }, { "state", "cancelled" }, { "run_state", name(failure.runState) } });
    }
    return reportJob(exchange, id);
}

ExitCode JobCommands::reportJob(const HttpExchange& exchange, const std::string& id)
{
    if (!exchange.isSuccess()) {
        auto failure = failureOf(exchange);
        if (failure.runState == RunState::OutcomeUnknown && !id.empty())
            failure.detail += "; submission " + id;
        return m_reporter.failure(failure);
    }
    auto response = Json::parse(exchange.body, nullptr, false);
    if (!response.is_object())
        response = Json { { "submission_id", id } };
    return m_reporter.success(textOf(response, idOf(response, id)), response);
}

}
