#pragma once

/** Number of the guard that this build leaves out; 0 in every build but those of the mutation tests.
    @see tests/ledger/LedgerMutations.cmake
*/
#ifndef RATTANROAD_LEDGER_REMOVED_GUARD
#define RATTANROAD_LEDGER_REMOVED_GUARD 0
#endif

namespace rattanroad {

/** The checks that the guarantees rest on. The mutation tests build the ledger once without each of them, and the
   seeded test must then fail; a guard that can be removed unnoticed is not tested.
*/
enum class Guard {
    AcknowledgementBeforeStart = 1,
    AcknowledgementBeforeNotRun,
    Fencing,
    ReceiverIncarnation,
    LostViewChange,
    UnavailableStore,
    RecordOrder,
    RecordEpoch,
    AcknowledgementEpoch,
    UnknownOutcome,
    StartsRefusedBySeal,
    ReleaseToOneBackup,
};

/** Returns whether this build has the guard. */
constexpr bool isGuarded(Guard guard) { return static_cast<int>(guard) != RATTANROAD_LEDGER_REMOVED_GUARD; }

}
