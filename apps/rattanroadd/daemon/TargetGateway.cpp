#include "daemon/TargetGateway.h"

#include <algorithm>

namespace rattanroad::daemon {

namespace {
    std::string failureDetail(const HttpResult& result)
    {
        if (result.ending == HttpEnding::Answered)
            return "the target answered " + std::to_string(result.status);
        return result.detail;
    }
}

TargetGateway::TargetGateway(HttpClient& http, ResultCallback callback)
    : m_http(http)
    , m_callback(std::move(callback))
{
}

void TargetGateway::start(const TaskStart& start)
{
    HttpClientRequest request;
    request.path = start.path;
    request.body = start.payload;
    request.timeout = start.deadlineLeft;
    request.headers.reserve(4);
    request.headers.push_back(
        { "rattanroad-task", start.key.submission.text() + "/" + std::to_string(start.key.task.value()) });
    request.headers.push_back({ "rattanroad-deadline-ms", std::to_string(start.deadlineLeft.count()) });
    request.headers.push_back({ "rattanroad-kind", start.kind.value() });
    if (!start.traceparent.empty())
        request.headers.push_back({ "traceparent", start.traceparent });
    const Key key(start.key.submission, start.key.task, start.key.attempt);
    m_exchanges[key] = m_http.send(start.address, std::move(request),
        [this, key, taskKey = start.key, notRunStatuses = start.notRunStatuses](HttpResult&& result) {
            m_exchanges.erase(key);
            TaskResult taskResult;
            taskResult.key = taskKey;
            taskResult.use = slotUseFor(result, notRunStatuses);
            taskResult.ran = result.elapsed;
            if (taskResult.use == SlotUse::Succeeded)
                taskResult.result = std::move(result.body);
            else
                taskResult.detail = failureDetail(result);
            m_callback(std::move(taskResult));
        });
}

void TargetGateway::cancel(const TaskKey& key)
{
    const auto found = m_exchanges.find(Key(key.submission, key.task, key.attempt));
    if (found != m_exchanges.end())
        m_http.cancel(found->second);
}

SlotUse TargetGateway::slotUseFor(const HttpResult& result, const std::vector<int>& notRunStatuses)
{
    if (result.ending == HttpEnding::NeverOpened)
        return SlotUse::Unreachable;
    if (result.ending == HttpEnding::SentNoAnswer)
        return SlotUse::Unknown;
    if (result.status >= 200 && result.status < 300)
        return SlotUse::Succeeded;
    const bool isRejected
        = std::find(notRunStatuses.begin(), notRunStatuses.end(), result.status) != notRunStatuses.end();
    return isRejected ? SlotUse::Rejected : SlotUse::Failed;
}

}
