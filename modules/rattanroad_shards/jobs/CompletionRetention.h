#pragma once

#include "rattanroad_shards/jobs/JobTable.h"
#include "rattanroad_shards/store/RecordWriter.h"
#include "rattanroad_shards/targets/ShardTargets.h"

namespace rattanroad::shards {

/** Stores the progress and the ends of jobs, and keeps what they follow from until then: targets retain the completions
    of a stored job until its record covers them, and its end is shown once its record holds it. A later holder
    therefore arrives at the end that callers were shown, even if the targets that ran the job are gone.
*/
class CompletionRetention {
public:
    struct Settings {
        /** A job's progress is stored when a target has retained one of its completions for this long. */
        std::chrono::milliseconds progressDelay { 700 };
        /** The storing of an end that takes longer than this is logged. */
        std::chrono::milliseconds lateStoring { 1000 };
    };
    struct Hooks {
        /** Returns the record of a job. */
        std::function<std::string(const ShardJob&)> encode;
        /** The end of a job may be shown. */
        std::function<void(const ShardJob&)> endShown;
        std::function<void(const char* event, const JobId&, const std::string& detail)> log;
    };

    CompletionRetention(Settings settings, JobTable& jobs, ShardTargets& targets, RecordWriter& writer,
        const Clock& clock, Hooks hooks);
    CompletionRetention(const CompletionRetention&) = delete;
    CompletionRetention& operator=(const CompletionRetention&) = delete;

    /** Adds a completion that a target reported for a job. It is acknowledged once the record of the job covers it. */
    void retain(ShardJob& job, const TargetSession& session, std::uint64_t number);
    /** Stores the state of a job that has ended, and then shows it. The end of a best-effort job is shown at once. */
    void storeEnd(ShardJob& job);
    /** Writes the records of jobs whose completions have been retained for long. */
    void storeOverdueProgress();
    /** Acknowledges all completions of a job whose record covers them. */
    void acknowledgeAll(ShardJob& job) { acknowledge(job, m_lastSequence); }
    /** Removes the ended jobs whose retention is over, and their records. */
    void removeExpiredJobs();

private:
    void endStored(const JobId& id);
    void showEnd(ShardJob& job);
    void acknowledge(ShardJob& job, std::uint64_t lastSequence);

    Settings m_settings;
    JobTable& m_jobs;
    ShardTargets& m_targets;
    RecordWriter& m_writer;
    const Clock& m_clock;
    Hooks m_hooks;
    std::uint64_t m_lastSequence { 0 };
};

}
