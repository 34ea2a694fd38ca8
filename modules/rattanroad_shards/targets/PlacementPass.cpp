#include "rattanroad_shards/targets/PlacementPass.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    bool contains(const std::vector<TargetId>& targets, const TargetSession& session)
    {
        return std::find(targets.begin(), targets.end(), session.report().id) != targets.end();
    }

    std::uint32_t runsOfPhase(const TargetSession& session, const TaskId& id)
    {
        return static_cast<std::uint32_t>(std::count_if(session.runs().begin(), session.runs().end(),
            [&id](const auto& run) { return run.first.job == id.job && run.first.phase == id.phase; }));
    }
}

PlacementPass::PlacementPass(
    const std::vector<TargetSession*>& sessions, const TaskPlacer& placer, const RunTimeModel& runTimes, Hooks hooks)
    : m_placer(placer)
    , m_runTimes(runTimes)
    , m_hooks(std::move(hooks))
{
    m_hooks.examined(sessions.size());
    m_candidates.reserve(sessions.size());
    for (TargetSession* const session : sessions) {
        if (!m_hooks.isUsable(*session))
            continue;
        m_candidates.push_back({ session, std::nullopt, false });
        m_usableMillicores += session->report().capacity.millicores;
        m_freeMillicores += session->free().millicores;
    }
    for (Candidate& candidate : m_candidates)
        m_all.candidates.push_back(&candidate);
}

PlacementPass::Group& PlacementPass::matching(const PlacementRequest& task)
{
    const auto [found, isNew] = m_groups.try_emplace({ task.service, task.requiredLabel });
    Group& group = found->second;
    if (!isNew)
        return group;
    m_hooks.examined(m_all.candidates.size());
    std::copy_if(m_all.candidates.begin(), m_all.candidates.end(), std::back_inserter(group.candidates),
        [&task](const Candidate* candidate) { return TaskPlacer::matches(task, candidate->session->report()); });
    return group;
}

const Resources& PlacementPass::largestRoom(Group& group) const
{
    if (group.largestRoom)
        return *group.largestRoom;
    Resources largest;
    for (const Candidate* const candidate : group.candidates) {
        const Resources free = candidate->session->free();
        largest.millicores = std::max(largest.millicores, free.millicores);
        largest.memoryMb = std::max(largest.memoryMb, free.memoryMb);
        largest.accelerators = std::max(largest.accelerators, free.accelerators);
    }
    return group.largestRoom.emplace(largest);
}

double PlacementPass::factor(Candidate& candidate) const
{
    if (!candidate.factor)
        candidate.factor = m_runTimes.factor(candidate.session->report());
    return *candidate.factor;
}

bool PlacementPass::mayHaveRoom(const Resources& resources) { return resources.fitsInto(largestRoom(m_all)); }

std::optional<PlacementPass::Choice> PlacementPass::choose(
    const TaskId& id, const PlacementRequest& task, const std::vector<TargetId>& avoided)
{
    Group& group = matching(task);
    if (!task.resources.fitsInto(largestRoom(group)))
        return std::nullopt;
    if (task.isolation != Isolation::None) {
        std::vector<Candidate*> idle;
        std::copy_if(group.candidates.begin(), group.candidates.end(), std::back_inserter(idle),
            [&task](const Candidate* candidate) {
                const bool isOpen = candidate->isKeptForIsolation || task.isolation != Isolation::Required;
                return isOpen && candidate->session->runs().empty();
            });
        auto choice = chooseAmong(idle, id, task, avoided);
        if (choice)
            choice->isolation = task.isolation;
        if (choice || task.isolation == Isolation::Required)
            return choice;
    }
    return chooseAmong(group.candidates, id, task, avoided);
}

PlacementPass::EligibleTargets PlacementPass::eligibleTargets(const PlacementRequest& task)
{
    EligibleTargets targets;
    for (const Candidate* const candidate : matching(task).candidates) {
        if (!task.resources.fitsInto(candidate->session->report().capacity))
            continue;
        ++targets.count;
        targets.isolated += candidate->isKeptForIsolation || candidate->session->isolation() != Isolation::None;
    }
    return targets;
}

void PlacementPass::keepForIsolation(const PlacementRequest& task)
{
    Candidate* fewest = nullptr;
    for (Candidate* const candidate : matching(task).candidates) {
        const TargetSession& session = *candidate->session;
        const bool isCandidate = task.resources.fitsInto(session.report().capacity) && !candidate->isKeptForIsolation
            && session.isolation() == Isolation::None;
        if (isCandidate && (!fewest || session.runs().size() < fewest->session->runs().size()))
            fewest = candidate;
    }
    if (fewest)
        fewest->isKeptForIsolation = true;
}

std::optional<PlacementPass::Choice> PlacementPass::chooseAmong(const std::vector<Candidate*>& candidates,
    const TaskId& id, const PlacementRequest& task, const std::vector<TargetId>& avoided)
{
    m_hooks.examined(candidates.size());
    const bool isAvoidable
        = !avoided.empty() && std::any_of(candidates.begin(), candidates.end(), [&](const Candidate* candidate) {
              return task.resources.fitsInto(candidate->session->report().capacity)
                  && !contains(avoided, *candidate->session);
          });
    std::vector<TargetSession*> sessions;
    std::vector<PlacementCandidate> targets;
    for (Candidate* const candidate : candidates) {
        TargetSession& session = *candidate->session;
        const bool isExcluded = (candidate->isKeptForIsolation && task.isolation != Isolation::Required)
            || (isAvoidable && contains(avoided, session));
        if (isExcluded || !task.resources.fitsInto(session.free()))
            continue;
        const std::uint32_t tasksOfPhase = task.maximumPerTarget == 0 ? 0 : runsOfPhase(session, id);
        sessions.push_back(&session);
        targets.push_back({ &session.report(), session.free(), factor(*candidate), tasksOfPhase });
    }
    const Placement placement = m_placer.choose(task, targets);
    if (placement.target == targets.size())
        return std::nullopt;
    return Choice { sessions[placement.target], placement.predicted, Isolation::None };
}

void PlacementPass::started(const TargetSession& session)
{
    const auto updateGroup = [&session, isUsable = m_hooks.isUsable(session)](Group& group) {
        group.largestRoom.reset();
        if (isUsable)
            return;
        group.candidates.erase(std::remove_if(group.candidates.begin(), group.candidates.end(),
                                   [&session](const Candidate* candidate) { return candidate->session == &session; }),
            group.candidates.end());
    };
    updateGroup(m_all);
    for (auto& entry : m_groups)
        updateGroup(entry.second);
}

}
