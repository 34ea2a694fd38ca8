#include "rattanroad_core/rattanroad_core.h"
#include "standins/StoreStandin.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

using namespace rattanroad;

int main(int argc, char** argv)
{
    int port = 2379;
    int controlPort = 2380;
    CLI::App app("Stand-in for the platform's key-value store on 127.0.0.1");
    app.add_option("--port", port, "Port of the store");
    app.add_option("--control-port", controlPort, "Port of /testing/mode and /testing/counts");
    CLI11_PARSE(app, argc, argv);

    SteadyClock clock;
    EventLoop loop(clock);
    loop.watchSignals({ SIGTERM, SIGINT }, [&loop](int) { loop.stop(); });
    standins::StoreStandin store(loop);
    if (!store.open(port, controlPort)) {
        std::cerr << "cannot listen on ports " << port << " and " << controlPort << '\n';
        return 1;
    }
    loop.run();
    return 0;
}
