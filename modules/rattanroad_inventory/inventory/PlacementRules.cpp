#include "rattanroad_inventory/inventory/PlacementRules.h"

namespace rattanroad {

bool permits(const Rule& rule, const Target& target, const Resources& resources)
{
    if (!rule.allow.isEmpty() && !rule.allow.matches(target))
        return false;
    return !rule.deny.matches(target) && resources.covers(rule.require);
}

}
