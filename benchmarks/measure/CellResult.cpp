#include "measure/CellResult.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace rattanroad {

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const std::size_t rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

std::map<std::string, double> CellFigures::of(
    const Trace& trace, const std::vector<Duration>& ideal, const CellResult& result)
{
    std::vector<double> ratios;
    std::size_t failed = 0;
    for (std::size_t job = 0; job < trace.jobs.size(); job++) {
        if (trace.jobs[job].sentAt < trace.warmUp)
            continue;
        if (result.responses[job] < Duration::zero())
            failed++;
        else
            ratios.push_back(
                static_cast<double>(result.responses[job].count()) / static_cast<double>(ideal[job].count()));
    }
    std::map<std::string, double> figures = result.extra;
    const double count = static_cast<double>(ratios.size());
    figures["response_ratio_mean"] = ratios.empty() ? 0 : std::accumulate(ratios.begin(), ratios.end(), 0.0) / count;
    figures["response_ratio_p99"] = quantile(ratios, 0.99);
    figures["wasted_per_task"]
        = static_cast<double>(result.wastedMessages) / static_cast<double>(std::max<std::size_t>(trace.taskCount, 1));
    figures["failed_share"] = static_cast<double>(failed) / std::max(count + static_cast<double>(failed), 1.0);
    return figures;
}

}
