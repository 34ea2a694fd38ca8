#include "fakes/FakeTargets.h"

#include <unordered_map>

namespace rattanroad {

namespace {
    // A worker that fails everything answers fast, which makes it look idle to a naive policy.
    constexpr Duration failureTime = std::chrono::milliseconds(2);
}

class FakeTargets::Impl {
public:
    struct Run {
        Request request;
        Callback callback;
        bool fails { false };
    };

    struct TargetState {
        Settings settings;
        bool failsEverything { false };
        bool isFrozen { false };
        double slowdown { 1 };
        std::unordered_map<std::uint64_t, Run> runs;
        std::vector<std::function<void()>> heldBack;
    };

    Impl(EventQueue& queue, std::vector<Settings> targets, Hooks hooks)
        : m_queue(queue)
        , m_hooks(std::move(hooks))
    {
        m_targets.reserve(targets.size());
        for (Settings& settings : targets) {
            m_targets.emplace_back();
            m_targets.back().settings = std::move(settings);
        }
    }

    std::uint64_t receive(std::size_t index, const Request& request, Callback callback)
    {
        TargetState& target = m_targets[index];
        m_counters.received++;
        if (target.isFrozen) {
            target.heldBack.push_back([this, index, request, callback] { receive(index, request, callback); });
            return 0;
        }
        if (target.runs.size() >= target.settings.connections) {
            callback({ SlotUse::Unreachable, {} });
            return 0;
        }
        if (target.runs.size() >= target.settings.slots) {
            m_counters.rejected++;
            callback({ SlotUse::Rejected, {} });
            return 0;
        }
        return start(index, request, std::move(callback));
    }

    void abort(std::size_t index, std::uint64_t run) { m_targets[index].runs.erase(run); }

    void setFrozen(std::size_t index, bool isFrozen)
    {
        TargetState& target = m_targets[index];
        target.isFrozen = isFrozen;
        if (isFrozen)
            return;
        const std::vector<std::function<void()>> due = std::move(target.heldBack);
        target.heldBack.clear();
        for (const std::function<void()>& action : due)
            action();
    }

    EventQueue& m_queue;
    Hooks m_hooks;
    std::vector<TargetState> m_targets;
    Counters m_counters;
    std::uint64_t m_nextRun { 1 };

private:
    std::uint64_t start(std::size_t index, const Request& request, Callback callback)
    {
        TargetState& target = m_targets[index];
        const std::uint64_t number = m_nextRun++;
        m_counters.started++;
        if (m_hooks.started)
            m_hooks.started(target.settings.id, request);
        const bool fails = target.failsEverything;
        const double runTime = static_cast<double>(request.work.count()) / target.settings.speed * target.slowdown;
        target.runs.emplace(number, Run { request, std::move(callback), fails });
        m_queue.after(fails ? failureTime : Duration(static_cast<std::int64_t>(runTime)),
            [this, index, number] { end(index, number); });
        return number;
    }

    void end(std::size_t index, std::uint64_t number)
    {
        TargetState& target = m_targets[index];
        if (target.isFrozen) {
            target.heldBack.push_back([this, index, number] { end(index, number); });
            return;
        }
        const auto found = target.runs.find(number);
        if (found == target.runs.end())
            return;
        const Run run = std::move(found->second);
        target.runs.erase(found);
        const Outcome outcome = outcomeOf(target, run, number);
        if (m_hooks.ended)
            m_hooks.ended(target.settings.id, run.request, outcome);
        run.callback(outcome);
    }

    Outcome outcomeOf(const TargetState& target, const Run& run, std::uint64_t number)
    {
        if (run.fails) {
            m_counters.failed++;
            return { SlotUse::Failed, {} };
        }
        m_counters.workDone += run.request.work;
        // The run number makes each execution's result different, so that an answer can be traced to one execution.
        return { SlotUse::Succeeded,
            run.request.submission + "/" + std::to_string(run.request.task) + "@" + target.settings.id.value() + "#"
                + std::to_string(number) };
    }
};

FakeTargets::FakeTargets(EventQueue& queue, std::vector<Settings> targets, Hooks hooks)
    : m_impl(std::make_unique<Impl>(queue, std::move(targets), std::move(hooks)))
{
}

FakeTargets::~FakeTargets() = default;

std::size_t FakeTargets::count() const { return m_impl->m_targets.size(); }
const FakeTargets::Settings& FakeTargets::settings(std::size_t target) const
{
    return m_impl->m_targets[target].settings;
}
std::uint64_t FakeTargets::receive(std::size_t target, const Request& request, Callback callback)
{
    return m_impl->receive(target, request, std::move(callback));
}
void FakeTargets::abort(std::size_t target, std::uint64_t run) { m_impl->abort(target, run); }
void FakeTargets::setFailsEverything(std::size_t target, bool fails)
{
    m_impl->m_targets[target].failsEverything = fails;
}
void FakeTargets::setSlowdown(std::size_t target, double factor) { m_impl->m_targets[target].slowdown = factor; }
void FakeTargets::setFrozen(std::size_t target, bool isFrozen) { m_impl->setFrozen(target, isFrozen); }
const FakeTargets::Counters& FakeTargets::counters() const { return m_impl->m_counters; }

}
