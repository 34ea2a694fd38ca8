#pragma once

#include "rattanroad_configuration/change/HistoryEntry.h"
#include "rattanroad_configuration/store/StoreTypes.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"

#include <functional>
#include <memory>

namespace rattanroad {

/** A configuration change that an operator submits. */
struct ConfigurationChange {
    /** The revision that the operator edited; 0 for the first configuration. */
    Revision baseRevision;
    ChangeId changeId;
    std::string author;
    /** Time of submission in RFC 3339 format. */
    std::string time;
    std::shared_ptr<const Inventory> inventory;
};

/** A change that the store has accepted. */
struct AppliedChange {
    Revision revision;
    /** An earlier operation with the same change id already applied this change. */
    bool wasAppliedBefore { false };
    /** Set when this change is the configuration in force; null when a later change has replaced it. */
    std::shared_ptr<const ConfigurationValue> value;
};

/** Applies one change through the platform's store: reads the configuration in force, checks the base revision, and
    writes the new value and its history entries in one compare-and-swap transaction.

    When the answer to a write is lost, the operation reads again and looks for its own change id. Repeating the write
    is safe: each write is conditional on the store revision that was read before it, so at most one takes effect.
    Not thread safe.
*/
class ApplyOperation {
public:
    struct Settings {
        /** The operation fails when it has no result after this time. */
        Duration deadline { std::chrono::seconds(10) };
        /** A store request without an answer after this time counts as failed; a later answer is ignored. */
        Duration answerTimeout { std::chrono::seconds(2) };
        Duration firstBackoff { std::chrono::milliseconds(100) };
        Duration maximumBackoff { std::chrono::seconds(2) };
    };

    using Outcome = Result<AppliedChange>;

    struct Hooks {
        /** Sends a read; its result is passed to handleGetAnswer(), or the request times out. */
        std::function<void(const StoreGet&)> get;
        /** Sends a conditional write; its result is passed to handlePutIfAnswer(), or the request times out. */
        std::function<void(const StorePutIf&)> putIf;
        /** Called exactly once. Failures: ConfigurationConflict (the detail names the conflicting revision and its
            author), ConfigurationInvalid, StoreUnavailable (not applied) and OutcomeUnknown (may have been applied).
            The callback must not destroy the operation.
        */
        std::function<void(const Outcome&)> finished;
    };

    ApplyOperation(ConfigurationChange change, Settings settings, Clock& clock, RandomSource& random, Hooks hooks);
    ~ApplyOperation();
    ApplyOperation(const ApplyOperation&) = delete;
    ApplyOperation& operator=(const ApplyOperation&) = delete;

    /** Sends the first request. */
    void start();
    void handleGetAnswer(const StoreGetAnswer& answer);
    void handlePutIfAnswer(const StorePutIfAnswer& answer);
    void tick();
    /** Returns TimePoint::max() once the operation has finished. */
    TimePoint nextWakeup() const;
    bool isFinished() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
