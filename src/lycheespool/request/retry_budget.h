#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace lycheespool {

/**
 * @brief Limits repeated dispatches to a share of the requests, so that retries cannot multiply an overload.
 *
 * Token bucket of one atomic; usable from several threads.
 */
class RetryBudget {
public:
    /*! @brief Requests per retry: a budget of 10%. */
    static constexpr std::int64_t requestsPerRetry = 10;
    /*! @brief Retries that the bucket holds when full; covers a short failure after a quiet time. */
    static constexpr std::int64_t maxRetries = 100;

    /*! @brief Records a request, which earns a share of a retry. */
    void deposit()
    {
        auto units = m_units.load(std::memory_order_relaxed);
        while (units < maxRetries * requestsPerRetry
            && !m_units.compare_exchange_weak(units, units + 1, std::memory_order_relaxed)) { }
    }

    /**
     * @brief Takes one retry.
     * @return False when the budget is used up.
     */
    [[nodiscard]] bool withdraw()
    {
        auto units = m_units.load(std::memory_order_relaxed);
        while (units >= requestsPerRetry) {
            if (m_units.compare_exchange_weak(units, units - requestsPerRetry, std::memory_order_relaxed))
                return true;
        }
        return false;
    }

private:
    // A new entry may retry a little before its first requests have earned anything.
    static constexpr std::int64_t initialRetries = 10;

    std::atomic<std::int64_t> m_units { initialRetries * requestsPerRetry };
};

}
