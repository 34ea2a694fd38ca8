#include "rattanroad_shards/entrance/JobHomes.h"

#include "rattanroad_shards/types/RendezvousHash.h"

#include <algorithm>

namespace rattanroad::shards {

JobHomes::JobHomes(Settings settings, Timers timers, const Clock& clock, Hooks hooks)
    : m_settings(std::move(settings))
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

std::vector<ShardId> JobHomes::homesOf(const JobId& job) const
{
    std::vector<std::pair<std::uint64_t, ShardId>> weighted;
    weighted.reserve(m_settings.shards.size());
    for (const ShardId& shard : m_settings.shards)
        weighted.emplace_back(rendezvousWeight(job.value(), shard.value()), shard);
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<ShardId> homes;
    homes.reserve(weighted.size());
    for (auto& entry : weighted)
        homes.push_back(std::move(entry.second));
    return homes;
}

void JobHomes::begin(const ShardId& home, bool isFirstHolder)
{
    Home& begun = m_homes[home];
    begun = {};
    begun.completeFrom = isFirstHolder ? distantPast : m_clock.now() + m_settings.retention;
}

JobHomes::Home* JobHomes::homeOf(const ShardId& home)
{
    const auto found = m_homes.find(home);
    return found == m_homes.end() ? nullptr : &found->second;
}

bool JobHomes::knowsAll(const ShardId& home, const JobId& job) const
{
    return m_clock.now() >= m_homes.at(home).completeFrom && homesOf(job).front() == home;
}

void JobHomes::locate(
    const ShardId& home, const JobId& job, const ShardId& preferred, const Submission& submission, Located located)
{
    Home* const known = homeOf(home);
    if (!known)
        return;
    const auto found = known->entries.find(job);
    if (submission.isLocated) {
        if (found == known->entries.end())
            insert(*known, job, { preferred, submission, true, {} });
        else
            found->second.shard = preferred;
        located(preferred, true);
        return;
    }
    if (found != known->entries.end() && isCurrent(found->second, home, job, preferred, submission)) {
        Entry& entry = found->second;
        entry.isShared = entry.isShared || !entry.submission.isSame(submission);
        // No attempt of the only submission was accepted, so the job is in no shard.
        if (!entry.isShared && submission.wasDeclined)
            entry.shard = preferred;
        located(ShardId(entry.shard), entry.isShared);
        return;
    }
    if (m_clock.now() >= submission.validUntil) {
        logOutdated(job, submission);
        return;
    }
    if (knowsAll(home, job) && !submission.isResent) {
        insert(*known, job, { preferred, submission, false, {} });
        located(preferred, false);
        return;
    }
    const auto open = known->searches.find(job);
    // A search that is overdue was open during a pause of this process. Its answers may be older than this attempt.
    const bool isSearched
        = open != known->searches.end() && m_clock.now() - open->second.startedAt < m_settings.askTimeout;
    known->searches[job].waiting.push_back({ preferred, submission, std::move(located) });
    if (!isSearched)
        search(home, job);
}

bool JobHomes::isCurrent(const Entry& entry, const ShardId& home, const JobId& job, const ShardId& preferred,
    const Submission& submission) const
{
    const bool isOfSubmission = entry.submission.isSame(submission);
    // An earlier attempt may have gone through another home, which sends a job that it does not find to the preferred
    // shard.
    if (submission.isResent)
        return isOfSubmission && entry.shard == preferred;
    // The home that this one stands in for may have located the job for another submission since.
    return isOfSubmission || homesOf(job).front() == home;
}

std::optional<ShardId> JobHomes::find(const ShardId& home, const JobId& job) const
{
    const auto known = m_homes.find(home);
    if (known == m_homes.end())
        return std::nullopt;
    const auto entry = known->second.entries.find(job);
    return entry == known->second.entries.end() ? std::nullopt : std::optional<ShardId>(entry->second.shard);
}

void JobHomes::search(const ShardId& home, const JobId& job)
{
    const std::uint64_t number = ++m_lastSearch;
    Search& started = m_homes.at(home).searches.at(job);
    started.number = number;
    started.startedAt = m_clock.now();
    started.unanswered = m_settings.shards.size();
    started.stoppingIn.reset();
    m_timers.after(m_settings.askTimeout, [this, home, job, number] {
        if (!findSearch(home, job, number))
            return;
        m_hooks.log("job_location_unknown", job, "home " + home.value());
        finishSearch(home, job, Answer::Unknown, {});
    });
    for (const ShardId& shard : m_settings.shards) {
        m_hooks.ask(shard, job,
            [this, home, job, number, shard](Presence presence) { handleAnswer(home, job, number, shard, presence); });
    }
}

JobHomes::Search* JobHomes::findSearch(const ShardId& home, const JobId& job, std::uint64_t number)
{
    Home* const known = homeOf(home);
    if (!known)
        return nullptr;
    const auto found = known->searches.find(job);
    return found == known->searches.end() || found->second.number != number ? nullptr : &found->second;
}

void JobHomes::handleAnswer(
    const ShardId& home, const JobId& job, std::uint64_t number, const ShardId& asked, Presence presence)
{
    Search* const search = findSearch(home, job, number);
    if (!search)
        return;
    if (presence == Presence::Present) {
        finishSearch(home, job, Answer::Found, asked);
        return;
    }
    if (presence == Presence::Stopping)
        search->stoppingIn = asked;
    if (--search->unanswered == 0)
        finishSearch(home, job, Answer::InNoShard, {});
}

void JobHomes::finishSearch(const ShardId& home, const JobId& job, Answer answer, const ShardId& shard)
{
    Home& known = *homeOf(home);
    std::vector<Waiting> waiting = std::move(known.searches.at(job).waiting);
    const std::optional<ShardId> stoppingIn = known.searches.at(job).stoppingIn;
    known.searches.erase(job);
    removeOutdated(job, waiting);
    if (waiting.empty())
        return;
    if (answer == Answer::Unknown && mayRunElsewhere(known, job, waiting)) {
        // The origin submits the job again.
        m_hooks.log("job_not_placed", job, "an earlier attempt may have started it in a shard that does not answer");
        return;
    }
    known.unlocated.erase(job);
    // Where runs of the job are being stopped, its tasks start again only after these have ended.
    const std::optional<ShardId> foundIn = answer == Answer::Found ? std::optional<ShardId>(shard) : stoppingIn;
    const bool isFound = foundIn.has_value();
    const auto earlier = answer == Answer::Unknown ? known.entries.find(job) : known.entries.end();
    const ShardId location = isFound     ? *foundIn
        : earlier != known.entries.end() ? earlier->second.shard
                                         : waiting.front().preferred;
    insert(known, job,
        { location, waiting.front().submission, isFound || answer == Answer::Unknown || waiting.size() > 1, {} });
    for (std::size_t i = 0; i < waiting.size(); ++i)
        waiting[i].located(location, isFound || i > 0);
}

void JobHomes::removeOutdated(const JobId& job, std::vector<Waiting>& waiting)
{
    const auto isValid = [now = m_clock.now()](const Waiting& entry) { return now < entry.submission.validUntil; };
    const auto outdated = std::stable_partition(waiting.begin(), waiting.end(), isValid);
    std::for_each(outdated, waiting.end(), [&](const Waiting& entry) { logOutdated(job, entry.submission); });
    waiting.erase(outdated, waiting.end());
}

void JobHomes::logOutdated(const JobId& job, const Submission& submission)
{
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - submission.validUntil);
    m_hooks.log("submission_outdated", job,
        "from " + submission.origin + ", not located " + std::to_string(late.count())
            + " ms after the time of its repetition");
}

