#!/usr/bin/env bash
# Removes one check of the engine at a time from a copy of the tree and succeeds only if the seeded failure runs or the
# named unit test then fail, so that a test that cannot fail is noticed. Takes about 20 s a mutation.
#   scripts/check-mutations.sh [pattern of names]
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files | tar -c -T - | tar -x -C "$copy"
cd "$copy"
cmake -S . -B build -G Ninja >/dev/null

# mutate <name> <file> <python expression: old text> <new text> <target to build> <command that must fail>
mutate() {
    [[ $1 =~ ^(${wanted:-.*}) ]] || return 0
    cp "$2" "$copy/original"
    python3 - "$2" "$3" "$4" <<'PY'
import sys
path, old, new = sys.argv[1:]
text = open(path).read()
assert text.count(old) == 1, f"{path}: {text.count(old)} places match {old!r}"
open(path, "w").write(text.replace(old, new))
PY
    cmake --build build --target "$5" >"$copy/build.log" 2>&1 || { tail -n 20 "$copy/build.log" >&2; exit 2; }
    local result=0
    timeout 300 bash -c "$6" >"$copy/run.log" 2>&1 || result=$?
    cp "$copy/original" "$2"
    if [ "$result" = 0 ]; then
        echo "$1: NOT noticed" >&2
        failed=1
    else
        echo "$1: noticed ($(grep -Eom1 'guarantee [0-9] at|FAILED:' "$copy/run.log" || echo "exit status $result"))"
    fi
}
wanted=${1:-}
failed=0
engine=modules/rattanroad_dispatch/engine
runs='build/tests/simulation/rattanroad_simulate --first 1 --count 200 --threads 8'

mutate partial-answer $engine/JobRunner.cpp 'if (!job.isClosed && job.isEveryTaskSucceeded())' \
    'if (!job.isClosed && job.count(State::Succeeded) + 1 >= job.taskCount())' rattanroad_simulate "$runs"
mutate answer-to-wrong-request $engine/Forwarder.cpp 'm_pending.find(message.request());' \
    'm_pending.begin();' rattanroad_simulate "$runs"
mutate not-run-after-start $engine/JobRunner.cpp 'failure.runState = job.runState();' \
    'failure.runState = RunState::NotRun;' rattanroad_simulate "$runs"
mutate leaving-target-offered modules/rattanroad_routing/slots/TargetPool.h \
    'return isMarkedLeaving || definition.state == TargetState::Leaving;' 'return false;' rattanroad_simulate "$runs"
mutate exit-before-answer $engine/EntryHost.cpp 'return m_isReleased && isIdle();' 'return m_isDraining;' \
    rattanroad_simulate "$runs"
mutate unrepeatable-repeated modules/rattanroad_admission/retry/RetryPolicy.cpp \
    'return use == SlotUse::Failed && repeat == protocol::REPEAT_AFTER_FAILURE && !isNeverRepeated;' \
    'return true;' test_admission 'build/tests/test_admission'
mutate older-revision-installed modules/rattanroad_configuration/configuration/ConfigurationHolder.cpp \
    'value.revision <= revision()' 'value.revision == revision()' rattanroad_simulate "$runs"

shards=modules/rattanroad_shards
# guard <name> <file of rattanroad_shards> <old text> <new text>: removes a guard that tests/shards must notice.
guard() { mutate "shard-$1" "$shards/$2" "$3" "$4" test_shards build/tests/test_shards; }

guard unsettled-targets targets/ShardTargets.cpp 'return isListComplete && !m_sessions.empty()' \
    'return true || !m_sessions.empty()'
