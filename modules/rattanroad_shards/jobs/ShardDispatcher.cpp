#include "rattanroad_shards/jobs/ShardDispatcher.h"

#include "rattanroad_shards/holding/StoreKeys.h"
#include "rattanroad_shards/jobs/JobCodec.h"
#include "rattanroad_shards/jobs/JobMath.h"

#include <algorithm>

namespace rattanroad::shards {

namespace {
    /** Attempts of a task under one holder; the holders that follow begin above. */
    constexpr std::uint32_t attemptsPerGeneration = 1000;
}

ShardDispatcher::ShardDispatcher(
    Settings settings, KeyValueStore& store, TargetCalls& targets, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_targetCalls(targets)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_writer({ storekeys::holder(m_settings.shard) }, store, m_timers, { [this] { m_hooks.keyChanged(); } })
    , m_placer(m_settings.placing)
    , m_heldSince(clock.now())
    , m_listGapAt(clock.now())
{
    sweep();
}

void ShardDispatcher::begin(const ShardElection::Holding& holding)
{
    m_holding = holding;
    m_writer.begin(holding.token, holding.isContinued && m_isLoaded);
    if (holding.isContinued && m_isLoaded) {
        for (const auto& entry : m_sessions)
            entry.second->setToken(holding.token);
        scheduleSoon();
        return;
    }
    ++m_round;
    m_isLoaded = false;
    m_areSessionsOpen = false;
    m_heldSince = m_clock.now();
    m_sessions.clear();
    m_open.clear();
    m_jobs.clear();
    m_submitReplies.clear();
    readRecords("");
}

void ShardDispatcher::end()
{
    m_holding.reset();
    m_lostAt = m_clock.now();
    m_writer.end();
    for (const auto& entry : m_sessions)
        entry.second->close();
}

void ShardDispatcher::readRecords(const std::string& after)
{
    m_store.readPage(storekeys::jobPrefix, after, [this, round = m_round, after](const ReadReply& reply) {
        if (round != m_round || !m_holding)
            return;
        if (reply.ending == StoreEnding::Done) {
            takeRecords(reply);
            return;
        }
        m_timers.after(m_settings.sweepInterval, [this, round, after] {
            if (round == m_round && m_holding)
                readRecords(after);
        });
    });
}

void ShardDispatcher::takeRecords(const ReadReply& reply)
{
    for (const StoredItem& item : reply.items)
        takeRecord(item);
    if (reply.hasMore && !reply.items.empty())
        readRecords(reply.items.back().key);
    else
        finishLoading();
}

void ShardDispatcher::takeRecord(const StoredItem& item)
{
    protocol::JobRecord record;
    if (!record.ParseFromString(item.value)) {
        m_hooks.log("record_malformed", JobId(item.key), "the job record cannot be read");
        return;
    }
    if (record.shard() != m_settings.shard.value() || record.state() > static_cast<unsigned>(JobState::Cancelled))
        return;
    const JobId id(item.key.substr(storekeys::jobPrefix.size()));
    auto job = makeJob(record.job());
    job->id = id;
    job->acceptedIn = Generation(record.generation());
    job->state = static_cast<JobState>(record.state());
    job->isStored = true;
    readProgress(record, *job);
    for (auto& phase : job->phases) {
        for (ShardTask& task : phase)
            task.isUncertain = true;
    }
    job->isEndStored = hasEnded(job->state);
    if (job->isEndStored)
        job->endedAt = m_clock.now();
    else
        m_open[id] = job.get();
    m_writer.setRevision(item.key, item.revision);
    m_jobs[id] = std::move(job);
}

void ShardDispatcher::finishLoading()
{
    m_isLoaded = true;
    m_isRecovering = true;
    m_hooks.log("shard_loaded", JobId(), std::to_string(m_open.size()) + " open jobs");
    const bool hasPredecessor = m_holding->generation.value() > 1;
    m_timers.after(hasPredecessor ? m_settings.handoverWait : Duration(0), [this, round = m_round] {
        if (round == m_round && m_holding)
            openSessions();
    });
}

void ShardDispatcher::openSessions()
{
    if (m_areSessionsOpen)
        return;
    m_areSessionsOpen = true;
    for (const auto& entry : m_reports)
        openSession(entry.second);
    sweepRecovery();
}

protocol::ShardHandover ShardDispatcher::takeHandover()
{
    protocol::ShardHandover handover;
    handover.set_shard(m_settings.shard.value());
    const bool isInTime = m_clock.now() - m_lostAt < m_settings.handoverLimit;
    for (const auto& entry : m_open) {
        const ShardJob& job = *entry.second;
        if (!job.description.best_effort() || !isInTime)
            continue;
        *handover.add_jobs() = encodeHandover(job, m_clock.now());
    }
    m_open.clear();
    m_jobs.clear();
    m_isLoaded = false;
    return handover;
}

void ShardDispatcher::handoverReceived(const protocol::ShardHandover& handover)
{
    if (!m_holding)
        return;
    for (const protocol::JobHandover& handed : handover.jobs()) {
        const JobId id(handed.job().id());
        if (m_jobs.count(id))
            continue;
        auto job = makeJob(handed.job());
        job->receivedAt -= std::chrono::milliseconds(handed.waited_ms());
        job->objective -= std::chrono::milliseconds(handed.waited_ms());
        job->acceptedIn = m_holding->generation;
        job->entranceAddress = handed.entrance();
        job->isStored = true;
        readHandover(handed, *job);
        m_open[id] = job.get();
        m_jobs[id] = std::move(job);
        m_newJobs.emplace_back(m_clock.now(), id);
    }
    m_hooks.log("handover_received", JobId(), std::to_string(handover.jobs_size()) + " jobs");
    if (m_isLoaded)
        openSessions();
}

std::unique_ptr<ShardJob> ShardDispatcher::makeJob(const protocol::PlacedJob& description) const
{
    auto job = std::make_unique<ShardJob>();
    job->id = JobId(description.id());
    job->description = description;
    job->receivedAt = m_clock.now();
    job->askedAt = job->receivedAt;
    job->objective = job->receivedAt + objectiveOf(description);
    for (const protocol::PhaseDescription& phase : description.phases())
        job->phases.emplace_back(phase.count());
    return job;
}

void ShardDispatcher::targetListed(const TargetReport& report)
{
    const auto known = m_reports.find(report.id);
    if (known != m_reports.end() && known->second.bornMs != report.bornMs)
        m_speeds.forget(report.id);
    m_reports[report.id] = report;
    if (!m_holding || !m_areSessionsOpen)
        return;
    const auto session = m_sessions.find(report.id);
    if (session != m_sessions.end() && session->second->report().address == report.address)
        session->second->setReport(report);
    else
        openSession(report);
    scheduleSoon();
}

void ShardDispatcher::targetUnlisted(const TargetId& target)
{
    m_reports.erase(target);
    const auto session = m_sessions.find(target);
    if (session != m_sessions.end())
        session->second->setListed(false);
    else
        m_listGapAt = m_clock.now();
}

void ShardDispatcher::openSession(const TargetReport& report)
{
    auto session = std::make_unique<TargetSession>(
        m_settings.targets, report, m_holding->token, m_targetCalls, m_timers, m_clock, sessionHooks());
    TargetSession& opened = *session;
    m_sessions[report.id] = std::move(session);
    opened.open();
}

TargetSession::Hooks ShardDispatcher::sessionHooks()
{
    TargetSession::Hooks hooks;
    hooks.ready = [this](TargetSession&) {
        sweepRecovery();
        scheduleSoon();
    };
    hooks.ended = [this](TargetSession& session, const EndedTask& end) { runEnded(session, end); };
    hooks.found = [this](TargetSession& session, const RunningTask& running) { return runFound(session, running); };
    hooks.rejected = [this](TargetSession& session, const TaskName& task, std::uint32_t attempt, TargetEnding ending) {
        startRejected(session, task, attempt, ending);
    };
    hooks.roomChanged = [this] { scheduleSoon(); };
    hooks.fenced = [this] {
        if (m_holding)
            m_hooks.displaced();
    };
    return hooks;
}

void ShardDispatcher::submit(const protocol::PlacedJob& description, std::chrono::milliseconds waited, bool isResent,
    const std::string& entranceAddress, SubmitReply reply)
{
    if (!isHolding()) {
        reply(SubmitVerdict::NotHolder, {});
        return;
    }
    const JobId id(description.id());
    const auto known = m_jobs.find(id);
    if (known != m_jobs.end()) {
        ShardJob& job = *known->second;
        job.entranceAddress = entranceAddress;
        job.askedAt = m_clock.now();
        // It was stopped because its entrance was silent, and is wanted after all.
        if (job.description.best_effort() && job.state == JobState::Cancelled)
            reopen(job);
        if (job.isStored)
            reply(SubmitVerdict::Accepted, {});
        if (job.description.best_effort() && hasEnded(job.state))
            m_hooks.jobEnded(job);
        if (!job.isStored)
            m_submitReplies[id].push_back(std::move(reply));
        return;
    }
    auto job = makeJob(description);
    job->receivedAt -= waited;
    job->objective -= waited;
    job->acceptedIn = m_holding->generation;
    job->entranceAddress = entranceAddress;
    const auto wait = expectedWait(job->objective);
    const bool isStoreNeeded = !description.best_effort();
    const bool isStoreAway = isStoreNeeded && m_writer.isStoreAway();
    const bool isTooLate = wait > objectiveOf(description) * m_settings.refusalFactor;
    if (isTooLate || isStoreAway || !hasEligibleTarget(*job)) {
        m_hooks.log("job_refused", id,
            isStoreAway     ? "the store is away"
                : isTooLate ? "expected wait " + std::to_string(wait.count()) + " ms"
                            : "no target can run it");
        reply(SubmitVerdict::Refused, std::max(m_settings.shortestRetry, wait));
        return;
    }
    if (description.best_effort()) {
        submitBestEffort(std::move(job), isResent, reply);
        return;
    }
    m_submitReplies[id].push_back(std::move(reply));
    const std::string value = encodeRecord(*job, m_settings.shard);
    m_jobs[id] = std::move(job);
    m_writer.accept(storekeys::job(id), value, [this, id](RecordWriter::Acceptance acceptance, const StoredItem& item) {
        acceptanceKnown(id, acceptance, item);
    });
}

void ShardDispatcher::reopen(ShardJob& job)
{
    job.state = JobState::Queued;
    job.endedAt.reset();
    job.isEndStored = false;
    for (auto& phase : job.phases) {
        for (ShardTask& task : phase) {
            if (task.state == ShardTask::State::Placed)
                task.state = ShardTask::State::Waiting;
        }
    }
    m_open[job.id] = &job;
    m_hooks.log("job_reopened", job.id, "shard " + m_settings.shard.value() + " for " + job.entranceAddress);
    scheduleSoon();
}

void ShardDispatcher::submitBestEffort(std::unique_ptr<ShardJob> job, bool isResent, const SubmitReply& reply)
{
    // An earlier holder may have left a run on a target that has not answered yet.
    if (isResent && !areTargetsSettled()) {
        reply(SubmitVerdict::Unsettled, {});
        return;
    }
    const JobId id = job->id;
    job->isStored = true;
    m_open[id] = job.get();
    m_jobs[id] = std::move(job);
    m_newJobs.emplace_back(m_clock.now(), id);
    m_hooks.log("job_taken", id,
        "shard " + m_settings.shard.value() + " for " + m_open[id]->entranceAddress + (isResent ? ", sent again" : ""));
    reply(SubmitVerdict::Accepted, {});
    scheduleSoon();
}

std::vector<JobId> ShardDispatcher::newJobs()
{
    const TimePoint oldest = m_clock.now() - m_settings.announceTime;
    const auto first = std::find_if(
        m_newJobs.begin(), m_newJobs.end(), [oldest](const auto& entry) { return entry.first >= oldest; });
    m_newJobs.erase(m_newJobs.begin(), first);
    std::vector<JobId> jobs;
    for (const auto& entry : m_newJobs)
        jobs.push_back(entry.second);
    return jobs;
}

void ShardDispatcher::acceptanceKnown(const JobId& id, RecordWriter::Acceptance acceptance, const StoredItem& existing)
{
    std::vector<SubmitReply> replies;
    replies.swap(m_submitReplies[id]);
    m_submitReplies.erase(id);
    const bool isRefused = acceptance == RecordWriter::Acceptance::Refused;
    if (acceptance == RecordWriter::Acceptance::Stored) {
        ShardJob& job = *m_jobs[id];
        job.isStored = true;
        m_open[id] = &job;
        m_hooks.log("job_stored", id, "shard " + m_settings.shard.value() + " for " + job.entranceAddress);
        scheduleSoon();
    } else {
        m_jobs.erase(id);
        m_hooks.log(isRefused ? "job_refused" : "job_resubmitted", id,
            isRefused ? "the store is away" : "recorded at revision " + std::to_string(existing.revision.value()));
    }
    for (const SubmitReply& reply : replies)
        reply(isRefused ? SubmitVerdict::Refused : SubmitVerdict::Accepted, m_settings.shortestRetry);
}

std::optional<JobState> ShardDispatcher::state(const JobId& id) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second->isStored)
        return std::nullopt;
    return found->second->state;
}

