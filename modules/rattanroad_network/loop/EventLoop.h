#pragma once

#include "rattanroad_core/identifiers/StrongType.h"
#include "rattanroad_core/time/Clock.h"

#include <functional>
#include <memory>
#include <vector>

struct st_h2o_evloop_t;

namespace rattanroad {

/** Names a timer of an EventLoop; 0 names none. */
using TimerId = StrongType<std::uint64_t, struct TimerIdTag>;

/** The one loop of a process: sockets of h2o and ZeroMQ, timers and signals, all on the calling thread.

    Timers have the resolution of the kernel poll, one millisecond. Callbacks never run inside the call that registers
    them. The loop must outlive everything that is registered with it.
*/
class EventLoop {
public:
    using Callback = std::function<void()>;

    explicit EventLoop(Clock& clock);
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /** Runs until stop(). */
    void run();
    /** Ends run() after the current iteration. */
    void stop();
    /** Runs until @p isDone returns true or @p limit has passed; returns whether it is done. */
    bool runUntil(const std::function<bool()>& isDone, Duration limit);

    /** Calls @p callback once, after @p delay. */
    TimerId addTimer(Duration delay, Callback callback);
    /** Forgets a timer; a timer that already ran or never existed is ignored. */
    void cancelTimer(TimerId timer);
    /** Calls @p callback later in the current iteration or in the next one. */
    void defer(Callback callback);

    /** Sets what runs at the end of each iteration, after all sockets, timers and deferred callbacks. */
    void setIterationCallback(Callback callback);
    /** Sets the source of an additional wakeup time that is asked before each wait. */
    void setWakeupSource(std::function<TimePoint()> source);

    /** Calls @p readable whenever @p descriptor is readable. The descriptor stays open when the loop ends. */
    void watchDescriptor(int descriptor, Callback readable);
    /** Stops watching; @p descriptor must be watched. */
    void unwatchDescriptor(int descriptor);

    /** Blocks @p signals for the process and calls @p callback with each one that arrives. Must be called before any
        thread is started.
    */
    void watchSignals(const std::vector<int>& signals, std::function<void(int)> callback);

    Clock& clock();
    /** Returns the h2o loop, for the classes of this module. */
    st_h2o_evloop_t* nativeLoop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
