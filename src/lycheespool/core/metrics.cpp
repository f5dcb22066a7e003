#include "lycheespool/core/metrics.h"

#include "lycheespool/core/event_log.h"

#include <prometheus/text_serializer.h>

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace lycheespool {

namespace {

const std::string metricPrefix = "lycheespool_";

// From a local call to the longest wait for room that the bounds of the deployments allow.
const prometheus::Histogram::BucketBoundaries latencyBucketsMs { 0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000,
    5000, 10'000, 20'000, 60'000 };

prometheus::MetricFamily gaugeFamily(const std::string& name, double value)
{
    prometheus::ClientMetric metric;
    metric.gauge.value = value;
    prometheus::MetricFamily family;
    family.name = name;
    family.type = prometheus::MetricType::Gauge;
    family.metric.push_back(std::move(metric));
    return family;
}

double residentBytes()
{
    std::ifstream file { "/proc/self/statm" };
    long long total = 0;
    long long resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

double processorSeconds()
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
    const auto microseconds = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
    return static_cast<double>(seconds) + static_cast<double>(microseconds) * 1e-6;
}

}

Counter& Metrics::counter(const std::string& name)
{
    const std::scoped_lock lock { m_mutex };
    const auto it = m_counters.find(name);
    if (it != m_counters.end())
        return it->second;
    auto& family = prometheus::BuildCounter().Name(metricPrefix + name).Register(m_registry);
    return m_counters.emplace(name, family.Add({})).first->second;
}

LatencyHistogram& Metrics::histogram(const std::string& name)
{
    const std::scoped_lock lock { m_mutex };
    const auto it = m_histograms.find(name);
    if (it != m_histograms.end())
        return it->second;
    auto& family = prometheus::BuildHistogram().Name(metricPrefix + name).Register(m_registry);
    return m_histograms.emplace(name, family.Add({}, latencyBucketsMs)).first->second;
}

void Metrics::gauge(const std::string& name, std::function<double()> read)
{
    const std::scoped_lock lock { m_mutex };
    m_gauges[name] = std::move(read);
}

std::string Metrics::render() const
{
    auto families = m_registry.Collect();
    const std::scoped_lock lock { m_mutex };
    for (const auto& [name, read] : m_gauges)
        families.push_back(gaugeFamily(metricPrefix + name, read()));
    return prometheus::TextSerializer {}.Serialize(families);
}

void addProcessGauges(Metrics& metrics)
{
    metrics.gauge("process_resident_bytes", residentBytes);
    metrics.gauge("process_cpu_seconds_total", processorSeconds);
    metrics.gauge("log_lines_dropped", [] { return static_cast<double>(droppedEvents()); });
}

}