void ShardDispatcher::cancel(const JobId& id, const StateReply& reply)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second->isStored) {
        reply(false, JobState::Queued);
        return;
    }
    ShardJob& job = *found->second;
    if (!hasEnded(job.state))
        endJob(job, JobState::Cancelled, "cancelled by its caller");
    if (job.isEndStored)
        reply(true, job.state);
    else
        job.onEndStored.push_back([reply, state = job.state] { reply(true, state); });
}

void ShardDispatcher::runEnded(TargetSession& session, const EndedTask& end)
{
    ShardJob* const found = findJob(end.task.job);
    ShardTask* const task = found ? found->task(end.task) : nullptr;
    if (!task) {
        session.forgetEnd(session.bornMs(), end.number);
        return;
    }
    ShardJob& job = *found;
    if (end.number != 0)
        keepEnd(job, session, end.number);
    if (hasEnded(job.state) || task->state == ShardTask::State::Done)
        return;
    if (end.ending == RunEnding::Done) {
        const bool isPresentRun = task->state == ShardTask::State::Placed && task->attempt == end.attempt;
        if (isPresentRun && task->startedAt)
            learn(session, placingTask(job, end.task.phase), *task->startedAt);
        taskDone(job, *task, end.task);
        return;
    }
    if (end.ending == RunEnding::Failed) {
        ++task->failedRuns;
        m_hooks.log("run_failed", job.id,
            "task " + std::to_string(end.task.index) + " on " + session.report().id.value() + ", failure "
                + std::to_string(task->failedRuns));
        if (task->failedRuns >= job.description.rule().maximum_attempts()) {
            endJob(job, JobState::Failed, "a task has failed as often as it may");
            return;
        }
    }
    if (!end.savedProgress.empty())
        task->savedProgress = end.savedProgress;
    const bool isPresentRun = task->state == ShardTask::State::Placed && task->attempt == end.attempt
        && task->target == session.report().id;
    task->attempt = std::max(task->attempt, end.attempt);
    if (isPresentRun) {
        task->state = ShardTask::State::Waiting;
        scheduleSoon();
    }
}

