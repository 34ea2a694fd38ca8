#pragma once

// The headers of h2o have no C++ guards of their own.
extern "C" {
#include <h2o.h>
#include <h2o/http1client.h>
#include <h2o/socketpool.h>
}
