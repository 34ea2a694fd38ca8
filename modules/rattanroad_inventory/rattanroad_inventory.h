/** rattanroad_inventory: the inventory of failure domains, workers, targets, teams and rules; its import, validation
    and comparison.

    Dependencies: rattanroad_core; nlohmann-json.
    Read inventory/Inventory.h first.
*/
#pragma once

#include "rattanroad_inventory/difference/InventoryDifference.h"
#include "rattanroad_inventory/import/RegisterImport.h"
#include "rattanroad_inventory/inventory/Inventory.h"
#include "rattanroad_inventory/inventory/InventoryTypes.h"
