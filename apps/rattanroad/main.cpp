#include "rattanroad/CommandLine.h"
#include "rattanroad/http/CurlTransport.h"
#include "rattanroad_core/random/PcgRandomSource.h"
#include "rattanroad_core/time/SteadyClock.h"

#include <iostream>
#include <random>
#include <thread>

int main(int argumentCount, char** arguments)
{
    using namespace rattanroad;
    const command::CurlTransport curl;
    const SteadyClock clock;
    std::random_device device;
    PcgRandomSource random((static_cast<std::uint64_t>(device()) << 32) | device());
    command::CommandContext context { [&](const command::HttpRequest& request) { return curl.send(request); },
        [](std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); }, clock, random, std::cin,
        std::cout, std::cerr };
    return command::runCommandLine(argumentCount, arguments, context);
}