void ShardDispatcher::learn(const TargetSession& session, const PlacingTask& wanted, TimePoint startedAt)
{
    const auto base = m_placer.predict(wanted, { &session.report(), {}, 1, 0 });
    const std::chrono::duration<double, std::milli> taken = m_clock.now() - startedAt;
    if (base.count() > 0)
        m_speeds.add(session.report(), taken.count() / static_cast<double>(base.count()));
}

ShardJob* ShardDispatcher::findJob(const JobId& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

void ShardDispatcher::taskDone(ShardJob& job, ShardTask& task, const TaskName& name)
{
    const TargetId other = task.target;
    const bool wasPlaced = task.state == ShardTask::State::Placed;
    task.state = ShardTask::State::Done;
    if (wasPlaced) {
        // The end of an earlier run came while a later one is under way.
        const auto session = m_sessions.find(other);
        if (session != m_sessions.end())
            session->second->stop(name);
    }
    if (job.areAllDone())
        endJob(job, JobState::Done, "");
    else
        scheduleSoon();
}

std::optional<Resources> ShardDispatcher::runFound(TargetSession& session, const RunningTask& running)
{
    ShardJob* const found = findJob(running.task.job);
    ShardTask* const task = found ? found->task(running.task) : nullptr;
    if (!task)
        return std::nullopt;
    ShardJob& job = *found;
    task->attempt = std::max(task->attempt, running.attempt);
    const bool isWanted = !hasEnded(job.state) && task->state == ShardTask::State::Waiting && task->isUncertain;
    if (!isWanted)
        return std::nullopt;
    task->state = ShardTask::State::Placed;
    task->attempt = running.attempt;
    task->target = session.report().id;
    task->startedAt.reset();
    job.state = JobState::Running;
    return resourcesOf(job.description.phases(static_cast<int>(running.task.phase)));
}

void ShardDispatcher::startRejected(
    TargetSession& session, const TaskName& name, std::uint32_t attempt, TargetEnding ending)
{
    ShardJob* const job = findJob(name.job);
    ShardTask* const task = job ? job->task(name) : nullptr;
    if (!task || task->state != ShardTask::State::Placed || task->attempt != attempt)
        return;
    task->state = ShardTask::State::Waiting;
    if (ending == TargetEnding::Malformed)
        task->notBefore = m_clock.now() + m_settings.malformedPause;
    m_hooks.log("start_refused", name.job,
        "task " + std::to_string(name.index) + " on " + session.report().id.value() + ", answer "
            + std::to_string(static_cast<int>(ending)));
}

void ShardDispatcher::endJob(ShardJob& job, JobState state, const std::string& reason)
{
    job.state = state;
    job.endedAt = m_clock.now();
    m_open.erase(job.id);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(*job.endedAt - job.receivedAt);
    const char* const event = state == JobState::Done ? "job_done"
        : state == JobState::Failed                   ? "job_failed"
                                                      : "job_cancelled";
    m_hooks.log(event, job.id, "after " + std::to_string(took.count()) + " ms" + (reason.empty() ? "" : ": ") + reason);
    stopRuns(job);
    // The targets keep the ends until the record is stored, so a later holder comes to the same state.
    if (state != JobState::Cancelled)
        m_hooks.jobEnded(job);
    if (job.description.best_effort()) {
        job.isEndStored = true;
        forgetEnds(job, m_lastKeptEnd);
        return;
    }
    m_writer.update(
        storekeys::job(job.id), encodeRecord(job, m_settings.shard), [this, id = job.id] { endStored(id); });
}

void ShardDispatcher::endStored(const JobId& id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    ShardJob& job = *found->second;
    job.isEndStored = true;
    forgetEnds(job, m_lastKeptEnd);
    if (job.state == JobState::Cancelled)
        m_hooks.jobEnded(job);
    std::vector<std::function<void()>> replies;
    replies.swap(job.onEndStored);
    for (const auto& reply : replies)
        reply();
}

void ShardDispatcher::stopRuns(ShardJob& job)
{
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        for (std::size_t index = 0; index < job.phases[phase].size(); ++index) {
            const ShardTask& task = job.phases[phase][index];
            const auto session = m_sessions.find(task.target);
            if (task.state == ShardTask::State::Placed && session != m_sessions.end())
                session->second->stop({ job.id, static_cast<std::uint32_t>(phase), static_cast<std::uint32_t>(index) });
        }
    }
}