bool JobHomes::mayRunElsewhere(Home& home, const JobId& job, const std::vector<Waiting>& waiting)
{
    const TimePoint now = m_clock.now();
    for (auto entry = home.unlocated.begin(); entry != home.unlocated.end();)
        entry
            = now - entry->second.back().since >= m_settings.retention ? home.unlocated.erase(entry) : std::next(entry);
    // The attempts of a submission through other homes were sent before the first one that came here.
    return std::any_of(waiting.begin(), waiting.end(), [&](const Waiting& entry) {
        return entry.submission.isResent
            && now - unlocatedSince(home, job, entry.submission) < m_settings.maximumRunAfterAttempt;
    });
}

TimePoint JobHomes::unlocatedSince(Home& home, const JobId& job, const Submission& submission)
{
    std::vector<Unlocated>& unlocated = home.unlocated[job];
    const auto found = std::find_if(unlocated.begin(), unlocated.end(),
        [&submission](const Unlocated& entry) { return entry.submission.isSame(submission); });
    if (found != unlocated.end())
        return found->since;
    unlocated.push_back({ submission, m_clock.now() });
    return m_clock.now();
}

void JobHomes::insert(Home& home, const JobId& job, Entry entry)
{
    const TimePoint now = m_clock.now();
    entry.insertedAt = now;
    home.entries[job] = std::move(entry);
    home.insertionOrder.emplace_back(now, job);
    while (!home.insertionOrder.empty() && now - home.insertionOrder.front().first >= m_settings.retention) {
        const auto oldest = home.entries.find(home.insertionOrder.front().second);
        // The entry may have been replaced since.
        if (oldest != home.entries.end() && oldest->second.insertedAt == home.insertionOrder.front().first)
            home.entries.erase(oldest);
        home.insertionOrder.pop_front();
    }
}

}
