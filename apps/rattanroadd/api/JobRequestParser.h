#pragma once

#include "rattanroad_core/failure/Result.h"
#include "rattanroad_dispatch/job/JobTypes.h"

#include <string_view>

namespace rattanroad::daemon {

/** Reads the body of POST /v1/jobs.
    Fails with FailureCode::MalformedRequest; the detail lists unknown fields, wrong types and values out of range, each
    with its path. A malformed submission id fails with FailureCode::InvalidSubmissionId.
*/
Result<JobRequest> parseJobRequest(std::string_view body);

/** Reads the body of POST /v1/submission-ids, {"count":n} with n from 1 to 1000. */
Result<std::size_t> parseIdCount(std::string_view body);

}