void ShardDispatcher::keepEnd(ShardJob& job, TargetSession& session, std::uint64_t number)
{
    job.keptEnds.push_back({ session.report().id, session.bornMs(), number, m_clock.now(), ++m_lastKeptEnd });
    // Nobody goes on with a best-effort job from what its tasks have done.
    if (job.isEndStored || job.description.best_effort())
        forgetEnds(job, m_lastKeptEnd);
}

void ShardDispatcher::forgetEnds(ShardJob& job, std::uint64_t lastSequence)
{
    std::vector<KeptEnd> later;
    for (const KeptEnd& end : job.keptEnds) {
        if (end.sequence > lastSequence) {
            later.push_back(end);
            continue;
        }
        const auto session = m_sessions.find(end.target);
        if (session != m_sessions.end())
            session->second->forgetEnd(end.bornMs, end.number);
    }
    job.keptEnds.swap(later);
}

void ShardDispatcher::scheduleSoon()
{
    if (m_isScheduleDue)
        return;
    m_isScheduleDue = true;
    // Events of one loop iteration are taken together.
    m_timers.after(Duration(0), [this] {
        m_isScheduleDue = false;
        if (isHolding())
            schedule();
    });
}

void ShardDispatcher::schedule()
{
    for (ShardJob* const job : jobsInOrder())
        placeJob(*job);
}

