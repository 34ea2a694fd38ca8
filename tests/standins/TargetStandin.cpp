#include "standins/TargetStandin.h"

#include <nlohmann/json.hpp>

namespace rattanroad::standins {

namespace {
    constexpr std::chrono::milliseconds historyFlushInterval { 100 };

    HttpResponse plain(int status, std::string body) { return { status, "text/plain", {}, std::move(body) }; }

    TargetStandin::Mode modeFromName(const std::string& name)
    {
        if (name == "hang")
            return TargetStandin::Mode::Hang;
        return name == "close" ? TargetStandin::Mode::Close : TargetStandin::Mode::Normal;
    }

    nlohmann::json toJson(const TargetStandin::Counts& counts)
    {
        return { { "started", counts.started }, { "succeeded", counts.succeeded }, { "failed", counts.failed },
            { "rejected", counts.rejected }, { "running", counts.running } };
    }
}

TargetStandin::TargetStandin(EventLoop& loop, RandomSource& random, const std::string& historyFile)
    : m_loop(loop)
    , m_random(random)
    , m_server(loop, {},
          [this](HttpRequest&& request, const HttpResponder& responder) { handle(std::move(request), responder); })
{
    if (!historyFile.empty())
        m_history.open(historyFile, std::ios::app);
    if (m_history.is_open())
        flushHistory();
}

int TargetStandin::open(int port, const Behaviour& behaviour)
{
    const Result<int> bound = m_server.listen("127.0.0.1:" + std::to_string(port));
    if (!bound)
        return -1;
    m_targets[*bound].behaviour = behaviour;
    return *bound;
}

void TargetStandin::refuse(int port) { m_server.closeListener(port); }

TargetStandin::Behaviour& TargetStandin::behaviour(int port) { return m_targets.at(port).behaviour; }

TargetStandin::Counts TargetStandin::counts(int port) const { return m_targets.at(port).counts; }

TargetStandin::Counts TargetStandin::totalCounts() const
{
    Counts total;
    for (const auto& entry : m_targets) {
        const Counts& counts = entry.second.counts;
        total.started += counts.started;
        total.succeeded += counts.succeeded;
        total.failed += counts.failed;
        total.rejected += counts.rejected;
        total.running += counts.running;
    }
    return total;
}

void TargetStandin::flushHistory()
{
    m_history.flush();
    m_loop.addTimer(historyFlushInterval, [this] { flushHistory(); });
}

void TargetStandin::handle(HttpRequest&& request, const HttpResponder& responder)
{
    Target& target = m_targets[request.localPort];
    if (request.path == "/standin/counts") {
        m_history.flush();
        const bool isTotal = request.query == "total";
        responder.send({ 200, "application/json", {}, toJson(isTotal ? totalCounts() : target.counts).dump() });
        return;
    }
    if (request.path == "/standin/settings") {
        changeSettings(request.localPort, target, request, responder);
        return;
    }
    runTask(target, std::move(request), responder);
}

void TargetStandin::changeSettings(int port, Target& target, const HttpRequest& request, const HttpResponder& responder)
{
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
        responder.send(plain(400, "expected a JSON object"));
        return;
    }
    Behaviour& behaviour = target.behaviour;
    behaviour.runMs = json.value("run_ms", behaviour.runMs);
    behaviour.speed = json.value("speed", behaviour.speed);
    behaviour.slots = json.value("slots", behaviour.slots);
    behaviour.failShare = json.value("fail_share", behaviour.failShare);
    if (json.contains("mode"))
        behaviour.mode = modeFromName(json.value("mode", ""));
    if (json.value("mode", "") == "refuse")
        refuse(port);
    responder.send(plain(200, "ok"));
}

void TargetStandin::runTask(Target& target, HttpRequest&& request, const HttpResponder& responder)
{
    if (target.counts.running >= target.behaviour.slots) {
        ++target.counts.rejected;
        record("rejected", request.localPort, request);
        responder.send(plain(503, "no free slot"));
        return;
    }
    ++target.counts.started;
    ++target.counts.running;
    record("start", request.localPort, request);
    if (target.behaviour.mode == Mode::Close) {
        --target.counts.running;
        responder.abort();
        return;
    }
    if (target.behaviour.mode == Mode::Hang) {
        // The slot stays occupied until the other side gives up.
        responder.setDisconnectCallback([&target] { --target.counts.running; });
        return;
    }
    double runMs = target.behaviour.runMs;
    std::string result = "ok";
    const auto payload = nlohmann::json::parse(request.body, nullptr, false);
    if (payload.is_object()) {
        runMs = payload.value("run_ms", runMs);
        result = payload.value("result", result);
    }
    const auto run = std::chrono::duration<double, std::milli>(runMs / target.behaviour.speed);
    if (run.count() <= 0) {
        finishTask(target, request, result, responder);
        return;
    }
    m_loop.addTimer(std::chrono::duration_cast<Duration>(run),
        [this, &target, request = std::move(request), responder, result]() mutable {
            finishTask(target, request, result, responder);
        });
}

void TargetStandin::finishTask(
    Target& target, const HttpRequest& request, const std::string& result, const HttpResponder& responder)
{
    --target.counts.running;
    const bool isFailure = m_random.uniform() < target.behaviour.failShare;
    record(isFailure ? "fail" : "end", request.localPort, request);
    if (isFailure) {
        ++target.counts.failed;
        responder.send(plain(500, "the task failed"));
        return;
    }
    ++target.counts.succeeded;
    responder.send(plain(200, result));
}

void TargetStandin::record(const char* event, int port, const HttpRequest& request)
{
    if (!m_history.is_open())
        return;
    const auto time
        = std::chrono::duration_cast<std::chrono::microseconds>(m_loop.clock().wallNow().time_since_epoch());
    const std::string* const task = request.header("rattanroad-task");
    const auto payload = nlohmann::json::parse(request.body, nullptr, false);
    // The caller's own name of the task, so that histories do not rely on the ids that rattanroad hands out.
    const auto taskName = payload.is_object() ? payload.value("name", std::string()) : std::string();
    m_history << R"({"time_us":)" << time.count() << R"(,"event":")" << event << R"(","target":)" << port
              << R"(,"task":)" << nlohmann::json(task ? *task : "").dump() << R"(,"name":)"
              << nlohmann::json(taskName).dump() << "}\n";
}

}