guard unsettled-list targets/ShardTargets.cpp 'm_clock.now() - m_lastListGap >= m_settings.earlierHolderExpiry;' 'true;'
guard forgotten-target targets/ShardTargets.cpp 'if (isGone && !session.isReconciled())' 'if (false)'
guard missed-removal targets/ShardTargets.cpp 'if (!opened || m_isClosed)' 'if (false)'
guard missed-interruption targets/ShardTargets.h 'void listInterrupted() { m_lastListGap = m_clock.now(); }' 'void listInterrupted() { }'
guard waits-for-ever jobs/ShardDispatcher.cpp '!areEarlierHoldersExpired && ' ''
guard outdated-list targets/ShardTargets.cpp 'm_isListCurrent && ' ''
guard list-not-followed node/TargetListFollower.cpp 'if (m_isNew)' 'if (false)'
guard targets-unread jobs/ShardDispatcher.cpp 'm_targetListAwaitedSince && !m_targets.hasListedTargets()' 'false'
guard earlier-holder-untold node/ShardNode.cpp 'isFromHolder && m_entrance.loads().hasLaterHolder(shard, generation)' 'false'
guard feeder-for-ever entrance/LoadFeed.cpp 'now - m_lastFedAt < m_settings.feederTimeout' 'true'
guard earlier-build-unfed entrance/LoadFeed.cpp 'host.second.subscribesToLoads ||' 'true ||'
guard late-watch store/PrefixWatcher.h 'if (epoch == m_epoch)' 'if (true)'
guard list-before-acquisition targets/ShardTargets.cpp 'm_listCurrentAsOf >= m_listRequiredSince && ' ''
guard old-list targets/ShardTargets.cpp 'm_clock.now() - m_listCurrentAsOf < m_settings.maximumListAge;' 'true;'
guard partial-changes store/PrefixWatcher.h 'm_check && m_watchRevision < m_check->storeRevision' 'false'
guard unreadable-entry node/TargetListFollower.cpp '        unlist(id);' ''
guard moved-target node/TargetListFollower.cpp 'known != m_shardByTarget.end() && known->second != shard' 'false'
guard unreported-targets jobs/TaskRunner.cpp 'm_targets.expectedMillicores()' 'm_targets.usableMillicores()'
guard overtaken-read store/PrefixWatcher.cpp ' || reply.storeRevision < m_watchRevision;' ';'
guard outdated-submission jobs/ShardDispatcher.cpp \
    'm_clock.now() - origin.sentAt >= m_settings.running.originTimeout' 'false'
guard handover-renews-job jobs/ShardDispatcher.cpp \
    'job->lastSubmittedAt = m_clock.now() - silence;' ''
guard second-run jobs/TaskRunner.cpp 'if (m_targets.hasRun(id))' 'if (false)'
guard attempt-again jobs/TaskRunner.cpp 'std::max(first, task.attempt + 1)' 'std::max(first, task.attempt)'
guard job-moves entrance/JobHomes.cpp 'const auto found = known->entries.find(job);' 'const auto found = known->entries.end();'
guard home-unasked entrance/JobHomes.cpp 'if (knowsAll(home, job) && !submission.isResent) {' \
    'if (!submission.isResent) {'
guard unknown-as-new entrance/JobHomes.cpp 'finishSearch(home, job, Answer::Unknown, {});' 'finishSearch(home, job, Answer::InNoShard, {});'
guard paused-origin entrance/JobEntrance.cpp 'm_clock.now() - due >= m_settings.lateRepetition' 'false'
guard located-job-moves entrance/JobHomes.cpp 'if (submission.isLocated) {' 'if (false) {'
guard cancel-misses-home entrance/JobEntrance.cpp 'if (isThroughHome)' 'if (false)'
guard refused-after-sending entrance/JobEntrance.cpp \
    'isCertain ? EntranceVerdict::Refused : EntranceVerdict::Unknown' 'EntranceVerdict::Refused'
guard acceptance-without-shard store/RecordWriter.cpp \
    'transaction.conditions.push_back({ m_settings.shardKey, KeyRevision(m_token->value()) });' ''
