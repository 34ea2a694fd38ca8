#pragma once

#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_network/http/HttpServer.h"
#include "rattanroad_network/loop/EventLoop.h"

#include <fstream>
#include <map>

namespace rattanroad::standins {

/** A fleet of runners in one process: one port each, with limited slots, own speed and faults on demand.

    A request without the Rattanroad-Task header to /standin/settings changes the settings of the target on that port;
    GET /standin/counts returns its counters.
*/
class TargetStandin {
public:
    enum class Mode {
        Normal,
        Hang, ///< Takes requests and never answers.
        Close, ///< Closes the connection after the request.
    };

    struct Behaviour {
        /** Run time of a task whose payload names none. */
        double runMs { 0 };
        /** Run times are divided by this. */
        double speed { 1 };
        /** Tasks beyond this number get 503 without running. */
        std::size_t slots { 8 };
        /** Share of tasks that fail with 500, 0 to 1. */
        double failShare { 0 };
        Mode mode { Mode::Normal };
    };

    struct Counts {
        std::uint64_t started { 0 };
        std::uint64_t succeeded { 0 };
        std::uint64_t failed { 0 };
        std::uint64_t rejected { 0 };
        std::size_t running { 0 };
    };

    /** @p historyFile may be empty: no history is written. */
    TargetStandin(EventLoop& loop, RandomSource& random, const std::string& historyFile);

    /** Opens a target on 127.0.0.1 and returns its port; port 0 takes any free one, -1 is returned on failure. */
    int open(int port, const Behaviour& behaviour);
    /** Refuses connections from now on; open connections stay. */
    void refuse(int port);
    Behaviour& behaviour(int port);
    Counts counts(int port) const;
    /** Sum over all targets. */
    Counts totalCounts() const;
    void flushHistory();

private:
    struct Target {
        Behaviour behaviour;
        Counts counts;
    };

    void handle(HttpRequest&& request, HttpResponder responder);
    void changeSettings(int port, Target& target, const HttpRequest& request, HttpResponder& responder);
    void runTask(Target& target, HttpRequest&& request, HttpResponder responder);
    void finishTask(Target& target, const HttpRequest& request, const std::string& result, HttpResponder& responder);
    void record(const char* event, int port, const HttpRequest& request);

    EventLoop& m_loop;
    RandomSource& m_random;
    std::ofstream m_history;
    std::map<int, Target> m_targets;
    HttpServer m_server;
};

}
