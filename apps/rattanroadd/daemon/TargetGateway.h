#pragma once

#include "rattanroad_dispatch/job/JobTypes.h"
#include "rattanroad_network/http/HttpClient.h"

#include <functional>
#include <map>
#include <tuple>

namespace rattanroad::daemon {

/** Sends tasks to their targets over HTTP and reports how each attempt ended. */
class TargetGateway {
public:
    using ResultCallback = std::function<void(TaskResult&&)>;

    TargetGateway(HttpClient& http, ResultCallback ended);
    TargetGateway(const TargetGateway&) = delete;
    TargetGateway& operator=(const TargetGateway&) = delete;

    /** The result callback follows exactly once. */
    void start(const TaskStart& start);
    /** Closes the request; the result still follows. An attempt that has ended is ignored. */
    void cancel(const TaskKey& key);

    /** Returns how an attempt is reported whose exchange ended with @p result. */
    static SlotUse slotUseFor(const HttpResult& result, const std::vector<int>& notRunStatuses);

private:
    using Key = std::tuple<SubmissionId, TaskIndex, AttemptNumber>;

    HttpClient& m_http;
    ResultCallback m_ended;
    std::map<Key, ExchangeId> m_exchanges;
};

}
