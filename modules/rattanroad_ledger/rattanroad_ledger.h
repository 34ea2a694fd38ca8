/** rattanroad_ledger: idempotent submissions through a journal on peers, with takeover at a higher epoch.

    Dependencies: rattanroad_core, rattanroad_protocol.
    Read ledger/SubmissionLedger.h first.
*/
#pragma once

#include "rattanroad_ledger/ledger/SubmissionLedger.h"