std::vector<ShardJob*> ShardDispatcher::jobsInOrder()
{
    std::vector<ShardJob*> jobs;
    for (const auto& entry : m_open)
        jobs.push_back(entry.second);
    // Jobs that can still be in time go first, the most urgent of them first.
    const TimePoint now = m_clock.now();
    std::sort(jobs.begin(), jobs.end(), [now](const ShardJob* left, const ShardJob* right) {
        const bool isLeftLate = left->objective < now;
        const bool isRightLate = right->objective < now;
        if (isLeftLate != isRightLate)
            return isRightLate;
        return std::tie(left->objective, left->id) < std::tie(right->objective, right->id);
    });
    return jobs;
}

void ShardDispatcher::placeJob(ShardJob& job)
{
    const TimePoint now = m_clock.now();
    // After a pause of this process its caller may have turned to another host.
    if (job.description.best_effort() && now - job.askedAt >= m_settings.entranceLimit)
        return;
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        if (!job.isPhaseDue(phase))
            continue;
        for (std::uint32_t index = 0; index < job.phases[phase].size(); ++index) {
            const ShardTask& task = job.phases[phase][index];
            if (task.state != ShardTask::State::Waiting || task.isUncertain || task.notBefore > now)
                continue;
            if (!placeTask(job, phase, index))
                break;
        }
    }
}