guard end-forgotten-early jobs/CompletionRetention.cpp 'if (job.isEndShown() || job.description.best_effort())' 'if (true)'
guard later-record jobs/ShardDispatcher.cpp 'if (record.generation() > m_holding->generation.value()) {' 'if (false) {'
guard forsaken-job-runs jobs/ShardDispatcher.cpp \
    'job.description.best_effort() && m_clock.now() - job.lastSubmittedAt >= m_settings.running.originTimeout' 'false'
guard room-freed-early targets/TargetSession.cpp 'run->confirmedAt.reset();' \
    'run->resources = {}; m_runs.remove({});'
guard late-start targets/UnansweredStarts.cpp 'm_starts.push_back({ task, attempt, now });' ';'
guard ended-attempt targets/TargetSession.cpp 'if (result == TargetCallResult::StaleAttempt) {' 'if (false) {'
guard start-on-the-way targets/TargetSession.cpp 'TargetCallResult::Unknown || run.sends > 1' 'TargetCallResult::Unknown'
guard messages-before-pause node/ShardNode.cpp 'm_clock.now() - m_loopMonitor.resumedAt() < m_settings.staleMessageWindow' 'false'
guard older-configuration node/OperatorKeys.cpp '(m_queues && queues->version <= m_queues->version)' 'false'
guard answered-start targets/TargetSession.cpp 'run.state == Run::State::Starting || mayBeInLaterIncarnation(task, run)' \
    'run.state == Run::State::Starting'
guard partial-list targets/TargetSession.cpp 'if (reply.mayHaveMoreCompletions)' 'if (false)'
guard partial-first-list targets/TargetSession.h 'return m_isReady && m_hasListedAll;' 'return m_isReady;'
guard forgotten-stop targets/TargetSession.cpp 'if (entry.second.state == Run::State::Stopping && !entry.second.confirmedAt)' 'if (false)'
guard earlier-acknowledgement targets/TargetSession.cpp 'm_wasPollAnswered ? m_completions.acknowledged() : 0' 'm_completions.acknowledged()'
guard failure-counted-again jobs/TaskRunner.cpp \
    'if (std::find(task.failedRuns.begin(), task.failedRuns.end(), run) != task.failedRuns.end()) {' 'if (false) {'
guard evacuated-shard-chosen entrance/ShardLoads.cpp ' || isEvacuated(shard) ||' ' ||'
guard evacuated-shard-starts jobs/TaskRunner.cpp 'if (!areStartsAllowed || !maySchedule())' 'if (!maySchedule())'
guard evacuation-age evacuation/EvacuationTable.cpp 'm_readUntil + share(m_settings.latestStartShare))' 'TimePoint::max())'
guard evacuation-unread evacuation/EvacuationTable.cpp 'isStoreLost || now - m_readUntil < limit' 'true'
guard evacuation-untold node/ShardNode.cpp 'if (isFromHolder && !load.evacuated())' 'if (false)'
guard started-job-returned jobs/ShardDispatcher.cpp ' || !job.isUntouched())' ')'
guard returned-job-is-back jobs/ShardDispatcher.cpp 'if (const auto returnedTo = m_returned.origin(id, isResent, origin.sentAt)) {' \
    'if (const auto returnedTo = std::optional<std::string>(); returnedTo) {'
guard late-work-counted scheduling/WorkQueue.cpp 'm_lateTimes.begin()->first < now' 'false'
guard capacity-of-idle-time scheduling/CapacityModel.cpp 'pass.isRoomShort ? std::optional<TimePoint>(now) : std::nullopt' 'now'
guard capacity-of-pause scheduling/CapacityModel.cpp 'now - *m_shortSince <= m_settings.maximumInterval' 'true'
guard refused-at-all scheduling/Admission.cpp 'decision.wait <= decision.maximumWait;' 'true;'
guard stored-backlog scheduling/Admission.cpp 'stored.workBefore += figures.lateStoredWork;' ';'
guard given-up-job-reopened jobs/ShardDispatcher.cpp 'job.state == JobState::Cancelled && !isReturned' \
    'job.state == JobState::Cancelled'
