#pragma once

#include "rattanroad_shards/entrance/JobHomes.h"
#include "rattanroad_shards/entrance/ShardLoads.h"
#include "rattanroad_shards/jobs/ShardDispatcher.h"

#include <map>

namespace rattanroad::shards {

/** Answers the requests of entrances, on this host and others, for the shards that this host holds, and passes
    submissions on that came here as the home of their job.
*/
class HolderRequests {
public:
    struct Settings {
        /** This process. */
        Incarnation incarnation;
        /** Address of this host. */
        std::string address;
        JobHomes::Settings homes;
        /** Time after an unanswered attempt at which its origin makes the next one, possibly through another home. */
        std::chrono::milliseconds repetition { 300 };
    };
    struct Hooks {
        /** Sends a message to this or another host; returns false when it was not sent. */
        std::function<bool(const std::string& address, const protocol::Envelope&)> send;
        /** Returns the dispatcher of a shard that this host holds, or null. */
        std::function<ShardDispatcher*(const ShardId&)> localDispatcher;
        /** Returns an envelope from this host without a body. */
        std::function<protocol::Envelope()> envelope;
        std::function<void(const char* event, const JobId&, const std::string& detail)> log;
    };

    HolderRequests(Settings settings, const ShardLoads& loads, Timers timers, const Clock& clock, Hooks hooks);
    HolderRequests(const HolderRequests&) = delete;
    HolderRequests& operator=(const HolderRequests&) = delete;

    JobHomes& homes() { return m_homes; }
    const JobHomes& homes() const { return m_homes; }
    /** Handles a submission. */
    void submit(const protocol::Envelope& message);
    /** Handles a query or a cancellation. */
    void query(const protocol::Envelope& message);
    /** Handles the reply to a question that this host has asked as the home of a job. Returns false for other replies.
     */
    bool replyReceived(const protocol::ShardJobReply& reply);

private:
    /** Finds the shard of a job whose home this host holds, and passes the submission on to its holder. */
    void locate(const protocol::ShardSubmit& submission);
    void passOn(protocol::ShardSubmit submission);
    /** Hands a submission to the holder of its shard on this host, unless it is outdated and would start the job. */
    void submitHere(ShardDispatcher& dispatcher, const protocol::ShardSubmit& submission);
    /** Returns the time since a submission was sent to this host. It is too long by the time that the fastest message
        takes. A submission without the clock of its receiver counts from its arrival. */
    std::chrono::milliseconds ageOf(const protocol::ShardSubmit& submission) const;
    /** Returns the time from which the origin of a submission may have repeated it through another home, which may have
        chosen another shard. A job whose origin knows its shard stays there, so its submissions are always valid. */
    TimePoint validUntil(const protocol::ShardSubmit& submission) const;
    void replyToSubmission(
        const protocol::ShardSubmit& submission, SubmitVerdict verdict, std::chrono::milliseconds retryAfter);
    /** Passes the cancellation of a job on to the holder of the shard that its home has found for it. */
    void passOnCancel(const protocol::ShardCancel& cancel);
    void ask(const ShardId& shard, const JobId& job, const std::function<void(JobHomes::Presence)>& answered);
    JobHomes::Hooks homeHooks();

    struct Question {
        TimePoint askedAt;
        std::function<void(JobHomes::Presence)> answered;
    };

    Settings m_settings;
    const ShardLoads& m_loads;
    const Clock& m_clock;
    Hooks m_hooks;
    JobHomes m_homes;
    /** Questions to the holders of other shards, by number. */
    std::map<std::uint64_t, Question> m_questions;
    std::uint64_t m_lastQuestion;
};

}
