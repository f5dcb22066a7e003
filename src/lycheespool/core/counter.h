#pragma once

#include <prometheus/counter.h>

#include <cstdint>

namespace lycheespool {

/*! @brief Event counter of a Metrics registry that any thread may increment without a lock. */
class Counter {
public:
    /**
     * @brief Wraps a counter of the registry.
     * @param counter Counter that outlives this object.
     */
    explicit Counter(prometheus::Counter& counter)
        : m_counter { counter }
    {
    }

    /**
     * @brief Adds to the counter.
     * @param n Number of events.
     */
    void add(std::uint64_t n = 1) { m_counter.Increment(static_cast<double>(n)); }

    /**
     * @brief Reads the counter.
     * @return Events so far.
     */
    [[nodiscard]] std::uint64_t value() const { return static_cast<std::uint64_t>(m_counter.Value()); }

private:
    prometheus::Counter& m_counter;
};

}
