#include "rattanroad_configuration/distribution/StoreFollower.h"

#include "rattanroad_configuration/change/ConfigurationKeys.h"

#include <cassert>

namespace rattanroad {

StoreFollower::StoreFollower(
    ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
    : m_holder(holder)
    , m_settings(settings)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_backoff(settings.firstBackoff, settings.longestBackoff, random)
{
    assert(m_hooks.get && m_hooks.startWatch && m_hooks.stopWatch);
}

void StoreFollower::setFollowing(bool isFollowing)
{
    if (isFollowing == this->isFollowing())
        return;
    if (isFollowing)
        return read();
    closeWatch();
    m_state = State::Idle;
    m_wakeup = TimePoint::max();
}

void StoreFollower::closeWatch()
{
    if (isWatching())
        m_hooks.stopWatch(StoreWatchId(m_watch));
    m_isRechecking = false;
}

void StoreFollower::read()
{
    m_isRechecking = m_state == State::Watching;
    m_state = State::Reading;
    m_wakeup = m_clock.now() + m_settings.answerTimeout;
    m_hooks.get({ StoreRequestId(++m_request), ConfigurationKeys::current() });
}

void StoreFollower::handleGetAnswer(const StoreGetAnswer& answer)
{
    if (m_state != State::Reading || answer.requestId != StoreRequestId(m_request))
        return;
    if (answer.outcome != StoreOutcome::Succeeded)
        return retryLater();
    m_backoff.reset();
    const auto before = m_holder.revision();
    if (answer.value)
        offer(*answer.value);
    // The read found what the watch should have reported, so the watch is dead.
    const bool isWatchDead = m_isRechecking && m_holder.revision() != before;
    if (m_isRechecking && !isWatchDead) {
        m_isRechecking = false;
        m_state = State::Watching;
        m_wakeup = m_clock.now() + m_settings.recheckInterval;
        return;
    }
    closeWatch();
    watch(StoreRevision(answer.storeRevision.value() + 1));
}

void StoreFollower::watch(StoreRevision from)
{
    m_state = State::Watching;
    m_wakeup = m_clock.now() + m_settings.recheckInterval;
    m_hooks.startWatch({ StoreWatchId(++m_watch), ConfigurationKeys::current(), from });
}

void StoreFollower::handleWatchEvent(const StoreWatchEvent& event)
{
    if (!isWatching() || event.watchId != StoreWatchId(m_watch))
        return;
    if (event.kind == StoreWatchEvent::Kind::Put)
        return offer(event.value);
    // A deletion changes nothing here: an accepted configuration stays in force.
    if (event.kind == StoreWatchEvent::Kind::Closed) {
        m_isRechecking = false;
        m_state = State::BackingOff;
        m_wakeup = m_clock.now() + m_backoff.next();
    }
}

void StoreFollower::offer(const StoreValue& value)
{
    auto parsed = ConfigurationValue::parse(value.value);
    if (parsed)
        m_holder.offer(std::move(*parsed));
    else
        ++m_malformedValues;
}

void StoreFollower::retryLater()
{
    // An open watch may outlive a slow read, so it stays.
    m_state = m_isRechecking ? State::Watching : State::BackingOff;
    m_isRechecking = false;
    m_wakeup = m_clock.now() + m_backoff.next();
}

void StoreFollower::tick()
{
    if (m_clock.now() < m_wakeup)
        return;
    if (m_state == State::Reading)
        retryLater();
    else if (m_state != State::Idle)
        read();
}

}
