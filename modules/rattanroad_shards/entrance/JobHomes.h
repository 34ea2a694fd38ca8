#pragma once

#include "rattanroad_shards/types/ShardTypes.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace rattanroad::shards {

/** Tells in which shard a best-effort job is. Runs of one job in two shards could overlap, so a job that is submitted
    again, to whichever host, has to go to the shard that it is in.

    Each job id has a home among the shards, which follows from the id alone. The holder of the home remembers the shard
    of the job; no other host has to. A holder that may not know all jobs of its home, because it has acquired it
    recently or stands in for a home whose holder is silent, asks the holders of all shards first. When one of them does
    not answer, the shard of the job stays unknown: the job goes to the shard that its origin prefers and keeps it.
    TaskRunner::Settings::maximumLeaseAfterSubmission then ensures that a run of which nobody can tell has ended. An
    attempt that follows an unanswered one of the same submission waits for this, as that one may just have started.

    The origin repeats an attempt that is not answered, possibly through another home. A home therefore places no job
    on an attempt after Submission::validUntil, as it otherwise would after a pause of its process: the job may have
    been placed by the other home.
*/
class JobHomes {
public:
    struct Settings {
        /** All shards, in the same order on all hosts. */
        std::vector<ShardId> shards;
        /** How long the shard of a job is remembered: several times the longest wait of a caller. */
        std::chrono::seconds retention { 30 };
        /** Time for the holders of the other shards to answer: tens of round trips between failure domains. */
        std::chrono::milliseconds askTimeout { 30 };
        /** Time after an attempt within which a shard that accepted it may run the job without a further attempt; see
            TaskRunner::Settings::maximumLeaseAfterSubmission. */
        std::chrono::milliseconds maximumRunAfterAttempt { 1250 };
    };
    /** One submission of a job: all attempts of one origin host to hand over the request of one caller. */
    struct Submission {
        std::string origin;
        Incarnation incarnation;
        std::uint64_t number { 0 };
        /** Each attempt so far was answered, and none was accepted. */
        bool wasDeclined { false };
        /** The preferred shard has accepted the job, which its home may not know. */
        bool isLocated { false };
        /** An earlier attempt was not answered: it may have reached another home, and a shard of that one's choice. */
        bool isResent { false };
        /** From this time on the origin may have made a further attempt through another home. */
        TimePoint validUntil { TimePoint::max() };

        bool isSame(const Submission& other) const
        {
            return origin == other.origin && incarnation == other.incarnation && number == other.number;
        }
    };
    /** What the holder of a shard knows of a job. */
    enum class Presence {
        None, ///< The shard has nothing of the job.
        Stopping, ///< The job was cancelled there, and runs of it may be left.
        Present, ///< The job is open there, or has ended with a result.
    };
    /** Receives the shard of a job, and whether another submission may have brought it there. */
    using Located = std::function<void(const ShardId&, bool mayBeSubmittedBefore)>;
    struct Hooks {
        /** Asks the holder of a shard for a job. Calls back at most once, and never when it does not answer. */
        std::function<void(const ShardId&, const JobId&, std::function<void(Presence)>)> ask;
        std::function<void(const char* event, const JobId&, const std::string& detail)> log;
    };

    JobHomes(Settings settings, Timers timers, const Clock& clock, Hooks hooks);
    JobHomes(const JobHomes&) = delete;
    JobHomes& operator=(const JobHomes&) = delete;

    /** Returns the shards in the order in which they serve as home of the job: the first whose holder is known to live.
     */
    std::vector<ShardId> homesOf(const JobId& job) const;
    /** This host has begun to hold a shard. @p isFirstHolder tells that no other process has ever held it. */
    void begin(const ShardId& home, bool isFirstHolder);
    /** This host no longer holds the shard. */
    void end(const ShardId& home) { m_homes.erase(home); }

    /** Finds the shard of a job, which is @p preferred unless the job is in another one. Calls @p located once, or not
       at all if this host stops to hold the home.
        @pre this host holds @p home */
    void locate(
        const ShardId& home, const JobId& job, const ShardId& preferred, const Submission& submission, Located located);
    /** Returns the shard of a job if this host remembers it. */
    std::optional<ShardId> find(const ShardId& home, const JobId& job) const;

private:
    struct Entry {
        ShardId shard;
        Submission submission;
        /** Another submission was sent to the shard too. */
        bool isShared { false };
        TimePoint insertedAt {};
    };
    struct Waiting {
        ShardId preferred;
        Submission submission;
        Located located;
    };
    struct Search {
        /** Tells the answers to this search from those to earlier ones for the same job. */
        std::uint64_t number { 0 };
        TimePoint startedAt {};
        std::vector<Waiting> waiting;
        std::size_t unanswered { 0 };
        /** Shard in which the job is being stopped. It may have been sent elsewhere since. */
        std::optional<ShardId> stoppingIn;
    };
    /** A submission whose job may be in a shard that does not answer. */
    struct Unlocated {
        Submission submission;
        /** When its first search had no result. */
        TimePoint since;
    };
    struct Home {
        /** From this time on the home knows all jobs that it needs to know. */
        TimePoint completeFrom;
        std::map<JobId, Entry> entries;
        std::deque<std::pair<TimePoint, JobId>> insertionOrder;
        std::map<JobId, Search> searches;
        /** Submissions of which another home may have located the job, and whose searches had no result. */
        std::map<JobId, std::vector<Unlocated>> unlocated;
    };

    Home* homeOf(const ShardId& home);
    bool knowsAll(const ShardId& home, const JobId& job) const;
    /** Returns whether an entry holds for a submission, whatever other homes may have located meanwhile. */
    bool isCurrent(const Entry& entry, const ShardId& home, const JobId& job, const ShardId& preferred,
        const Submission& submission) const;
    /** Starts a search, or starts it again. */
    void search(const ShardId& home, const JobId& job);
    /** Returns the search with this number unless it has ended, or null. */
    Search* findSearch(const ShardId& home, const JobId& job, std::uint64_t number);
    void handleAnswer(
        const ShardId& home, const JobId& job, std::uint64_t number, const ShardId& asked, Presence presence);
    /** Removes the attempts that are no longer valid. */
    void removeOutdated(const JobId& job, std::vector<Waiting>& waiting);
    void logOutdated(const JobId& job, const Submission& submission);
    enum class Answer {
        Found,
        InNoShard,
        Unknown,
    };
    /** Ends a search. @p shard is that in which the job is present. */
    void finishSearch(const ShardId& home, const JobId& job, Answer answer, const ShardId& shard);
    /** Returns whether an earlier attempt of a waiting submission may have brought the job to a shard that has not
        answered, and may run there still. */
    bool mayRunElsewhere(Home& home, const JobId& job, const std::vector<Waiting>& waiting);
    /** Returns when the first search for a submission had no result, which is now if it had none before. */
    TimePoint unlocatedSince(Home& home, const JobId& job, const Submission& submission);
    void insert(Home& home, const JobId& job, Entry entry);

    Settings m_settings;
    Timers m_timers;
    const Clock& m_clock;
    Hooks m_hooks;
    std::map<ShardId, Home> m_homes;
    std::uint64_t m_lastSearch { 0 };
};

}
