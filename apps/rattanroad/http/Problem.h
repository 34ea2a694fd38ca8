#pragma once

#include "rattanroad/ExitCode.h"
#include "rattanroad/http/HttpTypes.h"
#include "rattanroad_core/failure/Failure.h"

namespace rattanroad::command {

/** Reads the failure of an answer in application/problem+json. Other error answers are judged by their status: what
    the command cannot read is never taken for "not run".
*/
Failure failureOf(const HttpExchange& exchange);

/** Like failureOf() for a request that changes nothing: without an answer it counts as unreachable. */
Failure readFailureOf(const HttpExchange& exchange);

/** Returns the exit status for @p failure. */
ExitCode exitCodeOf(const Failure& failure);

}