bool ShardDispatcher::placeTask(ShardJob& job, std::size_t phase, std::uint32_t index)
{
    const PlacingTask wanted = placingTask(job, phase);
    const TaskName name { job.id, static_cast<std::uint32_t>(phase), index };
    // A run of another attempt, or one that an earlier holder started, may be about to end.
    if (hasRun(name))
        return true;
    std::vector<PlacingTarget> targets;
    std::vector<TargetSession*> sessions;
    for (const auto& entry : m_sessions) {
        TargetSession& session = *entry.second;
        if (!session.canStart())
            continue;
        std::uint32_t samePhase = 0;
        if (wanted.maximumPerTarget != 0) {
            samePhase = static_cast<std::uint32_t>(std::count_if(session.runs().begin(), session.runs().end(),
                [&name](const auto& run) { return run.first.job == name.job && run.first.phase == name.phase; }));
        }
        targets.push_back({ &session.report(), session.free(), m_speeds.factor(session.report()), samePhase });
        sessions.push_back(&session);
    }
    const Placement placement = m_placer.choose(wanted, targets);
    if (placement.target == targets.size())
        return false;
    TargetSession& session = *sessions[placement.target];
    ShardTask& task = job.phases[phase][index];
    task.attempt = nextAttempt(job, task);
    task.state = ShardTask::State::Placed;
    task.target = session.report().id;
    task.startedAt = m_clock.now();
    job.state = JobState::Running;
    session.start(
        name, task.attempt, job.description.payload(), wanted.resources, placement.predicted, task.savedProgress);
    return true;
}

bool ShardDispatcher::hasRun(const TaskName& task) const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(),
        [&task](const auto& entry) { return entry.second->runs().count(task) != 0; });
}

PlacingTask ShardDispatcher::placingTask(const ShardJob& job, std::size_t phase) const
{
    const protocol::PhaseDescription& description = job.description.phases(static_cast<int>(phase));
    return { resourcesOf(description), std::chrono::milliseconds(description.estimated_ms()),
        ServiceId(job.description.rule().service()), description.required_label(), description.data_rack(),
        description.maximum_per_target() };
}

std::uint32_t ShardDispatcher::nextAttempt(const ShardJob& job, const ShardTask& task) const
{
    const std::uint64_t generations = m_holding->generation.value() - job.acceptedIn.value();
    const auto first = static_cast<std::uint32_t>(generations * attemptsPerGeneration) + 1;
    return std::max(first, task.attempt + 1);
}

