/** rattanroad_configuration: holds the configuration in force, applies changes to it and distributes it to all hosts.

    Dependencies: rattanroad_core, rattanroad_protocol, rattanroad_inventory; nlohmann-json, xxhash.
    Read configuration/ConfigurationHolder.h first.
*/
#pragma once

#include "rattanroad_configuration/change/ApplyOperation.h"
#include "rattanroad_configuration/change/ConfigurationKeys.h"
#include "rattanroad_configuration/change/HistoryEntry.h"
#include "rattanroad_configuration/configuration/ConfigurationHolder.h"
#include "rattanroad_configuration/distribution/ConfigurationDistributor.h"
#include "rattanroad_configuration/store/StoreTypes.h"
