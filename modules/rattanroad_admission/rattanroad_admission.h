/** rattanroad_admission: admission control for jobs, and the retry policy for tasks.

    Dependencies: rattanroad_core, rattanroad_protocol, rattanroad_inventory, rattanroad_routing.
    The main classes are AdmissionControl and RetryPolicy.
*/
#pragma once

#include "rattanroad_admission/admission/AdmissionControl.h"
#include "rattanroad_admission/admission/QueueWaitEstimator.h"
#include "rattanroad_admission/admission/RunTimeEstimator.h"
#include "rattanroad_admission/retry/RetryPolicy.h"
