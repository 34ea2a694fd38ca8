#include "rattanroad_shards/entrance/RequestNumber.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rattanroad::shards {

std::uint64_t RequestNumber::firstId(Incarnation incarnation)
{
    // Leaves room for the attempt, and for HolderRequests to mark the numbers of its questions.
    constexpr unsigned unusedBits = 10;
    const std::uint64_t value = incarnation.value();
    return XXH64(&value, sizeof value, 0) >> unusedBits;
}

}
