#include "daemon/Daemon.h"
#include "fleet/FleetHost.h"
#include "rattanroad_core/time/BootClock.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

using namespace rattanroad;

namespace {

constexpr int startFailedStatus = 1;
constexpr int invalidSettingsStatus = 2;

std::uint64_t randomUint64()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

int runFleetHost(const daemon::Settings& settings)
{
    BootClock clock;
    EventLoop loop(clock);
    std::unique_ptr<daemon::FleetHost> host;
    loop.watchSignals({ SIGTERM, SIGINT, SIGHUP }, [&host](int signal) {
        // SIGHUP is ignored: the settings are read only at the start.
        if (signal != SIGHUP)
            host->beginDrain();
    });
    host = std::make_unique<daemon::FleetHost>(settings, clock, Incarnation(randomUint64()), loop);
    if (const auto failure = host->start()) {
        std::cerr << "rattanroadd: " << failure->detail << '\n';
        return startFailedStatus;
    }
    loop.run();
    return 0;
}

int runDaemon(const daemon::Settings& settings)
{
    if (settings.storeKind == daemon::Settings::StoreKind::Platform)
        return runFleetHost(settings);
    SteadyClock clock;
    PcgRandomSource random(randomUint64());
    EventLoop loop(clock);
    std::unique_ptr<daemon::Daemon> host;
    loop.watchSignals({ SIGTERM, SIGINT }, [&host](int) { host->beginDrain(); });
    host = std::make_unique<daemon::Daemon>(settings, clock, random, loop);
    if (const auto failure = host->start()) {
        std::cerr << "rattanroadd: " << failure->detail << '\n';
        return startFailedStatus;
    }
    loop.run();
    return 0;
}

}

int main(int argc, char** argv)
{
    std::string settingsFile;
    bool checksOnly = false;
    bool printsSchema = false;
    CLI::App app("rattanroadd: the daemon of an entry host");
    app.add_option("--settings", settingsFile, "Settings file, JSON")->envname("RATTANROAD_CONFIG");
    app.add_flag("--check-settings", checksOnly, "Check the settings and exit");
    app.add_flag("--print-schema", printsSchema, "Print the JSON schema of the settings and exit");
    CLI11_PARSE(app, argc, argv);
    if (printsSchema) {
        std::cout << daemon::settingsSchema() << '\n';
        return 0;
    }
    std::ifstream stream(settingsFile);
    if (!stream) {
        std::cerr << "rattanroadd: cannot read the settings file '" << settingsFile << "'\n";
        return invalidSettingsStatus;
    }
    std::stringstream text;
    text << stream.rdbuf();
    const auto settings = daemon::Settings::parse(text.str());
    if (!settings) {
        std::cerr << settings.lastReason().detail;
        return invalidSettingsStatus;
    }
    return checksOnly ? 0 : runDaemon(*settings);
}
