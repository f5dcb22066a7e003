#pragma once

#include <prometheus/histogram.h>

namespace lycheespool {

/*! @brief Histogram of durations in a Metrics registry; any thread may record. */
class LatencyHistogram {
public:
    /**
     * @brief Wraps a histogram of the registry.
     * @param histogram Histogram that outlives this object.
     */
    explicit LatencyHistogram(prometheus::Histogram& histogram)
        : m_histogram { histogram }
    {
    }

    /**
     * @brief Records one duration.
     * @param durationMs Duration, ms.
     */
    void record(double durationMs) { m_histogram.Observe(durationMs); }

private:
    prometheus::Histogram& m_histogram;
};

}