guard starved-priority scheduling/ScheduleOrder.cpp 'm_shares->owed(waiting).value_or(waiting.front())' 'waiting.front()'
guard no-transfers jobs/ShardDispatcher.cpp $'returnWaitingJobs();\n        transferJobs();' 'returnWaitingJobs();'
guard transfer-with-run jobs/ShardDispatcher.cpp 'isLasting && !m_runner.mayHaveRun(job)' 'isLasting'
guard transfer-notice-once evacuation/JobTransfers.cpp \
    'after(m_settings.noticeInterval, [this, job] { notify(job); });' ''
guard transfer-with-earlier-token jobs/ShardDispatcher.cpp 'm_transfers.raiseToken(token);' ''
guard transfer-forgotten jobs/ShardDispatcher.cpp 'm_transfers.notifyAgain(id, ShardId(record.shard()));' ';'
guard transfer-of-submission jobs/ShardDispatcher.cpp 'if (job && !job->isAccepted)' 'if (false)'
guard attempt-in-two-shards entrance/JobHomes.cpp \
    'answer == Answer::Unknown && mayRunElsewhere(known, job, waiting)' 'false'
guard outdated-stand-in entrance/JobHomes.cpp \
    'isOfSubmission || homesOf(job).front() == home;' 'true;'
guard search-over-a-pause entrance/JobHomes.cpp '    removeOutdated(job, waiting);' ''
guard answer-to-earlier-search entrance/JobHomes.cpp 'found->second.number != number' 'false'
guard home-of-earlier-submission entrance/JobHomes.cpp 'return isOfSubmission && entry.shard == preferred;' \
    'return isOfSubmission || homesOf(job).front() == home;'
guard wait-of-earlier-submission entrance/JobHomes.cpp 'return entry.submission.isSame(submission);' 'return true;'
guard found-where-stopped jobs/ShardDispatcher.cpp 'return isStopped ? std::nullopt : shown;' 'return shown;'
guard stopping-counts-as-present entrance/JobHomes.cpp 'if (presence == Presence::Present)' \
    'if (presence != Presence::None)'
guard transfer-forgotten-by-continuation evacuation/JobTransfers.cpp 'if (!isContinued) {' 'if (true) {'
guard silence-of-second-handover jobs/JobCodec.cpp 'millisecondsSince(job.certainlySubmittedAt)' \
    'millisecondsSince(job.lastSubmittedAt)'
guard late-submission-starts entrance/HolderRequests.cpp 'isOutdated && presenceOf' 'false && presenceOf'
guard transfer-of-ended-job jobs/ShardDispatcher.cpp $'if (job.isBeingTransferred) {\n        if (!job.endDuring' \
    $'if (false) {\n        if (!job.endDuring'
guard end-lost-in-transfer jobs/ShardDispatcher.cpp 'if (const auto end = std::exchange(job->endDuringTransfer, std::nullopt))' \
    'if (const std::optional<JobEnd> end; end)'
guard transfer-to-same-shard node/ShardNode.cpp 'choose(job, shard)' 'choose(job)'
guard transfers-uncounted node/ShardNode.cpp 'm_entrance.jobAssigned(to, job, m_settings.transferTime);' ';'
guard isolation-of-only-target placing/IsolationPolicy.cpp \
    'figures.eligibleTargets > figures.isolatedTargets + 1' 'true'
guard isolation-without-end jobs/ShardDispatcher.cpp 'm_runner.endPreferredIsolations();' ''
guard isolation-dropped targets/PlacementPass.cpp 'if (choice || task.isolation == Isolation::Required)' 'if (choice)'
guard isolation-starved jobs/TaskRunner.cpp 'pass.keepForIsolation(request);' ';'
guard isolation-closes-shard targets/ShardTargets.cpp \
    ' || (opened && opened->isolation() == Isolation::Required);' ';'
