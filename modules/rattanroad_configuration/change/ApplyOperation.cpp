#include "rattanroad_configuration/change/ApplyOperation.h"

#include "rattanroad_configuration/change/ConfigurationKeys.h"
#include "rattanroad_configuration/store/Backoff.h"

#include <algorithm>
#include <cassert>

namespace rattanroad {

namespace {

    // Values of the store are limited to 1 MB.
    constexpr size_t maximumValueBytes = 1'000'000;
    // The id becomes part of a key.
    constexpr size_t maximumChangeIdBytes = 128;
    constexpr size_t maximumAuthorBytes = 256;

    Failure invalid(const std::string& detail)
    {
        return { FailureCode::ConfigurationInvalid, RunState::NotRun, detail };
    }

    std::optional<Failure> faultOf(const ConfigurationChange& change)
    {
        const auto& id = change.changeId.value();
        const bool isPrintable
            = std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 0x7f && c != '/'; });
        if (id.empty() || id.size() > maximumChangeIdBytes || !isPrintable)
            return invalid("the change id must have 1 to 128 printable characters without spaces and '/'");
        if (change.author.empty() || change.author.size() > maximumAuthorBytes)
            return invalid("the author must have 1 to 256 bytes");
        if (!change.inventory)
            return invalid("there is no document");
        return std::nullopt;
    }

}

class ApplyOperation::Impl {
public:
    Impl(ConfigurationChange change, Settings settings, Clock& clock, RandomSource& random, Hooks hooks);

    void start();
    void handleGetAnswer(const StoreGetAnswer& answer);
    void handlePutIfAnswer(const StorePutIfAnswer& answer);
    void tick();
    TimePoint nextWakeup() const;

    enum class State {
        Waiting,
        ReadingCurrent,
        ReadingChange,
        Writing,
        Finished,
    };
    State state { State::Waiting };

private:
    void readCurrent();
    void readChange();
    void currentRead(const StoreGetAnswer& answer);
    void changeRead(const StoreGetAnswer& answer);
    void write();
    void retryLater();
    void finishKnown(const HistoryEntry& entry);
    void finishConflict();
    void finish(const Outcome& outcome);
    StoreRequestId enter(State next);
    bool isStale(const StoreGetAnswer& answer);

    ConfigurationValue m_value;
    Revision m_base;
    Settings m_settings;
    Clock& m_clock;
    Hooks m_hooks;
    Backoff m_backoff;
    HistoryEntry m_entry;
    std::optional<ConfigurationValue> m_current;
    StoreRevision m_currentModRevision;
    StoreRevision m_newestSeen;
    std::uint64_t m_request { 0 };
    TimePoint m_deadline;
    TimePoint m_wakeup;
    /** A write was sent whose effect is not known. */
    bool m_mayBeWritten { false };
    /** The answer to an earlier write was lost. */
    bool m_hasLostWrite { false };
};

