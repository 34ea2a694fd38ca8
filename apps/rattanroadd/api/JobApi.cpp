#include "api/JobApi.h"

#include "api/JobRequestParser.h"
#include "api/ProblemResponse.h"

#include "rattanroad_network/store/Base64.h"

#include <nlohmann/json.hpp>

using nlohmann::json;

namespace rattanroad::daemon {

namespace {
    const std::string jobsPath = "/v1/jobs";

    Failure unsupportedMethod(const HttpRequest& request)
    {
        return { FailureCode::NotFound, RunState::NotRun, "no " + request.method + " of " + request.path };
    }

    bool isAsynchronous(const HttpRequest& request)
    {
        const std::string* const prefer = request.header("prefer");
        return prefer && prefer->find("respond-async") != std::string::npos;
    }

    /** Encodes results as JSON strings, and each one that is not valid UTF-8 as {"base64": ...}. */
    json encodeResults(const std::vector<std::string>& results)
    {
        json array = json::array();
        for (const std::string& result : results) {
            try {
                array.push_back(json::parse(json(result).dump()));
            } catch (const json::type_error&) {
                array.push_back({ { "base64", encodeBase64(result) } });
            }
        }
        return array;
    }
}

HttpResponse jobResponse(const JobAnswer& answer)
{
    if (!answer.isComplete && !answer.isInProgress)
        return problemResponse(answer.failure, answer.submissionId);
    json body { { "submission_id", answer.submissionId ? answer.submissionId->text() : "" },
        { "state", answer.isComplete ? "complete" : "in-progress" } };
    if (!answer.isComplete)
        return { 200, "application/json", {}, body.dump() };
    body["results"] = answer.results;
    try {
        return { 200, "application/json", {}, body.dump() };
    } catch (const json::type_error&) {
        body["results"] = encodeResults(answer.results);
        return { 200, "application/json", {}, body.dump() };
    }
}

JobApi::JobApi(Settings settings, Dependencies dependencies)
    : m_settings(settings)
    , m_dependencies(dependencies)
    , m_observeDuration(dependencies.metrics.histogram(
          "rattanroad_job_duration_seconds", "Time from the arrival of a job to its answer", Metrics::timeBuckets()))
{
}

bool JobApi::handle(const HttpRequest& request, const HttpResponder& responder)
{
    if (request.path == "/v1/submission-ids")
        mintIds(request, responder);
    else if (request.path == jobsPath)
        submit(request, responder);
    else if (request.path.compare(0, jobsPath.size() + 1, jobsPath + "/") == 0)
        handleJob(request, responder);
    else
        return false;
    return true;
}

void JobApi::mintIds(const HttpRequest& request, const HttpResponder& responder)
{
    if (request.method != "POST") {
        responder.send(problemResponse(unsupportedMethod(request)));
        return;
    }
    const Result<std::size_t> count = parseIdCount(request.body);
    if (!count) {
        responder.send(problemResponse(count.lastReason()));
        return;
    }
    json ids = json::array();
    for (const SubmissionId& id : m_dependencies.engine.mintIds(*count))
        ids.push_back(id.text());
    responder.send({ 200, "application/json", {}, json { { "ids", std::move(ids) } }.dump() });
}

void JobApi::submit(const HttpRequest& request, const HttpResponder& responder)
{
    if (request.method != "POST") {
        responder.send(problemResponse(unsupportedMethod(request)));
        return;
    }
    Result<JobRequest> job = parseJobRequest(request.body);
    if (!job) {
        responder.send(problemResponse(job.lastReason()));
        return;
    }
    if (const std::string* const key = request.header("idempotency-key"))
        job->job.set_idempotency_key(*key);
    const std::string* const traceparent = request.header("traceparent");
    const auto parent = traceparent ? TraceContext::parse(*traceparent) : std::nullopt;
    const TraceContext trace = startTrace(request, job->job);
    const TimePoint arrivedAt = m_dependencies.clock.now();
    const auto begin = m_dependencies.clock.wallNow();
    responder.setDisconnectCallback([disconnectCount = m_disconnectCount] { ++*disconnectCount; });
    const AnswerCallback onAnswer
        = [this, responder, trace, parentId = parent ? parent->spanId : "", arrivedAt, begin](const JobAnswer& answer) {
              m_observeDuration(std::chrono::duration<double>(m_dependencies.clock.now() - arrivedAt).count());
              recordSpan(trace, parentId, begin, answer);
              HttpResponse response = jobResponse(answer);
              if (answer.isInProgress && answer.submissionId) {
                  response.status = 202;
                  response.headers.push_back({ "location", jobsPath + "/" + answer.submissionId->text() });
              }
              responder.send(response);
          };
    if (isAsynchronous(request))
        m_dependencies.engine.submitAsynchronously(std::move(*job), onAnswer);
    else
        m_dependencies.engine.submit(std::move(*job), onAnswer);
}

void JobApi::handleJob(const HttpRequest& request, const HttpResponder& responder)
{
    const Result<SubmissionId> id = SubmissionId::parse(request.path.substr(jobsPath.size() + 1));
    if (!id) {
        responder.send(problemResponse(id.lastReason()));
        return;
    }
    const AnswerCallback onAnswer = [responder](const JobAnswer& answer) { responder.send(jobResponse(answer)); };
    if (request.method == "GET")
        m_dependencies.engine.query(*id, onAnswer);
    else if (request.method == "DELETE")
        m_dependencies.engine.cancel(*id, onAnswer);
    else
        responder.send(problemResponse(unsupportedMethod(request)));
}

TraceContext JobApi::startTrace(const HttpRequest& request, protocol::JobDescription& job)
{
    const std::string* const header = request.header("traceparent");
    const auto parent = header ? TraceContext::parse(*header) : std::nullopt;
    if (parent && !parent->isSampled) {
        job.set_traceparent(*header);
        return *parent;
    }
    if (!parent && m_dependencies.random.uniform() >= m_settings.traceSampleShare)
        return {};
    TraceContext context
        = parent ? parent->child(m_dependencies.random) : TraceContext::create(m_dependencies.random, true);
    job.set_traceparent(context.header());
    return context;
}

void JobApi::recordSpan(const TraceContext& context, const std::string& parent,
    std::chrono::system_clock::time_point begin, const JobAnswer& answer)
{
    if (!context.isSampled)
        return;
    Span span { context.traceId, context.spanId, parent, "accept", begin, m_dependencies.clock.wallNow(), {},
        !answer.isComplete && !answer.isInProgress };
    if (answer.submissionId)
        span.attributes.emplace_back("submission_id", answer.submissionId->text());
    if (span.isError)
        span.attributes.emplace_back("problem", name(answer.failure.code));
    m_dependencies.traces.add(std::move(span));
}

}
