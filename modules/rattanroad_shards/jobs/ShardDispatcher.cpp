#include "rattanroad_shards/jobs/ShardDispatcher.h"

#include "rattanroad_shards/holding/StoreKeys.h"
#include "rattanroad_shards/jobs/JobRequirements.h"

#include <algorithm>
#include <utility>

namespace rattanroad::shards {

ShardDispatcher::ShardDispatcher(
    Settings settings, KeyValueStore& store, TargetCalls& targets, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_writer({ storekeys::holder(m_settings.shard) }, store, m_timers, { [this] { m_hooks.keyChanged(); } })
    , m_records({ storekeys::jobPrefix, m_settings.sweepInterval }, store, m_timers,
          { [this](const StoredItem& item) { loadRecord(item); }, [this] { finishLoading(); } })
    , m_targets(m_settings.targets, targets, m_timers, clock, sessionHooks(), m_hooks.isStoreLost)
    , m_jobs(m_settings.jobs, clock)
    , m_runner(m_settings.running, m_jobs, m_targets, m_timers, clock, runnerHooks())
    , m_completions(m_settings.completions, m_jobs, m_targets, m_writer, clock,
          { [this](const ShardJob& job) { return encode(job); }, m_hooks.jobEnded, m_hooks.log })
    , m_handovers(m_settings.shard, m_jobs, clock, currentRuns(), m_hooks.log)
    , m_acquiredAt(clock.now())
    , m_returned(m_settings.returned, clock)
    , m_store(store)
    , m_transfers({ m_settings.shard, storekeys::holder(m_settings.shard) }, store, m_timers, transferHooks())
{
    sweep();
}

void ShardDispatcher::begin(const ShardElection::Holding& holding)
{
    m_holding = holding;
    m_targetListAwaitedSince = m_clock.now();
    m_targets.requireListSince(*m_targetListAwaitedSince);
    m_writer.begin(holding.token, holding.isContinued && m_isLoaded);
    m_transfers.begin(holding.token, holding.isContinued && m_isLoaded);
    if (holding.isContinued && m_isLoaded) {
        m_targets.setToken(holding.token);
        m_runner.begin(holding.generation);
        m_runner.scheduleSoon();
        return;
    }
    ++m_loadEpoch;
    m_isLoaded = false;
    m_runner.end();
    m_acquiredAt = m_clock.now();
    m_targets.clear();
    m_handovers.beginLoading();
    m_jobs.clear();
    m_submitReplies.clear();
    m_returned.clear();
    m_records.start();
}

void ShardDispatcher::raiseToken(FencingToken token)
{
    if (!m_holding)
        return;
    m_holding->token = token;
    m_writer.begin(token, true);
    m_transfers.raiseToken(token);
    m_targets.raiseToken(token);
}

void ShardDispatcher::end()
{
    if (m_holding)
        m_lostGeneration = m_holding->generation;
    m_holding.reset();
    m_lostAt = m_clock.now();
    m_writer.end();
    m_transfers.end();
    m_records.stop();
    m_runner.end();
    m_targets.close();
}

void ShardDispatcher::loadRecord(const StoredItem& item)
{
    protocol::JobRecord record;
    if (!record.ParseFromString(item.value) || !isServable(record)) {
        m_hooks.log("record_malformed", JobId(item.key), "the job record cannot be read");
        return;
    }
    const JobId id(item.key.substr(storekeys::jobPrefix.size()));
    const bool isOpen = record.state() < static_cast<unsigned>(JobState::Done);
    if (isOpen && record.transferred_from() == m_settings.shard.value() && record.shard() != m_settings.shard.value())
        m_transfers.notifyAgain(id, ShardId(record.shard()));
    if (record.shard() != m_settings.shard.value())
        return;
    // A target that the later holder has not contacted yet would still accept requests of this one.
    if (record.generation() > m_holding->generation.value()) {
        m_hooks.log("record_of_later_holder", id, "generation " + std::to_string(record.generation()));
        m_hooks.displaced();
        return;
    }
    auto job = m_jobs.makeJob(record.job());
    job->id = id;
    job->acceptedIn = Generation(record.generation());
    job->state = static_cast<JobState>(record.state());
    job->isAccepted = true;
    applyProgress(record, *job, m_clock.now());
    job->setMayHaveEarlierRun(true);
    if (hasEnded(job->state)) {
        job->endedAt = m_clock.now();
        job->endShownAt = job->endedAt;
    }
    m_writer.setRevision(item.key, item.revision);
    ShardJob& added = m_jobs.add(std::move(job));
    if (added.isEndShown())
        return;
    m_jobs.open(added);
    m_runner.trackLosses(added, true);
    applyHandedOverState(added);
}

void ShardDispatcher::applyHandedOverState(ShardJob& job)
{
    const protocol::JobHandover* const handed = m_handovers.find(job.id);
    if (!handed || !job.isAccepted || hasEnded(job.state))
        return;
    const auto state = static_cast<JobState>(handed->final_state());
    if (hasEnded(state) && state <= JobState::Cancelled) {
        finishJob(job, state, "handed over by an earlier holder");
        return;
    }
    addLostRuns(*handed, job, m_clock.now());
    m_runner.trackLosses(job, false);
}

void ShardDispatcher::finishLoading()
{
    m_isLoaded = true;
    m_isRecovering = true;
    m_runner.begin(m_holding->generation);
    m_hooks.log("shard_loaded", JobId(), std::to_string(m_jobs.openJobs().size()) + " open jobs");
    const bool hasPredecessor = m_holding->generation.value() > 1;
    m_timers.after(hasPredecessor ? m_settings.handoverWait : Duration(0), [this, epoch = m_loadEpoch] {
        if (epoch == m_loadEpoch && m_holding)
            openSessions();
    });
}

void ShardDispatcher::openSessions()
{
    if (m_targets.isOpen())
        return;
    m_targets.open(m_holding->token);
    updateRecovery();
}

protocol::ShardHandover ShardDispatcher::takeHandover()
{
    protocol::ShardHandover handover = m_handovers.take(m_clock.now() - m_lostAt < m_settings.maximumHandoverAge);
    m_jobs.clear();
    m_isLoaded = false;
    return handover;
}

void ShardDispatcher::handoverReceived(const protocol::ShardHandover& handover)
{
    if (!m_holding)
        return;
    for (const protocol::JobHandover& handed : handover.jobs()) {
        if (m_jobs.find(JobId(handed.job().id())))
            continue;
        auto job = m_jobs.makeJob(handed.job(), std::chrono::milliseconds(handed.waited_ms()));
        job->acceptedIn = m_holding->generation;
        job->originAddress = handed.entrance();
        const std::chrono::milliseconds silence(handed.silent_ms());
        job->lastSubmittedAt = m_clock.now() - silence;
        // The handover may have been under way since this host acquired the shard.
        job->certainlySubmittedAt = m_acquiredAt - silence;
        job->isAccepted = true;
        applyHandover(handed, *job, m_clock.now());
        ShardJob& added = m_jobs.add(std::move(job));
        m_jobs.open(added);
        m_runner.trackLosses(added, false);
    }
    for (const protocol::JobHandover& handed : handover.stored_jobs()) {
        m_handovers.keep(handed);
        if (ShardJob* const known = m_jobs.find(JobId(handed.job().id())))
            applyHandedOverState(*known);
    }
    m_hooks.log("handover_received", JobId(),
        std::to_string(handover.jobs_size()) + " jobs, " + std::to_string(handover.stored_jobs_size()) + " stored");
    // Open jobs may follow in another message. Sessions that are opened before would stop their runs.
    if (handover.jobs().empty())
        return;
    m_targets.listOutdated();
    if (m_isLoaded)
        openSessions();
}

void ShardDispatcher::targetListed(const TargetReport& report)
{
    const TargetSession* const session = m_targets.session(report.id);
    if (isHolding() && session && report.isDraining && !session->report().isDraining)
        m_hooks.log("target_draining", JobId(),
            report.id.value() + " of shard " + m_settings.shard.value() + " with "
                + std::to_string(session->runs().size()) + " runs");
    m_targets.listed(report);
    m_runner.scheduleSoon();
}

void ShardDispatcher::targetListUpdated(TimePoint time)
{
    m_targets.listUpdated(time);
    m_runner.scheduleSoon();
    if (!m_holding || !m_targetListAwaitedSince || time < *m_targetListAwaitedSince)
        return;
    const auto elapsed
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - *m_targetListAwaitedSince);
    m_targetListAwaitedSince.reset();
    m_hooks.log("target_list_recent", JobId(),
        "shard " + m_settings.shard.value() + ", " + std::to_string(elapsed.count()) + " ms after its acquisition");
}

void ShardDispatcher::targetListRead()
{
    m_targets.listRead();
    updateRecovery();
    m_runner.scheduleSoon();
}

TargetSession::Hooks ShardDispatcher::sessionHooks()
{
    TargetSession::Hooks hooks;
    hooks.ready = [this](TargetSession& session) {
        m_runner.targetReported(session);
        updateRecovery();
        m_runner.scheduleSoon();
    };
    hooks.ended
        = [this](TargetSession& session, const RunCompletion& completion) { m_runner.runEnded(session, completion); };
    hooks.lost = [this](TargetSession& session, const RunLoss& loss) { m_runner.runLost(session, loss); };
    hooks.foundRun
        = [this](TargetSession& session, const RunningTask& running) { return m_runner.adoptRun(session, running); };
    hooks.rejected = [this](TargetSession& session, const TaskId& task, std::uint32_t attempt,
                         TargetCallResult ending) { m_runner.startRejected(session, task, attempt, ending); };
    hooks.roomChanged = [this] { m_runner.scheduleSoon(); };
    hooks.leaseLimit = [this](const TaskId& task) { return m_runner.leaseLimit(task); };
    hooks.areStartsAllowed = [this] { return areStartsAllowed(); };
    hooks.fenced = [this] {
        if (m_holding)
            m_hooks.displaced();
    };
    hooks.tokenRaiseNeeded = m_hooks.tokenRaiseNeeded;
    return hooks;
}

TaskRunner::Hooks ShardDispatcher::runnerHooks()
{
    TaskRunner::Hooks hooks;
    hooks.finished
        = [this](ShardJob& job, JobState state, const std::string& reason) { finishJob(job, state, reason); };
    hooks.completionReported = [this](ShardJob& job, TargetSession& session, std::uint64_t number) {
        m_completions.retain(job, session, number);
    };
    hooks.lossesChanged = [this](ShardJob& job) { recordLosses(job); };
    hooks.areStartsAllowed = [this] { return areStartsAllowed(); };
    hooks.log = m_hooks.log;
    return hooks;
}

CurrentRun ShardDispatcher::currentRuns() const
{
    return [this](const TaskId& task) { return m_runner.currentRun(task); };
}

std::string ShardDispatcher::encode(const ShardJob& job) const
{
    return encodeRecord(job, m_settings.shard, currentRuns());
}

void ShardDispatcher::recordLosses(const ShardJob& job)
{
    if (job.description.best_effort() || job.isBeingTransferred)
        return;
    m_writer.update(storekeys::job(job.id), encode(job), [this, id = job.id, sequence = job.lossSequence] {
        ShardJob* const found = m_jobs.find(id);
        if (!found)
            return;
        found->recordedLossSequence = std::max(found->recordedLossSequence, sequence);
        m_runner.scheduleSoon();
    });
}

void ShardDispatcher::recordRunsInDanger()
{
    for (const JobId& id : m_runner.jobsWithRunsToRecord())
        recordLosses(*m_jobs.find(id));
}

void ShardDispatcher::submit(const protocol::PlacedJob& description, std::chrono::milliseconds waited, bool isResent,
    const Origin& origin, SubmitReply reply)
{
    if (!isHolding()) {
        reply(SubmitVerdict::NotHolder, {});
        return;
    }
    // Without any target, every job would be refused.
    if (m_targetListAwaitedSince && !m_targets.hasListedTargets()) {
        reply(SubmitVerdict::NotHolder, {});
        return;
    }
    const JobId id(description.id());
    if (description.best_effort() && m_clock.now() - origin.sentAt >= m_settings.running.originTimeout) {
        m_hooks.log("submission_outdated", id, "from " + origin.address);
        return;
    }
    if (ShardJob* const known = m_jobs.find(id)) {
        submitAgain(*known, waited, origin, std::move(reply));
        return;
    }
    if (isLeftToOtherShard(description, isResent, origin, reply))
        return;
    auto job = m_jobs.makeJob(description, waited);
    job->acceptedIn = m_holding->generation;
    job->hasSingleOrigin = !isResent;
    job->originAddress = origin.address;
    job->lastSubmittedAt = origin.sentAt;
    job->certainlySubmittedAt = origin.sentAt;
    job->wasSubmittedBefore = isResent;
    if (description.best_effort() && origin.callerWait.count() > 0)
        job->callerDeadline = job->receivedAt + origin.callerWait;
    const bool mayRunAlready = description.best_effort() && isResent && mayHaveEarlierRuns();
    const bool isStoreNeeded = !description.best_effort();
    const bool isStoreUnavailable = isStoreNeeded && m_writer.isStoreUnavailable();
    const Admission::Decision admission = m_runner.admit(*job);
    if (!mayRunAlready && (!admission.isAccepted || isStoreUnavailable || !m_runner.hasEligibleTarget(*job))) {
        m_hooks.log("job_refused", id,
            isStoreUnavailable          ? "the store is unavailable"
                : !admission.isAccepted ? "expected wait " + std::to_string(admission.wait.count()) + " ms, at most "
                    + std::to_string(admission.maximumWait.count()) + " ms"
                                        : "no target can run it");
        reply(SubmitVerdict::Refused, std::max(m_settings.minimumRetryAfter, admission.retryAfter));
        return;
    }
    if (description.best_effort()) {
        if (mayRunAlready) {
            // The runs are adopted when their targets report them.
            job->setMayHaveEarlierRun(true);
            m_isRecovering = true;
        }
        submitBestEffort(std::move(job), isResent, reply);
        return;
    }
    m_submitReplies[id].push_back(std::move(reply));
    const std::string value = encode(*job);
    m_jobs.add(std::move(job));
    m_writer.insert(storekeys::job(id), value,
        [this, id](RecordWriter::InsertResult result, const StoredItem& item) { insertCompleted(id, result, item); });
}

void ShardDispatcher::submitAgain(
    ShardJob& job, std::chrono::milliseconds waited, const Origin& origin, SubmitReply reply)
{
    const TimePoint requestedAt = m_clock.now() - waited;
    job.hasSingleOrigin = job.hasSingleOrigin && job.originAddress == origin.address;
    job.originAddress = origin.address;
    job.lastSubmittedAt = std::max(job.lastSubmittedAt, origin.sentAt);
    job.certainlySubmittedAt = std::max(job.certainlySubmittedAt, origin.sentAt);
    if (origin.callerWait.count() > 0)
        job.callerDeadline = std::max(job.callerDeadline.value_or(distantPast), requestedAt + origin.callerWait);
    // The answer to a request from before the job was given up may be that the job does not run.
    const bool isReturned = job.returnedAt && requestedAt <= *job.returnedAt + m_settings.requestTimeTolerance;
    if (job.returnedAt && !isReturned) {
        job.returnedAt.reset();
        job.receivedAt = requestedAt;
        job.softDeadline = requestedAt + latencyObjective(job.description);
    }
    // The job was cancelled because its origin was silent; the repeated submission shows that it is still wanted.
    if (job.description.best_effort() && job.state == JobState::Cancelled && !isReturned)
        reopen(job);
    if (job.isAccepted)
        reply(SubmitVerdict::Accepted, {});
    if (isReturned)
        returnToOrigin(job);
    else if (job.description.best_effort() && hasEnded(job.state))
        m_hooks.jobEnded(job);
    if (!job.isAccepted)
        m_submitReplies[job.id].push_back(std::move(reply));
}

bool ShardDispatcher::isLeftToOtherShard(
    const protocol::PlacedJob& description, bool isResent, const Origin& origin, const SubmitReply& reply)
{
    const JobId id(description.id());
    if (const auto returnedTo = m_returned.origin(id, isResent, origin.sentAt)) {
        // The origin has not received the notice, or had not when it sent this submission.
        if (*returnedTo == origin.address && m_hooks.jobSentElsewhere)
            m_hooks.jobSentElsewhere(id, origin.address);
        return true;
    }
    // A job that an earlier holder may have started has to stay here.
    const bool mayRunAlready = description.best_effort() && isResent && mayHaveEarlierRuns();
    if (!isEvacuated() || mayRunAlready)
        return false;
    m_hooks.log("job_declined", id, "shard " + m_settings.shard.value() + " is evacuated");
    reply(SubmitVerdict::NotHolder, {});
    return true;
}

JobTransfers::Hooks ShardDispatcher::transferHooks()
{
    JobTransfers::Hooks hooks;
    hooks.notify = [this](const JobId& job, const ShardId& to) {
        if (m_hooks.notifyTransfer)
            m_hooks.notifyTransfer(job, to);
    };
    hooks.moved = [this](const JobId& id, const ShardId& to) {
        m_hooks.log("job_transferred", id, "from shard " + m_settings.shard.value() + " to " + to.value());
        ShardJob* const job = m_jobs.find(id);
        if (!job)
            return;
        m_completions.acknowledgeAll(*job);
        m_writer.forget(storekeys::job(id));
        m_jobs.close(*job);
        m_jobs.remove(id);
    };
    hooks.kept = [this](const JobId& id, KeyRevision revision) {
        m_writer.setRevision(storekeys::job(id), revision);
        ShardJob* const job = m_jobs.find(id);
        if (!job)
            return;
        job->isBeingTransferred = false;
        if (const auto end = std::exchange(job->endDuringTransfer, std::nullopt))
            finishJob(*job, end->state, end->reason);
        m_runner.scheduleSoon();
    };
    hooks.keyChanged = [this] { m_hooks.keyChanged(); };
    return hooks;
}

bool ShardDispatcher::isTransferDue(ShardJob& job)
{
    const bool isStored = !job.description.best_effort() && job.isAccepted && !hasEnded(job.state);
    if (!isStored || job.isBeingTransferred)
        return false;
    const bool isEvacuatedNow = isEvacuated() && !areStartsAllowed();
    const TimePoint now = m_clock.now();
    if (!m_targets.isListRecent() || (!isEvacuatedNow && !m_runner.hasUnplaceableTask(job))) {
        job.unplaceableSince.reset();
        return false;
    }
    if (!job.unplaceableSince)
        job.unplaceableSince = now;
    const bool isLasting = isEvacuatedNow || now - *job.unplaceableSince >= m_settings.transferDelay;
    return isLasting && !m_runner.mayHaveRun(job);
}

void ShardDispatcher::transferJobs()
{
    if (!m_hooks.chooseShard || !m_hooks.notifyTransfer || !m_hooks.jobAssigned)
        return;
    for (const auto& entry : m_jobs.openJobs()) {
        ShardJob& job = *entry.second;
        if (!isTransferDue(job))
            continue;
        const auto revision = m_writer.settledRevision(storekeys::job(job.id));
        const auto to = revision && m_transfers.canStart() ? m_hooks.chooseShard(job.description) : std::nullopt;
        if (!to)
            continue;
        protocol::JobRecord record;
        record.ParseFromString(encode(job));
        record.set_shard(to->value());
        // Generations count the holders of one shard.
        record.set_generation(0);
        record.set_transferred_from(m_settings.shard.value());
        record.set_attempt_floor(m_runner.highestAttempt(job));
        job.isBeingTransferred = true;
        m_hooks.log("job_transfer_started", job.id,
            "from shard " + m_settings.shard.value() + " to " + to->value()
                + (isEvacuated() ? ", evacuated" : ", no target of its own can run it"));
        m_hooks.jobAssigned(job.description, *to);
        m_transfers.start(job.id, *to, record.SerializeAsString(), *revision);
    }
}

void ShardDispatcher::transferReceived(const JobId& id, const std::function<void()>& reply)
{
    if (!isHolding())
        return;
    if (const ShardJob* const known = m_jobs.find(id); known && known->isAccepted) {
        reply();
        return;
    }
    m_store.read(storekeys::job(id), [this, id, reply, token = m_holding->token](const ReadReply& read) {
        const bool isAnswered = read.status == StoreStatus::Absent || read.status == StoreStatus::Done;
        if (!isHolding() || m_holding->token != token || !isAnswered)
            return;
        if (!m_jobs.find(id) && !read.items.empty())
            loadRecord(read.items.front());
        ShardJob* const job = m_jobs.find(id);
        // A submission of the job is being stored, will find the record, and is then forgotten.
        if (job && !job->isAccepted)
            return;
        if (job && !hasEnded(job->state)) {
            m_hooks.log("job_received", id, "by a transfer to shard " + m_settings.shard.value());
            // An earlier holder of this shard may have read the job too.
            const bool mayHaveEarlierRun = mayHaveEarlierRuns();
            job->setMayHaveEarlierRun(mayHaveEarlierRun);
            m_jobs.refresh(*job);
            m_isRecovering = m_isRecovering || mayHaveEarlierRun;
            m_runner.scheduleSoon();
        }
        reply();
    });
}

void ShardDispatcher::evacuationChanged()
{
    if (!isHolding())
        return;
    returnWaitingJobs();
    m_runner.scheduleSoon();
}

void ShardDispatcher::returnWaitingJobs()
{
    if (!isEvacuated() || !m_hooks.jobSentElsewhere)
        return;
    std::vector<ShardJob*> returned;
    for (const auto& entry : m_jobs.openJobs()) {
        ShardJob& job = *entry.second;
        if (!job.description.best_effort() || !job.hasSingleOrigin || !job.isUntouched())
            continue;
        // A job that only this shard can run may still start in time.
        if (!areStartsAllowed() || (m_hooks.chooseShard && m_hooks.chooseShard(job.description)))
            returned.push_back(&job);
    }
    for (ShardJob* const job : returned) {
        const JobId id = job->id;
        const std::string origin = job->originAddress;
        m_hooks.log("job_returned", id, "shard " + m_settings.shard.value() + " is evacuated, to " + origin);
        m_returned.add(id, origin);
        m_jobs.close(*job);
        m_jobs.remove(id);
        m_hooks.jobSentElsewhere(id, origin);
    }
}

void ShardDispatcher::reopen(ShardJob& job)
{
    job.state = JobState::Queued;
    job.endedAt.reset();
    job.endShownAt.reset();
    for (auto& phase : job.phases) {
        for (ShardTask& task : phase) {
            if (task.state == ShardTask::State::Placed)
                task.state = ShardTask::State::Waiting;
        }
    }
    m_jobs.open(job);
    m_hooks.log("job_reopened", job.id, "shard " + m_settings.shard.value() + " for " + job.originAddress);
    m_runner.scheduleSoon();
}

void ShardDispatcher::submitBestEffort(std::unique_ptr<ShardJob> job, bool isResent, const SubmitReply& reply)
{
    job->isAccepted = true;
    ShardJob& added = m_jobs.add(std::move(job));
    m_jobs.open(added);
    m_runner.accepted(added);
    m_hooks.log("job_taken", added.id,
        "shard " + m_settings.shard.value() + " for " + added.originAddress + (isResent ? ", resubmitted" : ""));
    reply(SubmitVerdict::Accepted, {});
    m_runner.scheduleSoon();
}

void ShardDispatcher::insertCompleted(const JobId& id, RecordWriter::InsertResult result, const StoredItem& existing)
{
    std::vector<SubmitReply> replies;
    replies.swap(m_submitReplies[id]);
    m_submitReplies.erase(id);
    const bool isRefused = result == RecordWriter::InsertResult::Refused;
    if (result == RecordWriter::InsertResult::Stored) {
        // Not found when the shard was handed over meanwhile: its new holder reads the job from the record.
        if (ShardJob* const job = m_jobs.find(id)) {
            job->isAccepted = true;
            m_jobs.open(*job);
            m_runner.accepted(*job);
            m_hooks.log("job_stored", id, "shard " + m_settings.shard.value() + " for " + job->originAddress);
            m_runner.scheduleSoon();
        }
    } else {
        m_jobs.remove(id);
        m_hooks.log(isRefused ? "job_refused" : "job_resubmitted", id,
            isRefused ? "the store is unavailable"
                      : "recorded at revision " + std::to_string(existing.revision.value()));
    }
    for (const SubmitReply& reply : replies)
        reply(isRefused ? SubmitVerdict::Refused : SubmitVerdict::Accepted, m_settings.minimumRetryAfter);
}

std::optional<JobState> ShardDispatcher::state(const JobId& id) const
{
    const ShardJob* const job = m_jobs.find(id);
    if (!job || !job->isAccepted)
        return std::nullopt;
    return job->shownState();
}

std::optional<JobState> ShardDispatcher::stateUnlessStopped(const JobId& id) const
{
    const std::optional<JobState> shown = state(id);
    const bool isStopped = shown == JobState::Cancelled && !m_runner.mayHaveRun(*m_jobs.find(id));
    return isStopped ? std::nullopt : shown;
}

void ShardDispatcher::cancel(const JobId& id, const StateReply& reply)
{
    ShardJob* const found = m_jobs.find(id);
    if (!found || !found->isAccepted) {
        reply(false, JobState::Queued);
        return;
    }
    ShardJob& job = *found;
    // The holder of the shard that the record names next cancels it.
    if (job.isBeingTransferred) {
        reply(false, JobState::Queued);
        return;
    }
    if (!hasEnded(job.state))
        finishJob(job, JobState::Cancelled, "cancelled by its caller");
    if (job.isEndShown())
        reply(true, job.state);
    else
        job.onEndShown.push_back([reply, state = job.state] { reply(true, state); });
}

void ShardDispatcher::finishJob(ShardJob& job, JobState state, const std::string& reason)
{
    if (job.isBeingTransferred) {
        if (!job.endDuringTransfer)
            m_hooks.log("job_end_held", job.id, "its record is being transferred");
        job.endDuringTransfer = job.endDuringTransfer.value_or(JobEnd { state, reason });
        return;
    }
    job.state = state;
    job.endedAt = m_clock.now();
    m_jobs.close(job);
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(*job.endedAt - job.receivedAt);
    const char* const event = job.returnedAt ? "job_given_up"
        : state == JobState::Done            ? "job_done"
        : state == JobState::Failed          ? "job_failed"
                                             : "job_cancelled";
    m_hooks.log(
        event, job.id, "after " + std::to_string(duration.count()) + " ms" + (reason.empty() ? "" : ": ") + reason);
    m_runner.stopRuns(job);
    m_completions.storeEnd(job);
}

protocol::ShardLoad ShardDispatcher::load() const
{
    protocol::ShardLoad load;
    load.set_shard(m_settings.shard.value());
    load.set_generation(m_holding ? m_holding->generation.value() : 0);
    load.set_evacuated(isEvacuated());
    load.set_backlog_ms(static_cast<std::uint32_t>(m_runner.expectedWait().count()));
    m_targets.addCapacityTo(load);
    m_jobs.addQueueDepths(load);
    return load;
}

void ShardDispatcher::sweep()
{
    if (isHolding()) {
        updateRecovery();
        m_targets.removeUnlisted();
        m_runner.rescheduleOverdueRuns();
        m_runner.endPreferredIsolations();
        cancelAbandonedJobs();
        giveUpHopelessJobs();
        m_completions.storeOverdueProgress();
        recordRunsInDanger();
        m_completions.removeExpiredJobs();
        returnWaitingJobs();
        transferJobs();
        m_runner.scheduleSoon();
    }
    m_timers.after(m_settings.sweepInterval, [this] { sweep(); });
}

bool ShardDispatcher::mayHaveEarlierRuns() const
{
    const bool isFirstHolder = m_holding && m_holding->generation == Generation(1);
    const bool areEarlierHoldersExpired = m_clock.now() - m_acquiredAt >= m_settings.targets.earlierHolderExpiry;
    return !isFirstHolder && !areEarlierHoldersExpired && !m_targets.areReconciled();
}

void ShardDispatcher::updateRecovery()
{
    if (!m_isLoaded)
        return;
    const bool isReconciled = m_targets.areReconciled();
    for (const auto& entry : m_jobs.openJobs()) {
        if (isReconciled && entry.second->description.best_effort() && entry.second->setMayHaveEarlierRun(false))
            m_jobs.refresh(*entry.second);
    }
    if (!m_isRecovering || mayHaveEarlierRuns())
        return;
    m_isRecovering = false;
    for (const auto& entry : m_jobs.openJobs()) {
        entry.second->setMayHaveEarlierRun(false);
        m_jobs.refresh(*entry.second);
    }
    m_hooks.log("shard_recovered", JobId(),
        std::to_string(m_jobs.openJobs().size()) + " open jobs; "
            + (isReconciled ? "all listed targets have reported" : "no earlier holder can be active") + "; "
            + m_targets.describeList());
    m_runner.scheduleSoon();
}

void ShardDispatcher::cancelAbandonedJobs()
{
    std::vector<ShardJob*> abandoned;
    for (const auto& entry : m_jobs.openJobs()) {
        ShardJob& job = *entry.second;
        if (job.description.best_effort() && m_clock.now() - job.lastSubmittedAt >= m_settings.running.originTimeout)
            abandoned.push_back(&job);
    }
    for (ShardJob* const job : abandoned)
        finishJob(*job, JobState::Cancelled, "its origin stopped repeating the submission");
}

void ShardDispatcher::giveUpHopelessJobs()
{
    const TimePoint now = m_clock.now();
    for (const JobId& id : m_jobs.workQueue().hopeless(now)) {
        ShardJob& job = *m_jobs.find(id);
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*job.callerDeadline - now);
        job.returnedAt = now;
        finishJob(job, JobState::Cancelled,
            "its caller waits for another " + std::to_string(left.count()) + " ms; expected wait "
                + std::to_string(m_runner.expectedWait().count()) + " ms, "
                + (job.mayHaveRun() ? "may have run" : "has not run"));
        returnToOrigin(job);
    }
}

void ShardDispatcher::returnToOrigin(const ShardJob& job)
{
    if (m_hooks.jobGivenUp)
        m_hooks.jobGivenUp(job, std::max(m_settings.minimumRetryAfter, m_runner.expectedWait()));
}

}