std::chrono::milliseconds ShardDispatcher::expectedWait(TimePoint objective) const
{
    double work = 0;
    for (const auto& entry : m_open) {
        const ShardJob& job = *entry.second;
        if (job.objective > objective)
            continue;
        for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
            const protocol::PhaseDescription& description = job.description.phases(static_cast<int>(phase));
            const auto waiting = std::count_if(job.phases[phase].begin(), job.phases[phase].end(),
                [](const ShardTask& task) { return task.state == ShardTask::State::Waiting; });
            work += static_cast<double>(waiting) * description.millicores() * description.estimated_ms();
        }
    }
    double room = 0;
    for (const auto& entry : m_sessions) {
        if (entry.second->canStart())
            room += entry.second->report().capacity.millicores;
    }
    if (work == 0)
        return std::chrono::milliseconds(0);
    constexpr std::chrono::milliseconds unbounded { 60000 };
    return room == 0 ? unbounded : std::chrono::milliseconds(static_cast<std::int64_t>(work / room));
}

bool ShardDispatcher::hasEligibleTarget(const ShardJob& job) const
{
    for (std::size_t phase = 0; phase < job.phases.size(); ++phase) {
        const PlacingTask wanted = placingTask(job, phase);
        const bool isEligible = std::any_of(m_reports.begin(), m_reports.end(),
            [&wanted](const auto& entry) { return TaskPlacer::isEligible(wanted, entry.second); });
        if (!isEligible)
            return false;
    }
    return true;
}

protocol::ShardLoad ShardDispatcher::load() const
{
    protocol::ShardLoad load;
    load.set_shard(m_settings.shard.value());
    load.set_generation(m_holding ? m_holding->generation.value() : 0);
    std::uint64_t total = 0;
    std::uint64_t free = 0;
    std::uint32_t count = 0;
    std::set<std::string> racks;
    std::set<std::string> services;
    for (const auto& entry : m_sessions) {
        const TargetSession& session = *entry.second;
        if (!session.canStart())
            continue;
        ++count;
        total += session.report().capacity.millicores;
        free += session.free().millicores;
        racks.insert(session.report().labels.begin(), session.report().labels.end());
        services.insert(session.report().service.value());
    }
    load.set_targets(count);
    load.set_total_millicores(total);
    load.set_free_millicores(free);
    load.set_backlog_ms(static_cast<std::uint32_t>(expectedWait(TimePoint::max()).count()));
    for (const std::string& rack : racks)
        load.add_racks(rack);
    for (const std::string& service : services)
        load.add_services(service);
    std::map<std::string, std::uint32_t> depths;
    for (const auto& entry : m_open) {
        if (entry.second->state == JobState::Queued)
            ++depths[entry.second->description.rule().queue()];
    }
    for (const auto& depth : depths) {
        protocol::QueueDepth* const added = load.add_depths();
        added->set_queue(depth.first);
        added->set_waiting_jobs(depth.second);
    }
    return load;
}

void ShardDispatcher::sweep()
{
    if (isHolding()) {
        sweepRecovery();
        sweepTargets();
        sweepOverdue();
        sweepJobs();
        scheduleSoon();
    }
    m_timers.after(m_settings.sweepInterval, [this] { sweep(); });
}

void ShardDispatcher::sweepRecovery()
{
    if (!m_isLoaded)
        return;
    const bool isSettled = areTargetsSettled();
    for (const auto& entry : m_open) {
        if (isSettled && entry.second->description.best_effort())
            clearUncertainty(*entry.second);
    }
    const bool isLimitOver = m_clock.now() - m_heldSince >= m_settings.earlierHolderLimit;
    if (!m_isRecovering || (!isSettled && !isLimitOver))
        return;
    m_isRecovering = false;
    for (const auto& entry : m_open)
        clearUncertainty(*entry.second);
    m_hooks.log("shard_recovered", JobId(), std::to_string(m_open.size()) + " open jobs");
    scheduleSoon();
}

void ShardDispatcher::clearUncertainty(ShardJob& job)
{
    for (auto& phase : job.phases) {
        for (ShardTask& task : phase)
            task.isUncertain = false;
    }
}

