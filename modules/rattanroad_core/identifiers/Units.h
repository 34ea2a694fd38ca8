#pragma once

#include "rattanroad_core/identifiers/StrongType.h"

namespace rattanroad {

/** Number of tasks that a target runs at the same time. */
using SlotCount = StrongType<std::uint32_t, struct SlotCountTag>;
/** Number of TCP connections that a target accepts. */
using ConnectionCount = StrongType<std::uint32_t, struct ConnectionCountTag>;
/** Size in bytes. */
using ByteCount = StrongType<std::uint64_t, struct ByteCountTag>;
/** Size in mebibytes (2^20 bytes). */
using MebibyteCount = StrongType<std::uint64_t, struct MebibyteCountTag>;

}