ApplyOperation::Impl::Impl(
    ConfigurationChange change, Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
    : m_value { Revision(change.base.value() + 1), std::move(change.changeId), std::move(change.author),
        std::move(change.time), std::move(change.inventory) }
    , m_base(change.base)
    , m_settings(settings)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_backoff(settings.firstBackoff, settings.longestBackoff, random)
    , m_deadline(clock.now() + settings.deadline)
    , m_wakeup(TimePoint::max())
{
    assert(m_hooks.get && m_hooks.putIf && m_hooks.finished);
}

void ApplyOperation::Impl::start()
{
    const ConfigurationChange change { m_base, m_value.changeId, m_value.author, m_value.time, m_value.inventory };
    if (const auto fault = faultOf(change))
        return finish(*fault);
    if (m_value.json().size() > maximumValueBytes)
        return finish(invalid("the configuration has more than 1000000 bytes, the largest value of the store"));
    m_entry = HistoryEntry::of(m_value);
    readCurrent();
}

StoreRequestId ApplyOperation::Impl::enter(State next)
{
    state = next;
    m_wakeup = std::min(m_deadline, m_clock.now() + m_settings.answerTimeout);
    return StoreRequestId(++m_request);
}

void ApplyOperation::Impl::readCurrent()
{
    m_hooks.get({ enter(State::ReadingCurrent), ConfigurationKeys::current() });
}

void ApplyOperation::Impl::readChange()
{
    m_hooks.get({ enter(State::ReadingChange), ConfigurationKeys::change(m_value.changeId) });
}

bool ApplyOperation::Impl::isStale(const StoreGetAnswer& answer)
{
    if (answer.storeRevision < m_newestSeen)
        return true;
    m_newestSeen = answer.storeRevision;
    return false;
}

void ApplyOperation::Impl::handleGetAnswer(const StoreGetAnswer& answer)
{
    if (answer.requestId != StoreRequestId(m_request)
        || (state != State::ReadingCurrent && state != State::ReadingChange))
        return;
    // An answer from before an earlier one would hide the own change or the winner of a race.
    if (answer.outcome != StoreOutcome::Succeeded || isStale(answer))
        return retryLater();
    if (state == State::ReadingCurrent)
        currentRead(answer);
    else
        changeRead(answer);
}

void ApplyOperation::Impl::currentRead(const StoreGetAnswer& answer)
{
    m_current.reset();
    m_currentModRevision = StoreRevision(0);
    if (answer.value) {
        auto current = ConfigurationValue::parse(answer.value->value);
        if (!current)
            return finish(invalid("the stored configuration is malformed: " + current.lastReason().detail));
        m_current = std::move(*current);
        m_currentModRevision = answer.value->modRevision;
    }
    readChange();
}

void ApplyOperation::Impl::changeRead(const StoreGetAnswer& answer)
{
    if (answer.value) {
        const auto entry = HistoryEntry::parse(answer.value->value);
        return entry ? finishKnown(*entry) : finish(entry.lastReason());
    }
    const auto revision = m_current ? m_current->revision : Revision(0);
    if (revision != m_base)
        return finishConflict();
    write();
}

void ApplyOperation::Impl::write()
{
    StorePutIf put;
    put.key = ConfigurationKeys::current();
    put.expectedModRevision = m_currentModRevision;
    put.puts = { { ConfigurationKeys::current(), m_value.json(), std::nullopt },
        { ConfigurationKeys::history(m_value.revision), m_entry.json(), std::nullopt },
        { ConfigurationKeys::change(m_value.changeId), m_entry.json(), std::nullopt } };
    put.requestId = enter(State::Writing);
    m_mayBeWritten = true;
    m_hooks.putIf(put);
}

void ApplyOperation::Impl::handlePutIfAnswer(const StorePutIfAnswer& answer)
{
    if (answer.requestId != StoreRequestId(m_request) || state != State::Writing)
        return;
    if (answer.outcome == StoreOutcome::UnavailableMaybeApplied)
        return retryLater();
    m_newestSeen = std::max(m_newestSeen, answer.storeRevision);
    // Someone else wrote in between, or an earlier write of this operation took effect: reading again tells which.
    if (answer.outcome == StoreOutcome::ComparisonFailed) {
        m_mayBeWritten = m_hasLostWrite;
        return readCurrent();
    }
    finish(AppliedChange { m_value.revision, false, std::make_shared<const ConfigurationValue>(m_value) });
}

void ApplyOperation::Impl::retryLater()
{
    m_hasLostWrite = m_hasLostWrite || state == State::Writing;
    state = State::Waiting;
    // Answers to requests sent before the wait are ignored from here on.
    ++m_request;
    m_wakeup = std::min(m_deadline, m_clock.now() + m_backoff.next());
}

void ApplyOperation::Impl::tick()
{
    const auto now = m_clock.now();
    if (state == State::Finished || now < m_wakeup)
        return;
    if (now >= m_deadline) {
        if (m_mayBeWritten)
            return finish(Failure { FailureCode::OutcomeUnknown, RunState::OutcomeUnknown,
                "the store did not confirm the change in time; repeat it with the same change id" });
        return finish(Failure { FailureCode::StoreUnavailable, RunState::NotRun, "the store did not answer in time" });
    }
    if (state == State::Waiting)
        readCurrent();
    else
        retryLater();
}

TimePoint ApplyOperation::Impl::nextWakeup() const { return state == State::Finished ? TimePoint::max() : m_wakeup; }

void ApplyOperation::Impl::finishKnown(const HistoryEntry& entry)
{
    if (entry.documentHash != m_entry.documentHash) {
        return finish(Failure { FailureCode::ConfigurationConflict, RunState::NotRun,
            "change id " + entry.changeId.value() + " was used for another document, revision "
                + std::to_string(entry.revision.value()) + " by " + entry.author });
    }
    const bool isInForce = m_current && m_current->revision == entry.revision;
    auto value = isInForce ? std::make_shared<const ConfigurationValue>(*m_current) : nullptr;
    finish(AppliedChange { entry.revision, !m_mayBeWritten, std::move(value) });
}

void ApplyOperation::Impl::finishConflict()
{
    const auto base = "; the change was based on revision " + std::to_string(m_base.value());
    const auto winner = m_current ? "revision " + std::to_string(m_current->revision.value()) + " by "
            + m_current->author + " (change " + m_current->changeId.value() + ") is in force"
                                  : std::string("no configuration is in force");
    finish(Failure { FailureCode::ConfigurationConflict, RunState::NotRun, winner + base });
}

void ApplyOperation::Impl::finish(const Outcome& outcome)
{
    state = State::Finished;
    m_hooks.finished(outcome);
}

ApplyOperation::ApplyOperation(
    ConfigurationChange change, Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(change), settings, clock, random, std::move(hooks)))
{
}

ApplyOperation::~ApplyOperation() = default;

void ApplyOperation::start() { m_impl->start(); }

void ApplyOperation::handleGetAnswer(const StoreGetAnswer& answer) { m_impl->handleGetAnswer(answer); }

void ApplyOperation::handlePutIfAnswer(const StorePutIfAnswer& answer) { m_impl->handlePutIfAnswer(answer); }

void ApplyOperation::tick() { m_impl->tick(); }

TimePoint ApplyOperation::nextWakeup() const { return m_impl->nextWakeup(); }

bool ApplyOperation::isFinished() const { return m_impl->state == Impl::State::Finished; }

}
