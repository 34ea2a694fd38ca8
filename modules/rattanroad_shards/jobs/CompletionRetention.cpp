#include "rattanroad_shards/jobs/CompletionRetention.h"

#include "rattanroad_shards/holding/StoreKeys.h"

namespace rattanroad::shards {

CompletionRetention::CompletionRetention(
    Settings settings, JobTable& jobs, ShardTargets& targets, RecordWriter& writer, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_jobs(jobs)
    , m_targets(targets)
    , m_writer(writer)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

void CompletionRetention::retain(ShardJob& job, const TargetSession& session, std::uint64_t number)
{
    job.retainedCompletions.push_back(
        { session.report().id, session.incarnationMs(), number, m_clock.now(), ++m_lastSequence });
    // A new holder does not recover best-effort jobs from completions.
    if (job.isEndShown() || job.description.best_effort())
        acknowledge(job, m_lastSequence);
}

void CompletionRetention::storeEnd(ShardJob& job)
{
    if (job.description.best_effort())
        showEnd(job);
    else
        m_writer.update(storekeys::job(job.id), m_hooks.encode(job), [this, id = job.id] { endStored(id); });
}

void CompletionRetention::endStored(const JobId& id)
{
    // Not found when the shard was handed over meanwhile.
    if (ShardJob* const job = m_jobs.find(id))
        showEnd(*job);
}

void CompletionRetention::showEnd(ShardJob& job)
{
    job.endShownAt = m_clock.now();
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(*job.endShownAt - *job.endedAt);
    if (elapsed >= m_settings.lateStoring)
        m_hooks.log("job_end_stored_late", job.id, "after " + std::to_string(elapsed.count()) + " ms");
    acknowledge(job, m_lastSequence);
    // Nobody waits for a best-effort job that was cancelled.
    if (!job.description.best_effort() || job.state != JobState::Cancelled)
        m_hooks.endShown(job);
    std::vector<std::function<void()>> replies;
    replies.swap(job.onEndShown);
    for (const auto& reply : replies)
        reply();
}

void CompletionRetention::acknowledge(ShardJob& job, std::uint64_t lastSequence)
{
    std::vector<RetainedCompletion> later;
    for (const RetainedCompletion& completion : job.retainedCompletions) {
        if (completion.sequence > lastSequence) {
            later.push_back(completion);
            continue;
        }
        if (TargetSession* const session = m_targets.session(completion.target))
            session->acknowledgeCompletion(completion.incarnationMs, completion.number);
    }
    job.retainedCompletions.swap(later);
}

void CompletionRetention::storeOverdueProgress()
{
    const TimePoint now = m_clock.now();
    for (const auto& entry : m_jobs.openJobs()) {
        ShardJob& job = *entry.second;
        if (job.isBeingTransferred || job.retainedCompletions.empty()
            || now - job.retainedCompletions.front().seenAt < m_settings.progressDelay)
            continue;
        m_writer.update(
            storekeys::job(job.id), m_hooks.encode(job), [this, id = job.id, lastSequence = m_lastSequence] {
                ShardJob* const found = m_jobs.find(id);
                if (found && !hasEnded(found->state))
                    acknowledge(*found, lastSequence);
            });
        // Avoids another write before this one has had time to complete.
        for (RetainedCompletion& completion : job.retainedCompletions)
            completion.seenAt = now;
    }
}

void CompletionRetention::removeExpiredJobs()
{
    for (const JobId& id : m_jobs.expired()) {
        if (!m_jobs.find(id)->description.best_effort())
            m_writer.remove(storekeys::job(id));
        m_jobs.remove(id);
    }
}

}
