#pragma once

#include "rattanroad_inventory/inventory/InventoryTypes.h"

namespace rattanroad {

/** Returns whether @p rule permits work of its kind on @p target, whose worker has @p resources. */
bool permits(const Rule& rule, const Target& target, const Resources& resources);

}
