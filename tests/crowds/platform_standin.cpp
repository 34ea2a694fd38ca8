#include "platform/PlatformStandin.h"
#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <csignal>
#include <iostream>

using namespace rattanroad;

namespace {
/** The configuration of the crowd tests: one queue and the limits of known deployments. */
constexpr const char* configuration = R"({"version":3,"routes":[{"name":"q","host":"quotes.example","prefix":"/q/",
    "service":"quotes","maxAttempts":3,"stretch":1.6,"targetDurationMs":60}],"services":[],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

/** Serves the platform's store and three targets and prints their address. */
int main()
{
    SteadyClock clock;
    EventLoop loop(clock);
    loop.watchSignals({ SIGTERM, SIGINT }, [&loop](int) { loop.stop(); });
    emulator::PlatformStandin platform(loop);
    for (const char* const id : { "t-1", "t-2", "t-3" })
        platform.addTarget(id, "remera");
    platform.store().put("op/config", configuration);
    std::cout << platform.address() << std::endl;
    loop.run();
    return 0;
}