bool ShardDispatcher::areTargetsSettled() const
{
    // A target that is missing from the list may run something all the same.
    const bool isListSettled = m_clock.now() - m_listGapAt >= m_settings.listSettled;
    return isListSettled && !m_sessions.empty()
        && std::all_of(m_sessions.begin(), m_sessions.end(), [](const auto& entry) { return entry.second->isReady(); });
}

void ShardDispatcher::sweepTargets()
{
    const TimePoint now = m_clock.now();
    for (auto entry = m_sessions.begin(); entry != m_sessions.end();) {
        const TargetSession& session = *entry->second;
        const bool isGone = !session.isListed() && now - session.unlistedSince() >= m_settings.unlistedLimit
            && session.runs().empty();
        entry = isGone ? m_sessions.erase(entry) : std::next(entry);
    }
}

void ShardDispatcher::sweepOverdue()
{
    const TimePoint now = m_clock.now();
    for (const auto& entry : m_sessions) {
        TargetSession& session = *entry.second;
        std::vector<TaskName> overdue;
        for (const auto& run : session.runs()) {
            const bool isRunning = run.second.state == TargetSession::Run::State::Running;
            const auto limit = std::chrono::duration_cast<Duration>(run.second.predicted * m_settings.overdueFactor)
                + m_settings.overdueSlack;
            if (isRunning && run.second.predicted.count() > 0 && now - run.second.startedAt > limit)
                overdue.push_back(run.first);
        }
        for (const TaskName& name : overdue)
            takeOverdue(session, name);
    }
}

void ShardDispatcher::takeOverdue(TargetSession& session, const TaskName& name)
{
    ShardJob* const job = findJob(name.job);
    ShardTask* const task = job ? job->task(name) : nullptr;
    if (!task || task->state != ShardTask::State::Placed || task->target != session.report().id || !task->startedAt)
        return;
    const PlacingTask wanted = placingTask(*job, name.phase);
    learn(session, wanted, *task->startedAt);
    const bool hasRoom = std::any_of(m_sessions.begin(), m_sessions.end(), [&](const auto& entry) {
        return entry.second.get() != &session && entry.second->canStart()
            && TaskPlacer::isEligible(wanted, entry.second->report())
            && wanted.resources.fitsInto(entry.second->free());
    });
    if (task->wasMoved || !hasRoom)
        return;
    task->wasMoved = true;
    m_hooks.log("run_overdue", name.job,
        "task " + std::to_string(name.index) + " on " + session.report().id.value() + " after "
            + std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - *task->startedAt).count())
            + " ms");
    session.stop(name);
}

void ShardDispatcher::sweepJobs()
{
    const TimePoint now = m_clock.now();
    std::vector<ShardJob*> forsaken;
    for (const auto& entry : m_open) {
        ShardJob& job = *entry.second;
        if (job.description.best_effort() && now - job.askedAt >= m_settings.entranceLimit)
            forsaken.push_back(&job);
    }
    for (ShardJob* const job : forsaken)
        endJob(*job, JobState::Cancelled, "its entrance no longer asks after it");
    for (const auto& entry : m_open) {
        ShardJob& job = *entry.second;
        if (job.keptEnds.empty() || now - job.keptEnds.front().seenAt < m_settings.progressDelay)
            continue;
        m_writer.update(
            storekeys::job(job.id), encodeRecord(job, m_settings.shard), [this, id = job.id, covered = m_lastKeptEnd] {
                const auto found = m_jobs.find(id);
                if (found != m_jobs.end() && !hasEnded(found->second->state))
                    forgetEnds(*found->second, covered);
            });
        // Not again before this write can have been answered.
        for (KeptEnd& end : job.keptEnds)
            end.seenAt = now;
    }
    std::vector<JobId> expired;
    for (const auto& entry : m_jobs) {
        const ShardJob& job = *entry.second;
        if (!job.endedAt)
            continue;
        const bool isBestEffort = job.description.best_effort();
        if (now - *job.endedAt >= (isBestEffort ? m_settings.bestEffortRetention : m_settings.retention))
            expired.push_back(entry.first);
    }
    for (const JobId& id : expired) {
        if (!m_jobs[id]->description.best_effort())
            m_writer.remove(storekeys::job(id));
        m_jobs.erase(id);
    }
}

}
