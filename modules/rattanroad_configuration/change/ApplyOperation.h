#pragma once

#include "rattanroad_configuration/change/HistoryEntry.h"
#include "rattanroad_configuration/store/StoreTypes.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"

#include <functional>
#include <memory>

namespace rattanroad {

/** A change that an operator wants to apply. */
struct ConfigurationChange {
    /** The revision that the operator started from; 0 for the first configuration. */
    Revision base;
    ChangeId changeId;
    std::string author;
    /** RFC 3339. */
    std::string time;
    std::shared_ptr<const Inventory> inventory;
};

/** An accepted change. */
struct AppliedChange {
    Revision revision;
    /** The same change had been applied before this operation. */
    bool wasAppliedBefore { false };
    /** Set when the change is the one in force now; null when later ones followed. */
    std::shared_ptr<const ConfigurationValue> value;
};

/** Applies one change through the platform's store: reads the value in force, checks the base revision and writes value
    and history entries by one compare-and-swap.

    When an answer is lost, it reads again and looks for the own change id. Writing again is safe, since both writes
    compare with the same store revision, so at most one takes effect. Not thread safe.
*/
class ApplyOperation {
public:
    struct Settings {
        /** An operation without a result by then fails. */
        Duration deadline { std::chrono::seconds(10) };
        /** A store request without an answer by then counts as unavailable; later answers are ignored. */
        Duration answerTimeout { std::chrono::seconds(2) };
        Duration firstBackoff { std::chrono::milliseconds(100) };
        Duration longestBackoff { std::chrono::seconds(2) };
    };

    using Outcome = Result<AppliedChange>;

    struct Hooks {
        /** handleGetAnswer() or a timeout follows. */
        std::function<void(const StoreGet&)> get;
        /** handlePutIfAnswer() or a timeout follows. */
        std::function<void(const StorePutIf&)> putIf;
        /** Called exactly once. Failures: ConfigurationConflict names the winning revision and author,
            ConfigurationInvalid, StoreUnavailable (not applied), OutcomeUnknown (may have been applied).
            The operation must not be destroyed inside the call.
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
