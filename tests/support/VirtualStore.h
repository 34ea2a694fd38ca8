#pragma once

#include "rattanroad_configuration/rattanroad_configuration.h"

#include <functional>
#include <map>
#include <string>

namespace rattanroad {

/** The platform's store on a virtual clock: latency, outages, lost replies, stale reads. */
class VirtualStore {
public:
    explicit VirtualStore(VirtualClock& clock)
        : m_clock(clock)
    {
    }

    Duration latency { std::chrono::milliseconds(4) };
    bool isDown { false };
    /** Writes take effect, but their replies are lost, this many times. */
    int repliesToLose { 0 };
    /** Writes get lost on their way to the store this many times. */
    int writesToLose { 0 };
    /** Reads are answered from the state before the last write. */
    bool isStale { false };
    /** Extra time until a write reaches the store. */
    Duration writeDelay { 0 };
    std::uint64_t reads { 0 };
    std::uint64_t writes { 0 };

    void get(const StoreGet& request, std::function<void(const StoreGetAnswer&)> answer)
    {
        ++reads;
        after(latency, [this, request, answer = std::move(answer)] {
            StoreGetAnswer result;
            result.requestId = request.requestId;
            if (!isDown) {
                const auto& state = isStale ? m_before : m_now;
                result.outcome = StoreOutcome::Succeeded;
                result.storeRevision = state.revision;
                const auto found = state.values.find(request.key);
                if (found != state.values.end())
                    result.value = found->second;
            }
            answer(result);
        });
    }

    void putIf(const StorePutIf& request, std::function<void(const StorePutIfAnswer&)> answer)
    {
        ++writes;
        if (writesToLose > 0) {
            --writesToLose;
            return;
        }
        after(latency + writeDelay, [this, request, answer = std::move(answer)] {
            StorePutIfAnswer result;
            result.requestId = request.requestId;
            if (!isDown)
                result.outcome = apply(request);
            result.storeRevision = m_now.revision;
            const bool isLost = result.outcome == StoreOutcome::Succeeded && repliesToLose > 0;
            if (isLost)
                --repliesToLose;
            else
                answer(result);
        });
    }

    /** Opens a watch of the host @p owner. */
    void watch(const std::string& owner, const StoreWatch& request, std::function<void(const StoreWatchEvent&)> event)
    {
        if (isDown) {
            after(latency, [request, event] { event({ request.watchId, StoreWatchEvent::Kind::Closed, {} }); });
            return;
        }
        const auto found = m_now.values.find(request.key);
        if (found != m_now.values.end() && found->second.modRevision >= request.fromRevision)
            after(latency, [request, event, value = found->second] {
                event({ request.watchId, StoreWatchEvent::Kind::Put, value });
            });
        m_watches.push_back({ owner, request, std::move(event) });
    }

    void stopWatch(const std::string& owner, StoreWatchId id)
    {
        removeWatches([&](const Watch& watch) { return watch.owner == owner && watch.request.watchId == id; });
    }

    /** Ends the watches of @p owner without telling it: its process died, or the connection did. */
    void disconnect(const std::string& owner)
    {
        removeWatches([&](const Watch& watch) { return watch.owner == owner; });
    }

    /** Breaks all watches and refuses everything until start(). */
    void stop()
    {
        isDown = true;
        for (const auto& watch : std::exchange(m_watches, {}))
            watch.event({ watch.request.watchId, StoreWatchEvent::Kind::Closed, {} });
    }

    void start() { isDown = false; }

    StoreOutcome apply(const StorePutIf& request)
    {
        const auto found = m_now.values.find(request.key);
        const auto revision = found == m_now.values.end() ? StoreRevision(0) : found->second.modRevision;
        if (revision != request.expectedModRevision)
            return StoreOutcome::ComparisonFailed;
        m_before = m_now;
        m_now.revision = StoreRevision(m_now.revision.value() + 1);
        for (const auto& put : request.puts)
            write(put);
        return StoreOutcome::Succeeded;
    }

    const StoreValue* find(const std::string& key) const
    {
        const auto found = m_now.values.find(key);
        return found == m_now.values.end() ? nullptr : &found->second;
    }

    std::size_t watchCount() const { return m_watches.size(); }
    std::size_t keyCount() const { return m_now.values.size(); }

    TimePoint nextEvent() const { return m_events.empty() ? TimePoint::max() : m_events.begin()->first; }

    void runDue()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_clock.now()) {
            const auto event = m_events.begin()->second;
            m_events.erase(m_events.begin());
            event();
        }
    }

private:
    struct State {
        std::map<std::string, StoreValue> values;
        StoreRevision revision { 1 };
    };
    struct Watch {
        std::string owner;
        StoreWatch request;
        std::function<void(const StoreWatchEvent&)> event;
    };

    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_clock.now() + delay, std::move(event));
    }

    template <typename Condition> void removeWatches(Condition condition)
    {
        m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(), condition), m_watches.end());
    }

    void write(const StorePut& put)
    {
        const StoreValue value { put.value, m_now.revision };
        m_now.values[put.key] = value;
        for (const auto& watch : m_watches) {
            if (watch.request.key == put.key)
                after(latency, [watch, value] {
                    watch.event({ watch.request.watchId, StoreWatchEvent::Kind::Put, value });
                });
        }
    }

    VirtualClock& m_clock;
    State m_now;
    State m_before;
    std::vector<Watch> m_watches;
    std::multimap<TimePoint, std::function<void()>> m_events;
};

}
