/** rattanroad_routing: who may use a target's slots, learned speed and health, team quotas.

    Dependencies: rattanroad_core, rattanroad_protocol, rattanroad_inventory.
    Read slots/SlotKeeper.h and slots/SlotBorrower.h first.
*/
#pragma once

#include "rattanroad_routing/slots/SlotBorrower.h"
#include "rattanroad_routing/slots/SlotKeeper.h"
#include "rattanroad_routing/slots/SlotTypes.h"
