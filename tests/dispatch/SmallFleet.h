#pragma once

#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_dispatch/rattanroad_dispatch.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanroad {

/** A few entry hosts on one virtual clock with a perfect network, targets that answer after a fixed time, and a store
    that always answers: the least that the engine needs to run.
*/
class SmallFleet {
public:
    explicit SmallFleet(std::size_t hostCount, std::size_t targetCount = 4);

    EntryHost& host(std::size_t index) { return *m_hosts.at(index).engine; }
    /** Stops a host without notice; its messages in flight still arrive. */
    void kill(std::size_t index) { m_hosts.at(index).engine.reset(); }
    /** Runs all hosts until @p duration has passed. */
    void runFor(Duration duration);
    /** Waits up to ten seconds until @p condition holds. */
    bool runUntil(const std::function<bool()>& condition);

    /** Number of starts seen by the targets, by submission and task. */
    std::map<std::string, int> starts;
    /** Answer of the targets; the default succeeds with the payload in capital letters after 100 ms. */
    std::function<TaskResult(const TaskStart&)> target;
    Duration taskTime { std::chrono::milliseconds(100) };

    static protocol::JobDescription job(std::size_t taskCount, std::uint32_t deadlineMs = 5000);

private:
    struct Host {
        std::string address;
        std::unique_ptr<EntryHost> engine;
    };

    EntryHostHooks hooks(std::size_t index);
    void deliver(const std::string& address, const protocol::Envelope& envelope);

    VirtualClock m_clock;
    PcgRandomSource m_random { 7 };
    TimerQueue m_events;
    std::map<SegmentKey, SegmentView> m_views;
    std::vector<Host> m_hosts;
};

}
