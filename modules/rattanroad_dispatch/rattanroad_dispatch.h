/** rattanroad_dispatch: the engine of an entry host; accept, admit, route, start, answer.

    Dependencies: all modules except rattanroad_network.
    Read engine/EntryHost.h first.
*/
#pragma once

#include "rattanroad_dispatch/engine/EntryHost.h"
#include "rattanroad_dispatch/engine/TimerQueue.h"