guard earlier-process entrance/RequestNumber.cpp 'XXH64(&value, sizeof value, 0) >> unusedBits' 'value * 0 * unusedBits'
guard store-lost-for-ever store/RecordWriter.cpp 'if (m_pendingKeys.empty() && m_inFlight == 0)' 'if (false)'
guard end-shown-unstored jobs/ShardJob.h 'return hasEnded(state) && !isEndShown() ? JobState::Running : state;' 'return state;'
guard end-not-handed-over jobs/JobCodec.cpp 'if (job.isEndUnstored())' 'if (false)'
guard end-kept-from-successor node/ShardNode.cpp 'handOverEnds(shard, generation, load.address());' ''
guard waiting-unanswered entrance/JobEntrance.cpp 'if (found->second.unresolvedAttempts > 0) {' 'if (false) {'
guard question-unanswered entrance/JobEntrance.cpp 'm_queries.answerWaiting();' ''
guard fixed-retention node/ShardNode.cpp 'settings.jobs.retention = limits.jobRetention();' ''
guard malformed-record jobs/ShardDispatcher.cpp ' || !isServable(record)' ''
guard late-poll targets/TargetSession.cpp 'isLeaseLongEnough && !m_guard.isBlocked()' 'isLeaseLongEnough'
guard token-unraised targets/IncarnationGuard.cpp 'm_exposedUntil = std::max(m_exposedUntil, latest + m_lateWindow);' \
    'm_exposedUntil = std::min(m_exposedUntil, latest + m_lateWindow);'
guard token-unchecked targets/TargetSession.cpp 'const bool isRefused = reply.result == TargetCallResult::Fenced;' \
    'const bool isRefused = true;'
guard own-raise holding/ShardElection.cpp 'return m_tokenRaise.mayHaveRaised() &&' 'return false &&'
guard raise-limit holding/TokenRaise.cpp 'std::max<Duration>(m_settings.coalescingTime, untilNext)' \
    'std::min<Duration>(m_settings.coalescingTime, untilNext * 0)'
guard outdated-entry targets/TargetSession.cpp 'm_report.bornMs == 0 || m_report.bornMs == m_incarnationMs;' 'true;'

http=modules/rattanroad_network/http
# limit <name> <file> <old text> <new text>: removes a limit of the HTTP servers that tests/network must notice.
limit() { mutate "http-$1" "$2" "$3" "$4" test_network build/tests/test_network; }
limit account-unbounded $http/ConnectionAccount.cpp \
    'm_heldBytes - std::min<std::size_t>(m_heldBytes, m_limits.maximumHeldBytes.value());' '0;'
limit connections-unbounded $http/ConnectionAccount.cpp \
    'm_connections.size() - std::min(m_connections.size(), m_limits.maximumConnections);' '0;'
limit served-request-closed $http/ConnectionAccount.cpp 'if (connection.stage == ConnectionStage::Serving)' 'if (false)'
limit slow-body $http/ConnectionAccount.cpp 'if (inStage > m_limits.bodyTimeout)' 'if (false)'
limit progress-ignored $http/ConnectionAccount.cpp 'cost * (idleMs + 1)' 'cost'
limit read-unseen $http/HttpConnections.cpp 'socket->_cb.read = &Impl::read;' ';'
limit long-head $http/HttpConnections.cpp 'if (!connection.isHeadComplete && inputBytes >= limit)' 'if (false)'
limit full-account-served $http/HttpServer.cpp 'if (m_connections->account().isFull())' 'if (false)'
limit json-elements modules/rattanroad_core/json/BoundedJson.cpp 'if (elements > maximumElements)' 'if (false)'
limit json-depth modules/rattanroad_core/json/BoundedJson.cpp 'if (++depth > maximumJsonDepth)' 'if (++depth < 0)'
exit "$failed"
