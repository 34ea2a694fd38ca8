#pragma once

#include "emulator/EmulatedStore.h"
#include "emulator/EmulatedTargets.h"
#include "rattanroad_shards/rattanroad_shards.h"

#include <deque>
#include <memory>

namespace rattanroad::emulator {

/** Entry hosts, targets, the store and callers of one deployment on a virtual clock. */
class EmulatedFleet {
public:
    struct Settings {
        std::vector<std::string> domains { "north", "south" };
        int hostsPerDomain { 2 };
        int targetsPerDomain { 3 };
        shards::Resources capacity { 32000, 65536, 0 };
    };
    struct Call {
        shards::JobId job;
        protocol::PlacedJob description;
        HostId host;
        /** Answers of all attempts, in the order in which they came. */
        std::vector<shards::EntranceVerdict> verdicts;
        TimePoint sentAt;
        TimePoint answeredAt;
        int attempts { 0 };
    };

    explicit EmulatedFleet(Settings settings);
    EmulatedFleet()
        : EmulatedFleet(Settings())
    {
    }
    EmulatedFleet(const EmulatedFleet&) = delete;
    EmulatedFleet& operator=(const EmulatedFleet&) = delete;

    /** Starts all hosts and runs until shards are held. */
    void startAll();
    void run(Duration duration) { m_queue.runUntil(m_clock.now() + duration); }
    /** Runs until @p isDone or the limit; returns whether it is done. */
    bool runUntil(const std::function<bool()>& isDone, Duration limit);

    std::vector<HostId> hosts() const;
    bool isUp(const HostId& host) const;
    void kill(const HostId& host);
    void start(const HostId& host);
    /** The host does nothing until resume(); what arrives waits. */
    void pause(const HostId& host);
    void resume(const HostId& host);
    /** The host exchanges nothing with other hosts, targets and the store; callers still reach it. */
    void isolate(const HostId& host);
    void reconnect(const HostId& host);
    shards::ShardNode& node(const HostId& host);
    /** Returns the live host that holds a shard, or an empty name. */
    HostId holderOf(const std::string& domain);

    /** Sends a job to a host. After a broken connection the caller sends it again to another host 1.3 s later. */
    Call& submit(const HostId& host, const std::string& job, std::uint32_t tasks, std::chrono::milliseconds duration,
        bool isBestEffort, bool fails = false);
    /** Sets how long callers wait for an answer. */
    void setCallerWait(std::chrono::milliseconds wait) { m_callerWait = wait; }
    /** Sends a job once more, as a caller that got no answer does. */
    void resend(Call& call, const HostId& host);

    EventQueue& queue() { return m_queue; }
    EmulatedStore& store() { return m_store; }
    EmulatedTargets& targets() { return m_targets; }
    std::deque<Call>& calls() { return m_calls; }
    const std::vector<std::string>& log() const { return m_log; }
    /** Adds a line to the log. */
    void addLogLine(const std::string& text);
    /** Returns the number of runs that a task began. */
    std::size_t startCount(const std::string& job) const;

private:
    struct Host {
        std::string domain;
        std::unique_ptr<shards::ShardNode> node;
        /** False once the process has ended. */
        std::shared_ptr<bool> isAlive;
        bool isPaused { false };
        bool isCut { false };
        std::uint64_t incarnation { 0 };
        TimePoint startedAt;
        /** Processes to which links were opened, with the time from which they carry messages. */
        std::map<HostId, std::pair<std::uint64_t, TimePoint>> links;
        std::vector<std::function<void()>> waiting;
        /** Calls that wait for an answer of this process. */
        std::vector<Call*> open;
    };

    /** Runs @p action in the process if it still lives, after a pause if it is paused. */
    std::function<void()> inProcess(const HostId& id, std::function<void()> action);
    /** Returns what makes an action of a reply run in the present process of a host, if it still lives then. */
    std::function<std::function<void()>(std::function<void()>)> repliesTo(const HostId& id);
    shards::KeyValueStore storeCalls(const HostId& id);
    shards::TargetCalls targetCalls(const HostId& id);
    /** Returns whether a message from one process reaches the other. */
    bool isLinked(const Host& from, const HostId& to) const;
    void send(const HostId& from, const std::string& address, const protocol::Envelope& message);
    void connectionBroken(Call* call);

    Settings m_settings;
    VirtualClock m_clock;
    EventQueue m_queue;
    EmulatedStore m_store;
    EmulatedTargets m_targets;
    std::map<HostId, Host> m_hosts;
    std::deque<Call> m_calls;
    std::vector<std::string> m_log;
    std::uint64_t m_lastIncarnation { 0 };
    std::chrono::milliseconds m_callerWait { 1500 };
};

}
