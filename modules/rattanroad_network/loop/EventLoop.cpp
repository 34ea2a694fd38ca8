#include "rattanroad_network/loop/EventLoop.h"

#include "rattanroad_network/loop/H2o.h"

#include <algorithm>
#include <cassert>
#include <csignal>
#include <map>
#include <sys/signalfd.h>
#include <unistd.h>
#include <unordered_map>

namespace rattanroad {

namespace {
    /** Longest wait of one iteration; bounds the effect of a wakeup time that was computed wrongly. */
    constexpr std::chrono::milliseconds maximumWait { 500 };
}

class EventLoop::Impl {
public:
    explicit Impl(Clock& clock)
        : m_clock(clock)
        , m_loop(h2o_evloop_create())
    {
        // h2o writes without MSG_NOSIGNAL; a closed connection must be an error of that connection only.
        std::signal(SIGPIPE, SIG_IGN);
    }

    ~Impl()
    {
        while (!m_watched.empty())
            unwatch(m_watched.begin()->first);
        if (m_signalDescriptor >= 0)
            close(m_signalDescriptor);
        // h2o_evloop_destroy() asserts that no socket is left, which connections that are still open would violate.
    }

    void iterate(Duration limit)
    {
        h2o_evloop_run(m_loop, static_cast<int32_t>(waitMilliseconds(limit)));
        runTimers();
        runDeferred();
        if (m_iterationCallback)
            m_iterationCallback();
    }

    TimerId addTimer(Duration delay, Callback callback)
    {
        const TimerId id(++m_lastTimer);
        const TimePoint due = m_clock.now() + delay;
        m_timers.emplace(std::make_pair(due, id.value()), std::move(callback));
        m_dueById.emplace(id.value(), due);
        return id;
    }

    void cancelTimer(TimerId timer)
    {
        const auto found = m_dueById.find(timer.value());
        if (found == m_dueById.end())
            return;
        m_timers.erase({ found->second, found->first });
        m_dueById.erase(found);
    }

    void watch(int descriptor, Callback readable)
    {
        assert(!m_watched.count(descriptor));
        auto watched = std::make_unique<Watched>();
        watched->readable = std::move(readable);
        watched->socket = h2o_evloop_socket_create(m_loop, descriptor, H2O_SOCKET_FLAG_DONT_READ);
        watched->socket->data = watched.get();
        h2o_socket_read_start(watched->socket, [](h2o_socket_t* socket, const char*) {
            // A copy, as the callback may end its own watch.
            const Callback readable = static_cast<Watched*>(socket->data)->readable;
            readable();
        });
        m_watched.emplace(descriptor, std::move(watched));
    }

    void unwatch(int descriptor)
    {
        const auto found = m_watched.find(descriptor);
        assert(found != m_watched.end());
        h2o_socket_read_stop(found->second->socket);
        // Exporting detaches the descriptor from the loop without closing it.
        h2o_socket_export_t exported {};
        if (h2o_socket_export(found->second->socket, &exported) == 0)
            h2o_buffer_dispose(&exported.input);
        m_watched.erase(found);
    }

    void watchSignals(const std::vector<int>& signals, std::function<void(int)> callback)
    {
        sigset_t set;
        sigemptyset(&set);
        for (const int signal : signals)
            sigaddset(&set, signal);
        sigprocmask(SIG_BLOCK, &set, nullptr);
        m_signalDescriptor = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
        watch(m_signalDescriptor, [this, callback = std::move(callback)] {
            signalfd_siginfo info {};
            while (read(m_signalDescriptor, &info, sizeof info) == static_cast<ssize_t>(sizeof info))
                callback(static_cast<int>(info.ssi_signo));
        });
    }

    Clock& m_clock;
    h2o_evloop_t* m_loop;
    bool m_isStopped { false };
    Callback m_iterationCallback;
    std::function<TimePoint()> m_wakeupSource;
    std::vector<Callback> m_deferred;

private:
    struct Watched {
        Callback readable;
        h2o_socket_t* socket { nullptr };
    };

    int64_t waitMilliseconds(Duration limit) const
    {
        // Completions that were queued outside h2o_evloop_run() would otherwise wait for the next socket event.
        const bool hasWork = !m_deferred.empty() || m_loop->_pending_as_client || m_loop->_pending_as_server;
        if (hasWork)
            return 0;
        const TimePoint now = m_clock.now();
        TimePoint wakeup = now + std::min<Duration>(limit, maximumWait);
        if (!m_timers.empty())
            wakeup = std::min(wakeup, m_timers.begin()->first.first);
        if (m_wakeupSource)
            wakeup = std::min(wakeup, m_wakeupSource());
        if (wakeup <= now)
            return 0;
        return std::chrono::ceil<std::chrono::milliseconds>(wakeup - now).count();
    }

    void runTimers()
    {
        const TimePoint now = m_clock.now();
        while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
            const auto first = m_timers.begin();
            const Callback callback = std::move(first->second);
            m_dueById.erase(first->first.second);
            m_timers.erase(first);
            callback();
        }
    }

    void runDeferred()
    {
        std::vector<Callback> callbacks;
        callbacks.swap(m_deferred);
        for (const Callback& callback : callbacks)
            callback();
    }

    std::map<std::pair<TimePoint, std::uint64_t>, Callback> m_timers;
    std::unordered_map<std::uint64_t, TimePoint> m_dueById;
    std::uint64_t m_lastTimer { 0 };
    std::map<int, std::unique_ptr<Watched>> m_watched;
    int m_signalDescriptor { -1 };
};

EventLoop::EventLoop(Clock& clock)
    : m_impl(std::make_unique<Impl>(clock))
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    m_impl->m_isStopped = false;
    while (!m_impl->m_isStopped)
        m_impl->iterate(maximumWait);
}

void EventLoop::stop() { m_impl->m_isStopped = true; }

bool EventLoop::runUntil(const std::function<bool()>& isDone, Duration limit)
{
    const TimePoint end = m_impl->m_clock.now() + limit;
    while (!isDone()) {
        const TimePoint now = m_impl->m_clock.now();
        if (now >= end)
            return false;
        m_impl->iterate(end - now);
    }
    return true;
}

TimerId EventLoop::addTimer(Duration delay, Callback callback) { return m_impl->addTimer(delay, std::move(callback)); }

void EventLoop::cancelTimer(TimerId timer) { m_impl->cancelTimer(timer); }

void EventLoop::defer(Callback callback) { m_impl->m_deferred.push_back(std::move(callback)); }

void EventLoop::setIterationCallback(Callback callback) { m_impl->m_iterationCallback = std::move(callback); }

void EventLoop::setWakeupSource(std::function<TimePoint()> source) { m_impl->m_wakeupSource = std::move(source); }

void EventLoop::watchDescriptor(int descriptor, Callback readable) { m_impl->watch(descriptor, std::move(readable)); }

void EventLoop::unwatchDescriptor(int descriptor) { m_impl->unwatch(descriptor); }

void EventLoop::watchSignals(const std::vector<int>& signals, std::function<void(int)> callback)
{
    m_impl->watchSignals(signals, std::move(callback));
}

Clock& EventLoop::clock() { return m_impl->m_clock; }

st_h2o_evloop_t* EventLoop::nativeLoop() { return m_impl->m_loop; }

}
