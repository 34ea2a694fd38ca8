/** rattanroad_admission: which jobs may enter, and when a task may start again.

    Dependencies: rattanroad_core, rattanroad_protocol, rattanroad_inventory, rattanroad_routing.
    Read admission/AdmissionControl.h and retry/RetryPolicy.h first.
*/
#pragma once

#include "rattanroad_admission/admission/AdmissionControl.h"
#include "rattanroad_admission/admission/QueueWaitEstimator.h"
#include "rattanroad_admission/admission/RunTimeEstimator.h"
#include "rattanroad_admission/retry/RetryPolicy.h"
