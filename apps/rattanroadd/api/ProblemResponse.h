#pragma once

#include "rattanroad_core/failure/Failure.h"
#include "rattanroad_core/identifiers/SubmissionId.h"
#include "rattanroad_network/http/HttpTypes.h"

#include <optional>

namespace rattanroad::daemon {

/** Returns the HTTP status of a failure. Callers rely on the mapping. */
int httpStatus(FailureCode code);

/** Returns the application/problem+json response for @p failure. */
HttpResponse problemResponse(const Failure& failure, const std::optional<SubmissionId>& id = std::nullopt);

}
