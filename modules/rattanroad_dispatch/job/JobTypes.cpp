#include "rattanroad_dispatch/job/JobTypes.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rattanroad {

std::uint64_t fingerprint(const protocol::JobDescription& job)
{
    auto hash = XXH64(job.team().data(), job.team().size(), 0);
    for (const auto& task : job.tasks()) {
        hash = XXH64(task.kind().data(), task.kind().size(), hash);
        hash = XXH64(task.payload().data(), task.payload().size(), hash);
    }
    return hash == 0 ? 1 : hash;
}

}
