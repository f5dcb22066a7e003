#pragma once

#include <atomic>
#include <cstdint>

namespace lycheespool {

/*! @brief Event counter that any thread may increment without a lock. */
class Counter {
public:
    /**
     * @brief Adds to the counter.
     * @param n Number of events.
     */
    void add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }

    /**
     * @brief Reads the counter.
     * @return Events so far.
     */
    [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

}
