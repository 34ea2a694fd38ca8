#pragma once

#include "rattanroad_dispatch/job/JobTypes.h"
#include "rattanroad_network/http/HttpClient.h"

#include <functional>
#include <map>
#include <tuple>

namespace rattanroad::daemon {

/** Sends tasks to their targets over HTTP and reports the result of each attempt. */
class TargetGateway {
public:
    using ResultCallback = std::function<void(TaskResult&&)>;

    TargetGateway(HttpClient& http, ResultCallback callback);
    TargetGateway(const TargetGateway&) = delete;
    TargetGateway& operator=(const TargetGateway&) = delete;

    /** Starts an attempt; the result callback is called exactly once for it. */
    void start(const TaskStart& start);
    /** Closes the connection of an attempt; its result is still reported. Ignored when the attempt has ended. */
    void cancel(const TaskKey& key);

    /** Maps the end of an HTTP exchange to the use of the slot. @p notRunStatuses are the statuses with which the
       target states that it did not run the task.
    */
    static SlotUse slotUseFor(const HttpResult& result, const std::vector<int>& notRunStatuses);

private:
    using Key = std::tuple<SubmissionId, TaskIndex, AttemptNumber>;

    HttpClient& m_http;
    ResultCallback m_callback;
    /** Exchanges in flight. */
    std::map<Key, ExchangeId> m_exchanges;
};

}
