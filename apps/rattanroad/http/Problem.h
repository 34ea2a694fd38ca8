#pragma once

#include "rattanroad/ExitCode.h"
#include "rattanroad/http/HttpTypes.h"
#include "rattanroad_core/failure/Failure.h"

namespace rattanroad::command {

/** Returns the failure described by an error response in application/problem+json. Without such a document the HTTP
    status decides: 4xx means "not run", any other status means that the outcome is unknown. A missing or unrecognized
    run state in the document also counts as an unknown outcome, never as "not run".
*/
Failure failureOf(const HttpExchange& exchange);

/** Like failureOf(), for a request without side effects: without a response the server counts as unreachable. */
Failure readFailureOf(const HttpExchange& exchange);

/** Returns the exit status for @p failure. */
ExitCode exitCodeOf(const Failure& failure);

}
