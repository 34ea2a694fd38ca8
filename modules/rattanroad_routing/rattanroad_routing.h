/** rattanroad_routing: allocation of target slots, learned speed and health of targets, and team quotas.

    Dependencies: rattanroad_core, rattanroad_protocol, rattanroad_inventory.
    The main classes are SlotKeeper, which lends slots, and SlotBorrower, which requests them.
*/
#pragma once

#include "rattanroad_routing/slots/SlotBorrower.h"
#include "rattanroad_routing/slots/SlotKeeper.h"
#include "rattanroad_routing/slots/SlotTypes.h"
