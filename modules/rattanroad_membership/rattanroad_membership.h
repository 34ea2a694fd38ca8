/** rattanroad_membership: live entry hosts, failure detection and rendezvous ranking.

    Dependencies: rattanroad_core, rattanroad_protocol.
    Read membership/MemberTable.h first.
*/
#pragma once

#include "rattanroad_membership/membership/MemberTable.h"
