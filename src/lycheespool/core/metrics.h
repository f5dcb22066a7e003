#pragma once

#include "lycheespool/core/counter.h"
#include "lycheespool/core/latency_histogram.h"

#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace lycheespool {

/**
 * @brief Named counters, latency histograms and gauges of one process, kept by a Prometheus registry.
 *
 * References stay valid for the lifetime of the registry, so a hot path looks a counter up once and keeps it.
 */
class Metrics {
public:
    /**
     * @brief Finds or creates a counter.
     * @param name Name with its unit, as in `frames_received_total`.
     * @return The counter.
     */
    [[nodiscard]] Counter& counter(const std::string& name);

    /**
     * @brief Finds or creates a latency histogram.
     * @param name Name that ends with the unit, `_ms`.
     * @return The histogram.
     */
    [[nodiscard]] LatencyHistogram& histogram(const std::string& name);

    /**
     * @brief Adds a value that is read when the metrics are rendered.
     * @param name Name with its unit.
     * @param read Reads the present value; called from the rendering thread.
     */
    void gauge(const std::string& name, std::function<double()> read);

    /**
     * @brief Renders everything in the Prometheus text format.
     * @return Metric families whose names have the prefix `lycheespool_`.
     */
    [[nodiscard]] std::string render() const;

private:
    mutable std::mutex m_mutex;
    prometheus::Registry m_registry;
    std::map<std::string, Counter> m_counters;
    std::map<std::string, LatencyHistogram> m_histograms;
    std::map<std::string, std::function<double()>> m_gauges;
};

/**
 * @brief Adds gauges for the resident memory and the processor time of this process.
 * @param metrics Registry to add to.
 */
void addProcessGauges(Metrics& metrics);

}
