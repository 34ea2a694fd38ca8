#include "rattanroad_network/telemetry/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace rattanroad {

class Metrics::Impl {
public:
    prometheus::Registry registry;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::setCounter(const std::string& name, const std::string& help, double total, const Labels& labels)
{
    auto*& family = m_impl->counters[name];
    if (!family)
        family = &prometheus::BuildCounter().Name(name).Help(help).Register(m_impl->registry);
    prometheus::Counter& counter = family->Add(labels);
    if (total > counter.Value())
        counter.Increment(total - counter.Value());
}

void Metrics::setGauge(const std::string& name, const std::string& help, double value, const Labels& labels)
{
    auto*& family = m_impl->gauges[name];
    if (!family)
        family = &prometheus::BuildGauge().Name(name).Help(help).Register(m_impl->registry);
    family->Add(labels).Set(value);
}

Metrics::Observe Metrics::histogram(
    const std::string& name, const std::string& help, const std::vector<double>& buckets, const Labels& labels)
{
    auto*& family = m_impl->histograms[name];
    if (!family)
        family = &prometheus::BuildHistogram().Name(name).Help(help).Register(m_impl->registry);
    prometheus::Histogram& histogram = family->Add(labels, buckets);
    return [&histogram](double value) { histogram.Observe(value); };
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(m_impl->registry.Collect()); }

const std::vector<double>& Metrics::timeBuckets()
{
    static const std::vector<double> buckets { 0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
        0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 600 };
    return buckets;
}

}
