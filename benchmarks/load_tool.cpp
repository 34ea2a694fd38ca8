#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/http/HttpClient.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace rattanroad;

namespace {

struct Load {
    std::vector<std::string> addresses;
    bool isDirect { false };
    std::size_t connections { 8 };
    std::size_t tasks { 100 };
    double seconds { 5 };
    double warmUpSeconds { 1 };
    std::string kind { "quote" };
    std::string team { "load" };
    double runMs { 0 };
    std::size_t payloadBytes { 100 };
    std::uint64_t deadlineMs { 20000 };
};

/** Closed loop: each connection sends its next request when the answer has come. */
class LoadGenerator {
public:
    LoadGenerator(EventLoop& loop, const Load& load)
        : m_loop(loop)
        , m_load(load)
        , m_http(loop, {})
        , m_request(load.isDirect ? directRequest(load) : jobRequest(load))
    {
    }

    void run()
    {
        const TimePoint begin = m_loop.clock().now();
        m_measureFrom = begin + toDuration(m_load.warmUpSeconds);
        m_end = m_measureFrom + toDuration(m_load.seconds);
        for (std::size_t i = 0; i < m_load.connections; ++i)
            send(m_load.addresses[i % m_load.addresses.size()]);
        m_loop.runUntil([this] { return m_http.active() == 0; }, m_end - begin + std::chrono::seconds(30));
    }

    void print() const
    {
        std::vector<double> times = m_times;
        std::sort(times.begin(), times.end());
        const auto quantile = [&times](double share) {
            return times.empty() ? 0 : times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
        };
        const std::size_t perRequest = m_load.isDirect ? 1 : m_load.tasks;
        const double starts = static_cast<double>(m_times.size() * perRequest) / m_load.seconds;
        const nlohmann::ordered_json line { { "mode", m_load.isDirect ? "direct" : "jobs" },
            { "connections", m_load.connections }, { "tasks_per_request", perRequest }, { "requests", m_times.size() },
            { "failures", m_failures }, { "starts_per_s", starts }, { "p50_ms", quantile(0.5) },
            { "p99_ms", quantile(0.99) } };
        std::cout << line.dump() << '\n';
        if (!m_lastFailure.empty())
            std::cerr << "last failure: " << m_lastFailure << '\n';
    }

    bool isClean() const { return m_failures == 0 && !m_times.empty(); }

private:
    static Duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    static std::string payload(const Load& load)
    {
        return nlohmann::json { { "run_ms", load.runMs }, { "padding", std::string(load.payloadBytes, 'x') } }.dump();
    }

    static HttpClientRequest directRequest(const Load& load)
    {
        return { "POST", "/run", {}, payload(load), std::chrono::milliseconds(load.deadlineMs) };
    }

    static HttpClientRequest jobRequest(const Load& load)
    {
        nlohmann::json task { { "kind", load.kind }, { "payload", payload(load) } };
        if (load.runMs >= 1)
            task["declared_ms"] = static_cast<std::uint64_t>(load.runMs);
        const nlohmann::json job { { "team", load.team }, { "deadline_ms", load.deadlineMs },
            { "tasks", std::vector<nlohmann::json>(load.tasks, task) } };
        return { "POST", "/v1/jobs", {}, job.dump(), std::chrono::milliseconds(load.deadlineMs + 5000) };
    }

    void send(const std::string& address)
    {
        const TimePoint sent = m_loop.clock().now();
        m_http.send(address, m_request, [this, address, sent](HttpResult&& result) { ended(address, sent, result); });
    }

    void ended(const std::string& address, TimePoint sent, const HttpResult& result)
    {
        const TimePoint now = m_loop.clock().now();
        const bool isSuccess = result.ending == HttpEnding::Answered && result.status == 200;
        if (!isSuccess) {
            ++m_failures;
            m_lastFailure = result.detail + " " + std::to_string(result.status) + " " + result.body.substr(0, 300);
        } else if (now >= m_measureFrom && now < m_end) {
            m_times.push_back(std::chrono::duration<double, std::milli>(now - sent).count());
        }
        if (now < m_end)
            send(address);
    }

    EventLoop& m_loop;
    const Load& m_load;
    HttpClient m_http;
    HttpClientRequest m_request;
    TimePoint m_measureFrom;
    TimePoint m_end;
    std::vector<double> m_times;
    std::uint64_t m_failures { 0 };
    std::string m_lastFailure;
};

}

int main(int argc, char** argv)
{
    Load load;
    CLI::App app("Closed-loop load on a daemon, or directly on targets for comparison");
    app.add_option("--address", load.addresses, "Addresses, used in turn")->required();
    app.add_flag("--direct", load.isDirect, "Send single requests to targets instead of jobs to a daemon");
    app.add_option("--connections", load.connections, "Requests in progress")->check(CLI::Range(1, 10000));
    app.add_option("--tasks", load.tasks, "Tasks per job")->check(CLI::Range(1, 260));
    app.add_option("--seconds", load.seconds, "Measured time")->check(CLI::Range(0.1, 600.0));
    app.add_option("--warm-up", load.warmUpSeconds, "Time before the measurement");
    app.add_option("--kind", load.kind, "Kind of work");
    app.add_option("--team", load.team, "Team");
    app.add_option("--run-ms", load.runMs, "Run time of each task");
    app.add_option("--payload-bytes", load.payloadBytes, "Padding of each payload");
    CLI11_PARSE(app, argc, argv);

    SteadyClock clock;
    EventLoop loop(clock);
    LoadGenerator generator(loop, load);
    generator.run();
    generator.print();
    return generator.isClean() ? 0 : 1;
}
