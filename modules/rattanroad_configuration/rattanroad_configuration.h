/** rattanroad_configuration: the configuration in force, how a change is applied and how it spreads.

    Dependencies: rattanroad_core, rattanroad_protocol, rattanroad_inventory.
    Read configuration/ConfigurationHolder.h first.
*/
#pragma once

#include "rattanroad_configuration/configuration/ConfigurationHolder.h"
