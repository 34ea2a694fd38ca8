#include "api/JobApi.h"

#include "api/JobRequestParser.h"
#include "api/ProblemResponse.h"

#include "rattanroad_network/store/Base64.h"

#include <nlohmann/json.hpp>

using nlohmann::json;

namespace rattanroad::daemon {

namespace {
    const std::string jobsPath = "/v1/jobs";

    Failure methodFailure(const HttpRequest& request)
    {
        return { FailureCode::NotFound, RunState::NotRun, "no " + request.method + " of " + request.path };
    }

    bool isAsynchronous(const HttpRequest& request)
    {
        const std::string* const preference = request.header("prefer");
        return preference && preference->find("respond-async") != std::string::npos;
    }

    /** A result that is not valid UTF-8 cannot be a JSON string and is given as {"base64": ...}. */
    json resultsWithBinary(const std::vector<std::string>& results)
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
        body["results"] = resultsWithBinary(answer.results);
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
        responder.send(problemResponse(methodFailure(request)));
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
        responder.send(problemResponse(methodFailure(request)));
        return;
    }
    Result<JobRequest> job = parseJobRequest(request.body);
    if (!job) {
        responder.send(problemResponse(job.lastReason()));
        return;
    }
    if (const std::string* const key = request.header("idempotency-key"))
        job->job.set_idempotency_key(*key);
    const std::string* const parentHeader = request.header("traceparent");
    const auto parent = parentHeader ? TraceContext::parse(*parentHeader) : std::nullopt;
    const TraceContext trace = traceOf(request, job->job);
    const TimePoint arrived = m_dependencies.clock.now();
    const auto begin = m_dependencies.clock.wallNow();
    responder.setDisconnectCallback([disconnects = m_disconnects] { ++*disconnects; });
    const AnswerCallback answered
        = [this, responder, trace, parentId = parent ? parent->spanId : "", arrived, begin](const JobAnswer& answer) {
              m_observeDuration(std::chrono::duration<double>(m_dependencies.clock.now() - arrived).count());
              recordSpan(trace, parentId, begin, answer);
              HttpResponse response = jobResponse(answer);
              if (answer.isInProgress && answer.submissionId) {
                  response.status = 202;
                  response.headers.push_back({ "location", jobsPath + "/" + answer.submissionId->text() });
              }
              responder.send(response);
          };
    if (isAsynchronous(request))
        m_dependencies.engine.submitAsynchronously(std::move(*job), answered);
    else
        m_dependencies.engine.submit(std::move(*job), answered);
}

void JobApi::handleJob(const HttpRequest& request, const HttpResponder& responder)
{
    const Result<SubmissionId> id = SubmissionId::parse(request.path.substr(jobsPath.size() + 1));
    if (!id) {
        responder.send(problemResponse(id.lastReason()));
        return;
    }
    const AnswerCallback answered = [responder](const JobAnswer& answer) { responder.send(jobResponse(answer)); };
    if (request.method == "GET")
        m_dependencies.engine.query(*id, answered);
    else if (request.method == "DELETE")
        m_dependencies.engine.cancel(*id, answered);
    else
        responder.send(problemResponse(methodFailure(request)));
}

TraceContext JobApi::traceOf(const HttpRequest& request, protocol::JobDescription& job)
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
