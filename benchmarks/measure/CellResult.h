#pragma once

#include "measure/Trace.h"

#include <map>
#include <string>
#include <vector>

namespace rattanroad {

/** What one policy did with one trace. */
struct CellResult {
    /** Response seen by the caller per job; negative when the job failed. */
    std::vector<Duration> responses;
    std::uint64_t wastedMessages { 0 };
    std::uint64_t targetMessages { 0 };
    std::uint64_t peerMessages { 0 };
    std::uint64_t peerBytes { 0 };
    /** Further figures under the name of their key. */
    std::map<std::string, double> extra;
};

/** Turns results into the figures of the output. */
class CellFigures {
public:
    /** Returns response_ratio_mean, response_ratio_p99, wasted_per_task and failed_share, and the extra figures. Jobs
       of the warm-up count for the messages only.
    */
    static std::map<std::string, double> of(
        const Trace& trace, const std::vector<Duration>& ideal, const CellResult& result);
};

/** Returns the value below which @p share of @p values lie; zero when there are none. */
double quantile(std::vector<double> values, double share);

}
