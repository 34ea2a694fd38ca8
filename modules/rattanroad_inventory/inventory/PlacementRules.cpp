#include "rattanroad_inventory/inventory/PlacementRules.h"

namespace rattanroad {

bool permits(const Rule& rule, const Target& target, const Resources& resources)
{
    if (!rule.allow.isEmpty() && !rule.allow.contains(target))
        return false;
    return !rule.deny.contains(target) && resources.covers(rule.require);
}

}
