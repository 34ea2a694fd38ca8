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

constexpr int cannotStartStatus = 1;
constexpr int invalidSettingsStatus = 2;

std::uint64_t entropy()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

int runOnPlatform(const daemon::Settings& settings)
{
    BootClock clock;
    EventLoop loop(clock);
    std::unique_ptr<daemon::FleetHost> host;
    loop.watchSignals({ SIGTERM, SIGINT, SIGHUP }, [&host](int signal) {
        // Nothing of the settings changes while a process lives.
        if (signal != SIGHUP)
            host->beginDrain();
    });
    host = std::make_unique<daemon::FleetHost>(settings, clock, Incarnation(entropy()), loop);
    if (const auto failure = host->start()) {
        std::cerr << "rattanroadd: " << failure->detail << '\n';
        return cannotStartStatus;
    }
    loop.run();
    return 0;
}

int runDaemon(const daemon::Settings& settings)
{
    if (settings.storeKind == daemon::Settings::StoreKind::Platform)
        return runOnPlatform(settings);
    SteadyClock clock;
    PcgRandomSource random(entropy());
    EventLoop loop(clock);
    std::unique_ptr<daemon::Daemon> host;
    loop.watchSignals({ SIGTERM, SIGINT }, [&host](int) { host->beginDrain(); });
    host = std::make_unique<daemon::Daemon>(settings, clock, random, loop);
    if (const auto failure = host->start()) {
        std::cerr << "rattanroadd: " << failure->detail << '\n';
        return cannotStartStatus;
    }
    loop.run();
    return 0;
}

}

int main(int argc, char** argv)
{
    std::string file;
    bool checksOnly = false;
    bool printsSchema = false;
    CLI::App app("rattanroadd: the daemon of an entry host");
    app.add_option("--settings", file, "Settings file, JSON")->envname("RATTANROAD_CONFIG");
    app.add_flag("--check-settings", checksOnly, "Check the settings and exit");
    app.add_flag("--print-schema", printsSchema, "Print the JSON schema of the settings and exit");
    CLI11_PARSE(app, argc, argv);
    if (printsSchema) {
        std::cout << daemon::settingsSchema() << '\n';
        return 0;
    }
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << "rattanroadd: cannot read the settings file '" << file << "'\n";
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
