#include "rattanroad_configuration/distribution/StoreWatcher.h"

#include "rattanroad_configuration/change/ConfigurationKeys.h"

#include <cassert>

namespace rattanroad {

StoreWatcher::StoreWatcher(
    ConfigurationHolder& holder, Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
    : m_holder(holder)
    , m_settings(settings)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_backoff(settings.firstBackoff, settings.maximumBackoff, random)
{
    assert(m_hooks.get && m_hooks.startWatch && m_hooks.stopWatch);
}

void StoreWatcher::setEnabled(bool isEnabled)
{
    if (isEnabled == this->isEnabled())
        return;
    if (isEnabled)
        return read();
    closeWatch();
    m_state = State::Idle;
    m_wakeup = TimePoint::max();
}

void StoreWatcher::closeWatch()
{
    if (hasOpenWatch())
        m_hooks.stopWatch(StoreWatchId(m_lastWatchId));
    m_isRechecking = false;
}

void StoreWatcher::read()
{
    m_isRechecking = m_state == State::Watching;
    m_state = State::Reading;
    m_wakeup = m_clock.now() + m_settings.answerTimeout;
    m_hooks.get({ StoreRequestId(++m_lastRequestId), ConfigurationKeys::current() });
}

void StoreWatcher::handleGetAnswer(const StoreGetAnswer& answer)
{
    if (m_state != State::Reading || answer.requestId != StoreRequestId(m_lastRequestId))
        return;
    if (answer.outcome != StoreOutcome::Succeeded)
        return retryLater();
    m_backoff.reset();
    const auto previousRevision = m_holder.revision();
    if (answer.value)
        offer(*answer.value);
    // The read found a change that the watch should have reported, so the watch no longer works.
    const bool isWatchDead = m_isRechecking && m_holder.revision() != previousRevision;
    if (m_isRechecking && !isWatchDead) {
        m_isRechecking = false;
        m_state = State::Watching;
        m_wakeup = m_clock.now() + m_settings.recheckInterval;
        return;
    }
    closeWatch();
    openWatch(StoreRevision(answer.storeRevision.value() + 1));
}

void StoreWatcher::openWatch(StoreRevision from)
{
    m_state = State::Watching;
    m_wakeup = m_clock.now() + m_settings.recheckInterval;
    m_hooks.startWatch({ StoreWatchId(++m_lastWatchId), ConfigurationKeys::current(), from });
}

void StoreWatcher::handleWatchEvent(const StoreWatchEvent& event)
{
    if (!hasOpenWatch() || event.watchId != StoreWatchId(m_lastWatchId))
        return;
    if (event.kind == StoreWatchEvent::Kind::Put)
        return offer(event.value);
    // Deletions are ignored: an accepted configuration stays in force.
    if (event.kind == StoreWatchEvent::Kind::Closed) {
        m_isRechecking = false;
        m_state = State::BackingOff;
        m_wakeup = m_clock.now() + m_backoff.next();
    }
}

void StoreWatcher::offer(const StoreValue& value)
{
    auto parsed = ConfigurationValue::parse(value.value);
    if (parsed)
        m_holder.offer(std::move(*parsed));
    else
        ++m_malformedValues;
}

void StoreWatcher::retryLater()
{
    // A failed read does not mean that the watch is broken, so an open watch is kept.
    m_state = m_isRechecking ? State::Watching : State::BackingOff;
    m_isRechecking = false;
    m_wakeup = m_clock.now() + m_backoff.next();
}

void StoreWatcher::tick()
{
    if (m_clock.now() < m_wakeup)
        return;
    if (m_state == State::Reading)
        retryLater();
    else if (m_state != State::Idle)
        read();
}

}
