#include "rattanroad_shards/targets/ShardTargets.h"

#include <algorithm>
#include <set>

namespace rattanroad::shards {

ShardTargets::ShardTargets(Settings settings, TargetCalls& calls, Timers timers, const Clock& clock,
    TargetSession::Hooks hooks, std::function<bool()> isStoreLost)
    : m_settings(settings)
    , m_calls(calls)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_isStoreLost(std::move(isStoreLost))
    , m_placer(settings.placement)
    , m_outliers(settings.outliers, clock)
    , m_lastListGap(clock.now())
{
    m_hooks.isListRecent = [this] { return isListRecent(); };
}

bool ShardTargets::isListRecent() const
{
    const bool isRecent
        = m_listCurrentAsOf >= m_listRequiredSince && m_clock.now() - m_listCurrentAsOf < m_settings.maximumListAge;
    return isRecent || (m_isStoreLost && m_isStoreLost());
}

void ShardTargets::listed(const TargetReport& report)
{
    const auto known = m_reports.find(report.id);
    if (known != m_reports.end() && known->second.bornMs != report.bornMs) {
        m_runTimes.forget(report.id);
        m_outliers.forget(report.id);
    }
    m_reports[report.id] = report;
    if (isOpen() && !m_isClosed)
        updateSession(report);
}

void ShardTargets::updateSession(const TargetReport& report)
{
    // A target that is back at another address keeps its session, which knows the runs of the earlier incarnation.
    if (TargetSession* const opened = session(report.id))
        opened->setReport(report);
    else
        openSession(report);
}

void ShardTargets::unlisted(const TargetId& target)
{
    m_reports.erase(target);
    TargetSession* const opened = session(target);
    if (opened)
        opened->setListed(false);
    // Another host may hold the shard and use the target, and the session does not outlast the next acquisition.
    if (!opened || m_isClosed)
        m_lastListGap = m_clock.now();
}

void ShardTargets::moved(const TargetId& target)
{
    unlisted(target);
    if (TargetSession* const opened = session(target))
        opened->setMoved();
}

void ShardTargets::open(FencingToken token)
{
    m_token = token;
    m_isClosed = false;
    m_openedAt = m_clock.now();
    for (const auto& entry : m_reports)
        openSession(entry.second);
}

void ShardTargets::openSession(const TargetReport& report)
{
    auto session
        = std::make_unique<TargetSession>(m_settings.session, report, *m_token, m_calls, m_timers, m_clock, m_hooks);
    TargetSession& opened = *session;
    m_sessions[report.id] = std::move(session);
    opened.open();
}

void ShardTargets::setToken(FencingToken token)
{
    if (isOpen())
        m_token = token;
    m_isClosed = false;
    m_openedAt = m_clock.now();
    for (const auto& entry : m_sessions)
        entry.second->setToken(token);
    if (!isOpen())
        return;
    // Targets may have changed while the shard was not held.
    for (const auto& entry : m_reports)
        updateSession(entry.second);
}

void ShardTargets::raiseToken(FencingToken token)
{
    if (!isOpen())
        return;
    m_token = token;
    for (const auto& entry : m_sessions)
        entry.second->raiseToken(token);
}

void ShardTargets::close()
{
    m_isClosed = true;
    for (const auto& entry : m_sessions)
        entry.second->close();
}

void ShardTargets::clear()
{
    m_token.reset();
    m_openedAt.reset();
    m_isListCurrent = false;
    const bool areAllListed
        = std::all_of(m_sessions.begin(), m_sessions.end(), [](const auto& entry) { return entry.second->isListed(); });
    if (!areAllListed)
        m_lastListGap = m_clock.now();
    m_sessions.clear();
}

TargetSession* ShardTargets::session(const TargetId& target) const
{
    const auto found = m_sessions.find(target);
    return found == m_sessions.end() ? nullptr : found->second.get();
}

bool ShardTargets::areReconciled() const
{
    const bool isListComplete = m_isListCurrent && m_clock.now() - m_lastListGap >= m_settings.earlierHolderExpiry;
    return isListComplete && !m_sessions.empty()
        && std::all_of(
            m_sessions.begin(), m_sessions.end(), [](const auto& entry) { return entry.second->isReconciled(); });
}

std::string ShardTargets::describeList() const
{
    const auto reconciled = std::count_if(
        m_sessions.begin(), m_sessions.end(), [](const auto& entry) { return entry.second->isReconciled(); });
    const auto sinceGap = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_lastListGap);
    return std::to_string(m_reports.size()) + " targets listed, " + std::to_string(reconciled) + " of "
        + std::to_string(m_sessions.size()) + " have reported, no gap for " + std::to_string(sinceGap.count()) + " ms";
}

bool ShardTargets::hasRun(const TaskId& task) const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(),
        [&task](const auto& entry) { return entry.second->runs().count(task) != 0; });
}

bool ShardTargets::isEligibleSomewhere(const PlacementRequest& task) const
{
    return std::any_of(m_reports.begin(), m_reports.end(),
        [&task](const auto& entry) { return TaskPlacer::isEligible(task, entry.second); });
}

bool ShardTargets::isClosedFor(const PlacementRequest& task) const
{
    return std::all_of(m_reports.begin(), m_reports.end(), [&](const auto& entry) {
        const TargetSession* const opened = session(entry.first);
        return !TaskPlacer::isEligible(task, entry.second) || (opened && opened->isolation() == Isolation::Required);
    });
}

