// Prints the processor time of a host that holds a shard of 117 targets, per started task, with all messages over
// sockets. Callers and targets are in another process. Usage: benchmark_holder [seconds] [jobs per second]
#include "fleet/FleetHost.h"
#include "platform/PlatformStandin.h"
#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/http/HttpClient.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace rattanroad;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int targetCount = 117;
constexpr int tasksPerJob = 3;

std::string hostAddress()
{
    return "127.79." + std::to_string(getpid() / 250 % 250) + "." + std::to_string(getpid() % 250 + 1);
}

/** Runs the host until it is terminated. */
int runHost(const std::string& ip, const std::string& storeAddress)
{
    SteadyClock clock;
    EventLoop loop { clock };
    daemon::Settings settings;
    settings.host = HostId("entry-1");
    settings.failureDomain = FailureDomainId("remera");
    settings.region = RegionId("kigali");
    settings.callerAddress = ip + ":8001";
    settings.readinessAddress = ip + ":8002";
    settings.metricsAddress = ip + ":8003";
    settings.peerAddress = ip + ":7001";
    settings.failureDomains = { FailureDomainId("remera") };
    settings.storeKind = daemon::Settings::StoreKind::Platform;
    settings.storeAddress = storeAddress;
    settings.logFile = "/dev/null";
    daemon::FleetHost host(settings, clock, Incarnation(7), loop);
    if (host.start())
        return 1;
    loop.runUntil([] { return false; }, 1h);
    return 0;
}

double processorSeconds(pid_t process)
{
    std::FILE* const file = std::fopen(("/proc/" + std::to_string(process) + "/schedstat").c_str(), "r");
    unsigned long long nanoseconds = 0;
    if (!file || std::fscanf(file, "%llu", &nanoseconds) != 1)
        std::fprintf(stderr, "cannot read the processor time\n");
    if (file)
        std::fclose(file);
    return static_cast<double>(nanoseconds) * 1e-9;
}

}

int main(int argc, char** argv)
{
    const std::chrono::seconds duration(argc > 1 ? std::atoi(argv[1]) : 10);
    const int jobsPerSecond = argc > 2 ? std::atoi(argv[2]) : 300;
    const std::string ip = hostAddress();
    std::array<int, 2> pipe {};
    if (::pipe(pipe.data()) != 0)
        return 1;
    const pid_t process = fork();
    if (process == 0) {
        std::array<char, 64> address {};
        const ssize_t length = read(pipe[0], address.data(), address.size());
        return length > 0 ? runHost(ip, std::string(address.data(), static_cast<std::size_t>(length))) : 1;
    }
    SteadyClock clock;
    EventLoop loop { clock };
    emulator::PlatformStandin platform { loop };
    for (int target = 0; target < targetCount; ++target)
        platform.addTarget("target-" + std::to_string(1000 + target), "remera");
    platform.store().put("op/config",
        R"({"version":3,"routes":[{"name":"q","host":"quotes.example","prefix":"/q/","service":"quotes",
            "maxAttempts":3,"stretch":1.6,"targetDurationMs":60}],"services":[],"limits":{"maxBodyBytes":100000}})");
    if (write(pipe[1], platform.address().data(), platform.address().size()) < 0)
        return 1;
    HttpClient http { loop, {} };
    loop.runUntil([] { return false; }, 8s);

    std::uint64_t submitted = 0;
    std::uint64_t done = 0;
    std::uint64_t other = 0;
    const TimePoint start = clock.now();
    const double before = processorSeconds(process);
    std::fprintf(stderr, "host process %d\n", process);
    while (clock.now() - start < duration) {
        const auto due
            = static_cast<std::uint64_t>(std::chrono::duration<double>(clock.now() - start).count() * jobsPerSecond);
        for (; submitted < due; ++submitted) {
            const auto taskDuration = std::chrono::milliseconds(50 + submitted * 104729 % 200);
            const auto millicores = static_cast<std::uint32_t>(13000 + submitted * 7919 % 6000);
            json phase { { "count", tasksPerJob }, { "cpu", millicores }, { "memMb", 64 },
                { "estRuntimeMs", taskDuration.count() } };
            json body { { "taskSpec", emulator::taskPayload(taskDuration, { millicores, 64, 0 }) },
                { "phases", json::array({ phase }) }, { "bestEffort", true } };
            HttpClientRequest request;
            request.method = "POST";
            const std::string number = std::to_string(submitted + 1);
            request.path = "/q/" + std::string(16 - number.size(), '0') + number;
            request.timeout = 5s;
            request.headers = { { "host", "quotes.example" }, { "content-type", "application/json" } };
            request.body = body.dump();
            http.send(ip + ":8001", std::move(request),
                [&](HttpResult&& result) { ++(result.status == 200 ? done : other); });
        }
        loop.runUntil([] { return false; }, 2ms);
    }
    const double elapsed = processorSeconds(process) - before;
    std::size_t starts = 0;
    for (const auto& task : platform.targets().runs())
        starts += task.second.size();
    kill(process, SIGTERM);
    waitpid(process, nullptr, 0);
    const auto seconds = static_cast<double>(duration.count());
    std::printf("%.0f starts/s, %.0f jobs/s done, %.0f refused or lost: %.1f us per started task, %.3f cores\n",
        static_cast<double>(starts) / seconds, static_cast<double>(done) / seconds,
        static_cast<double>(other) / seconds, elapsed * 1e6 / static_cast<double>(starts), elapsed / seconds);
    return 0;
}
