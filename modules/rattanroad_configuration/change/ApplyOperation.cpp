#include "rattanroad_configuration/change/ApplyOperation.h"

#include "rattanroad_configuration/change/ConfigurationKeys.h"
#include "rattanroad_configuration/store/Backoff.h"

#include <algorithm>
#include <cassert>

namespace rattanroad {

namespace {

    // The store limits a value to 1 MB.
    constexpr size_t maximumValueBytes = 1'000'000;
    // The change id becomes part of a store key.
    constexpr size_t maximumChangeIdBytes = 128;
    constexpr size_t maximumAuthorBytes = 256;

    Failure invalid(const std::string& detail)
    {
        return { FailureCode::ConfigurationInvalid, RunState::NotRun, detail };
    }

    std::optional<Failure> validate(const ConfigurationChange& change)
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
    void readChangeEntry();
    void handleCurrentValue(const StoreGetAnswer& answer);
    void handleChangeEntry(const StoreGetAnswer& answer);
    void write();
    void retryLater();
    void finishWithExistingEntry(const HistoryEntry& entry);
    void finishConflict();
    void finish(const Outcome& outcome);
    StoreRequestId beginRequest(State next);
    /** Returns whether @p answer shows an older state of the store than an earlier answer; otherwise records its store
        revision as the highest one seen.
    */
    bool isStale(const StoreGetAnswer& answer);

    ConfigurationValue m_value;
    Revision m_baseRevision;
    Settings m_settings;
    Clock& m_clock;
    Hooks m_hooks;
    Backoff m_backoff;
    HistoryEntry m_entry;
    std::optional<ConfigurationValue> m_current;
    StoreRevision m_currentModRevision;
    StoreRevision m_highestStoreRevision;
    std::uint64_t m_lastRequestId { 0 };
    TimePoint m_deadline;
    TimePoint m_wakeup;
    /** A write was sent and may have taken effect, or may still do so. */
    bool m_mayBeApplied { false };
    /** An earlier write got no usable answer, so it may have taken effect. */
    bool m_hasUnconfirmedWrite { false };
};

ApplyOperation::Impl::Impl(
    ConfigurationChange change, Settings settings, Clock& clock, RandomSource& random, Hooks hooks)
    : m_value { Revision(change.baseRevision.value() + 1), std::move(change.changeId), std::move(change.author),
        std::move(change.time), std::move(change.inventory) }
    , m_baseRevision(change.baseRevision)
    , m_settings(settings)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_backoff(settings.firstBackoff, settings.maximumBackoff, random)
    , m_deadline(clock.now() + settings.deadline)
    , m_wakeup(TimePoint::max())
{
    assert(m_hooks.get && m_hooks.putIf && m_hooks.finished);
}

void ApplyOperation::Impl::start()
{
    const ConfigurationChange change { m_baseRevision, m_value.changeId, m_value.author, m_value.time,
        m_value.inventory };
    if (const auto failure = validate(change))
        return finish(*failure);
    if (m_value.json().size() > maximumValueBytes)
        return finish(invalid("the configuration has more than 1000000 bytes, the largest value of the store"));
    m_entry = HistoryEntry::of(m_value);
    readCurrent();
}

StoreRequestId ApplyOperation::Impl::beginRequest(State next)
{
    state = next;
    m_wakeup = std::min(m_deadline, m_clock.now() + m_settings.answerTimeout);
    return StoreRequestId(++m_lastRequestId);
}

void ApplyOperation::Impl::readCurrent()
{
    m_hooks.get({ beginRequest(State::ReadingCurrent), ConfigurationKeys::current() });
}

void ApplyOperation::Impl::readChangeEntry()
{
    m_hooks.get({ beginRequest(State::ReadingChange), ConfigurationKeys::change(m_value.changeId) });
}

bool ApplyOperation::Impl::isStale(const StoreGetAnswer& answer)
{
    if (answer.storeRevision < m_highestStoreRevision)
        return true;
    m_highestStoreRevision = answer.storeRevision;
    return false;
}

void ApplyOperation::Impl::handleGetAnswer(const StoreGetAnswer& answer)
{
    if (answer.requestId != StoreRequestId(m_lastRequestId)
        || (state != State::ReadingCurrent && state != State::ReadingChange))
        return;
    // A read of an older store state could miss this operation's own change or a concurrent change that won.
    if (answer.outcome != StoreOutcome::Succeeded || isStale(answer))
        return retryLater();
    if (state == State::ReadingCurrent)
        handleCurrentValue(answer);
    else
        handleChangeEntry(answer);
}

void ApplyOperation::Impl::handleCurrentValue(const StoreGetAnswer& answer)
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
    readChangeEntry();
}

void ApplyOperation::Impl::handleChangeEntry(const StoreGetAnswer& answer)
{
    if (answer.value) {
        const auto entry = HistoryEntry::parse(answer.value->value);
        return entry ? finishWithExistingEntry(*entry) : finish(entry.lastReason());
    }
    const auto revision = m_current ? m_current->revision : Revision(0);
    if (revision != m_baseRevision)
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
    put.requestId = beginRequest(State::Writing);
    m_mayBeApplied = true;
    m_hooks.putIf(put);
}

void ApplyOperation::Impl::handlePutIfAnswer(const StorePutIfAnswer& answer)
{
    if (answer.requestId != StoreRequestId(m_lastRequestId) || state != State::Writing)
        return;
    if (answer.outcome == StoreOutcome::UnavailableMaybeApplied)
        return retryLater();
    m_highestStoreRevision = std::max(m_highestStoreRevision, answer.storeRevision);
    // Either another operation wrote first or an earlier write of this one took effect; reading again tells which.
    if (answer.outcome == StoreOutcome::ComparisonFailed) {
        m_mayBeApplied = m_hasUnconfirmedWrite;
        return readCurrent();
    }
    finish(AppliedChange { m_value.revision, false, std::make_shared<const ConfigurationValue>(m_value) });
}

void ApplyOperation::Impl::retryLater()
{
    m_hasUnconfirmedWrite = m_hasUnconfirmedWrite || state == State::Writing;
    state = State::Waiting;
    // A new request id makes late answers to earlier requests be ignored.
    ++m_lastRequestId;
    m_wakeup = std::min(m_deadline, m_clock.now() + m_backoff.next());
}

void ApplyOperation::Impl::tick()
{
    const auto now = m_clock.now();
    if (state == State::Finished || now < m_wakeup)
        return;
    if (now >= m_deadline) {
        if (m_mayBeApplied)
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

void ApplyOperation::Impl::finishWithExistingEntry(const HistoryEntry& entry)
{
    if (entry.documentHash != m_entry.documentHash) {
        return finish(Failure { FailureCode::ConfigurationConflict, RunState::NotRun,
            "change id " + entry.changeId.value() + " was used for another document, revision "
                + std::to_string(entry.revision.value()) + " by " + entry.author });
    }
    const bool isInForce = m_current && m_current->revision == entry.revision;
    auto value = isInForce ? std::make_shared<const ConfigurationValue>(*m_current) : nullptr;
    finish(AppliedChange { entry.revision, !m_mayBeApplied, std::move(value) });
}

void ApplyOperation::Impl::finishConflict()
{
    const auto basedOn = "; the change was based on revision " + std::to_string(m_baseRevision.value());
    const auto inForce = m_current ? "revision " + std::to_string(m_current->revision.value()) + " by "
            + m_current->author + " (change " + m_current->changeId.value() + ") is in force"
                                   : std::string("no configuration is in force");
    finish(Failure { FailureCode::ConfigurationConflict, RunState::NotRun, inForce + basedOn });
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
