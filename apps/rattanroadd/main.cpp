#include "daemon/Daemon.h"
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

int runDaemon(const daemon::Settings& settings)
{
    SteadyClock clock;
    std::random_device entropy;
    PcgRandomSource random((static_cast<std::uint64_t>(entropy()) << 32U) | entropy());
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
    app.add_option("--settings", file, "Settings file, JSON");
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