void ShardTargets::endPreferredIsolations(std::chrono::milliseconds duration)
{
    for (const auto& entry : m_sessions) {
        if (entry.second->isolation() == Isolation::Preferred
            && entry.second->endPreferredIsolation(m_clock.now() - duration))
            m_hooks.roomChanged();
    }
}

bool ShardTargets::hasRoomElsewhere(const TargetSession& session, const PlacementRequest& task) const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(), [&](const auto& entry) {
        const TargetSession& other = *entry.second;
        return &other != &session && isUsable(other) && TaskPlacer::isEligible(task, other.report())
            && task.resources.fitsInto(other.free());
    });
}

bool ShardTargets::isUsable(const TargetSession& session) const
{
    const TargetId& target = session.report().id;
    const bool isTrialRunning = m_outliers.isOnTrial(target) && !session.runs().empty();
    return session.canStart() && !m_outliers.isEjected(target) && !isTrialRunning;
}

PlacementPass ShardTargets::beginPass()
{
    std::vector<TargetSession*> sessions;
    for (const auto& entry : m_sessions)
        sessions.push_back(entry.second.get());
    PlacementPass::Hooks hooks;
    hooks.isUsable = [this](const TargetSession& session) { return isUsable(session); };
    hooks.examined = [this](std::size_t count) { m_examinedTargets += count; };
    return { sessions, m_placer, m_runTimes, std::move(hooks) };
}

void ShardTargets::runFailed(const TargetSession& session, const std::vector<TargetId>& failedBefore)
{
    if (failedBefore.empty())
        m_outliers.recordFailure(session.report().id, m_sessions.size());
    else if (failedBefore.size() == 1 && failedBefore.front() != session.report().id)
        // The task also fails on another target, so its first failure does not count against the first target.
        m_outliers.retractFailure(failedBefore.front());
}

void ShardTargets::addRunTimeSample(const TargetSession& session, const PlacementRequest& task, TimePoint startedAt)
{
    const auto estimate = m_placer.predict(task, { &session.report(), {}, 1, 0 });
    const std::chrono::duration<double, std::milli> elapsed = m_clock.now() - startedAt;
    if (estimate.count() > 0)
        m_runTimes.add(session.report(), elapsed.count() / static_cast<double>(estimate.count()));
}

std::vector<ShardTargets::OverdueRun> ShardTargets::overdueRuns() const
{
    const TimePoint now = m_clock.now();
    std::vector<OverdueRun> overdue;
    for (const auto& entry : m_sessions) {
        for (const auto& run : entry.second->runs()) {
            const bool isRunning = run.second.state == TargetSession::Run::State::Running;
            const auto limit = std::chrono::duration_cast<Duration>(run.second.predicted * m_settings.overdueFactor)
                + m_settings.overdueMargin;
            if (isRunning && run.second.predicted.count() > 0 && now - run.second.startedAt > limit)
                overdue.push_back({ entry.second.get(), run.first });
        }
    }
    return overdue;
}

std::vector<TaskId> ShardTargets::tasksOnSilentTargets() const
{
    std::vector<TaskId> tasks;
    for (const auto& entry : m_sessions) {
        if (!entry.second->isSilent())
            continue;
        for (const auto& run : entry.second->runs())
            tasks.push_back(run.first);
    }
    return tasks;
}

void ShardTargets::removeUnlisted()
{
    const TimePoint now = m_clock.now();
    for (auto entry = m_sessions.begin(); entry != m_sessions.end();) {
        const TargetSession& session = *entry->second;
        const bool isGone = !session.isListed() && now - session.unlistedSince() >= m_settings.unlistedRetention
            && session.runs().empty();
        // A target that has not reported its runs may still have some of an earlier holder.
        if (isGone && !session.isReconciled())
            m_lastListGap = now;
        entry = isGone ? m_sessions.erase(entry) : std::next(entry);
    }
}

std::uint64_t ShardTargets::usableMillicores() const
{
    std::uint64_t millicores = 0;
    for (const auto& entry : m_sessions) {
        if (isUsable(*entry.second))
            millicores += entry.second->report().capacity.millicores;
    }
    return millicores;
}

std::uint64_t ShardTargets::expectedMillicores() const
{
    if (m_openedAt && m_clock.now() - *m_openedAt >= m_settings.reportTime)
        return usableMillicores();
    std::uint64_t millicores = 0;
    for (const auto& entry : m_reports) {
        const TargetSession* const opened = session(entry.first);
        const bool isExpected = opened && opened->isReady() ? isUsable(*opened) : !entry.second.isDraining;
        if (isExpected)
            millicores += entry.second.capacity.millicores;
    }
    return millicores;
}

void ShardTargets::addCapacityTo(protocol::ShardLoad& load) const
{
    std::uint64_t free = 0;
    std::uint32_t count = 0;
    std::set<std::string> racks;
    std::set<std::string> services;
    for (const auto& entry : m_sessions) {
        const TargetSession& session = *entry.second;
        if (!isUsable(session))
            continue;
        ++count;
        free += session.free().millicores;
        racks.insert(session.report().labels.begin(), session.report().labels.end());
        services.insert(session.report().service.value());
    }
    load.set_targets(count);
    load.set_total_millicores(usableMillicores());
    load.set_free_millicores(free);
    for (const std::string& rack : racks)
        load.add_racks(rack);
    for (const std::string& service : services)
        load.add_services(service);
}

}
