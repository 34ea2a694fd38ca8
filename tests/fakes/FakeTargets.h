#pragma once

#include "fakes/EventQueue.h"
#include "fakes/Latencies.h"
#include "rattanroad_routing/slots/SlotTypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattanroad {

/** Targets on the virtual clock. A target runs a task for its work divided by the target's true speed, rejects messages
    beyond its slots with a status that its contract lists as "not run", and refuses connections beyond its limit.
*/
class FakeTargets {
public:
    struct Settings {
        TargetId id;
        Place place;
        /** Run time of a task is its work divided by this. */
        double speed { 1 };
        std::uint32_t slots { 8 };
        std::uint32_t connections { 64 };
    };

    /** One message to a target. */
    struct Request {
        std::string submission;
        std::uint32_t task { 0 };
        Duration work { 0 };
        std::string payload;
    };

    /** What the target answers. */
    struct Outcome {
        SlotUse use { SlotUse::Unknown };
        std::string result;
    };
    using Callback = std::function<void(const Outcome&)>;

    /** Called when a task starts and when it ends, as the target sees it. */
    struct Hooks {
        std::function<void(const TargetId&, const Request&)> started;
        std::function<void(const TargetId&, const Request&, const Outcome&)> ended;
    };

    struct Counters {
        std::uint64_t received { 0 };
        std::uint64_t started { 0 };
        std::uint64_t rejected { 0 };
        std::uint64_t failed { 0 };
        /** Work of the tasks that succeeded. */
        Duration workDone { 0 };
    };

    FakeTargets(EventQueue& queue, std::vector<Settings> targets, Hooks hooks);
    ~FakeTargets();
    FakeTargets(const FakeTargets&) = delete;
    FakeTargets& operator=(const FakeTargets&) = delete;

    std::size_t count() const;
    const Settings& settings(std::size_t target) const;

    /** Handles a message that arrives now. @p callback is called once, at the time the answer leaves; never for a task
       that was aborted.
        @return number for abort(); 0 when the task did not start
    */
    std::uint64_t receive(std::size_t target, const Request& request, Callback callback);
    /** The sender closed the connection: the task ends without an answer. */
    void abort(std::size_t target, std::uint64_t run);

    /** From now on every task that starts fails after a few milliseconds. */
    void setFailsEverything(std::size_t target, bool fails);
    /** Divides the speed for tasks that start from now on. */
    void setSlowdown(std::size_t target, double factor);
    /** A frozen target neither accepts nor answers; answers that come due are sent at the thaw. */
    void setFrozen(std::size_t target, bool isFrozen);

    const Counters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
