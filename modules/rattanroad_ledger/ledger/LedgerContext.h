#pragma once

#include "rattanroad_ledger/ledger/LedgerEffects.h"
#include "rattanroad_ledger/ledger/PeerDirectory.h"

namespace rattanroad {

/** What the parts of one ledger share; owned by the ledger and outlives them. */
struct LedgerContext {
    const SubmissionLedger::Settings& settings;
    Clock& clock;
    LedgerEffects& effects;
    PeerDirectory& peers;
    SubmissionLedger::Statistics& statistics;

    /** Age at which a segment that its owner no longer writes to is forgotten: its ids can be used until its rotation,
        and its submissions end within one retention time and are kept for another. It stays well below the lease of
        1 h on the store's record of a view change, so that a journal is never older than the record that outdates it.
    */
    Duration replicaLifetime() const { return settings.segmentLifetime + 2 * settings.retention; }
};

}
