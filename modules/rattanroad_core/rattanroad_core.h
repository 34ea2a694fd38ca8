/** rattanroad_core: identifiers, units, time, randomness, typed failures and the parsing of JSON of others.

    Dependencies: none of rattanroad's modules; the pcg, xxhash and nlohmann-json libraries.
    Read identifiers/Identifiers.h and failure/Failure.h first.
*/
#pragma once

#include "rattanroad_core/failure/Failure.h"
#include "rattanroad_core/failure/Result.h"
#include "rattanroad_core/identifiers/Identifiers.h"
#include "rattanroad_core/identifiers/SubmissionId.h"
#include "rattanroad_core/identifiers/Units.h"
#include "rattanroad_core/json/BoundedJson.h"
#include "rattanroad_core/random/PcgRandomSource.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_core/time/Clock.h"
#include "rattanroad_core/time/SteadyClock.h"
#include "rattanroad_core/time/VirtualClock.h"
