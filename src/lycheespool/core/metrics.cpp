#include "lycheespool/core/metrics.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <sys/resource.h>
#include <unistd.h>

namespace lycheespool {

namespace {

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
    return m_counters[name];
}

Distribution& Metrics::distribution(const std::string& name)
{
    const std::scoped_lock lock { m_mutex };
    return m_distributions[name];
}

void Metrics::gauge(const std::string& name, std::function<double()> read)
{
    const std::scoped_lock lock { m_mutex };
    m_gauges[name] = std::move(read);
}

std::string Metrics::render() const
{
    const std::scoped_lock lock { m_mutex };
    std::string text;
    auto out = std::back_inserter(text);
    for (const auto& [name, counter] : m_counters)
        fmt::format_to(out, "lycheespool_{} {}\n", name, counter.value());
    for (const auto& [name, read] : m_gauges)
        fmt::format_to(out, "lycheespool_{} {}\n", name, read());
    for (const auto& [name, distribution] : m_distributions) {
        const auto summary = distribution.summary();
        fmt::format_to(out, "lycheespool_{}{{quantile=\"0.5\"}} {}\n", name, summary.median);
        fmt::format_to(out, "lycheespool_{}{{quantile=\"0.99\"}} {}\n", name, summary.p99);
        fmt::format_to(out, "lycheespool_{}_max {}\n", name, summary.max);
        fmt::format_to(out, "lycheespool_{}_count {}\n", name, summary.count);
    }
    return text;
}

void addProcessGauges(Metrics& metrics)
{
    metrics.gauge("process_resident_bytes", residentBytes);
    metrics.gauge("process_cpu_seconds_total", processorSeconds);
}

}
