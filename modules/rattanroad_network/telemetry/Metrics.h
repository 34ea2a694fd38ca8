#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanroad {

/** Metrics of one process in the Prometheus text format. Names follow that format's conventions: totals end in
    "_total", times are in seconds.
*/
class Metrics {
public:
    using Labels = std::map<std::string, std::string>;
    using Observe = std::function<void(double)>;

    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /** Sets a counter to @p total; a lower value than before is ignored, as counters only grow. */
    void setCounter(const std::string& name, const std::string& help, double total, const Labels& labels = {});
    void setGauge(const std::string& name, const std::string& help, double value, const Labels& labels = {});
    /** Returns the function that adds an observation to a histogram; it must not outlive this object. */
    Observe histogram(const std::string& name, const std::string& help, const std::vector<double>& buckets,
        const Labels& labels = {});

    /** Returns all metrics in the text format. */
    std::string text() const;

    /** Bucket limits from 100 µs to 10 min for times in seconds. */
    static const std::vector<double>& timeBuckets();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
