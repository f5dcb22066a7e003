#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace lycheespool {

/**
 * @brief Limits retries to a fraction of the requests, so that retries cannot amplify an overload.
 *
 * Token bucket in one atomic; thread-safe.
 */
class RetryBudget {
public:
    /*! @brief Requests per retry: a budget of 10%. */
    static constexpr std::int64_t requestsPerRetry = 10;
    /*! @brief Capacity of the bucket in retries; covers a short failure after a period without retries. */
    static constexpr std::int64_t maxRetries = 100;

    /*! @brief Adds the fraction of a retry that one request earns. */
    void deposit()
    {
        auto units = m_units.load(std::memory_order_relaxed);
        while (units < maxRetries * requestsPerRetry
            && !m_units.compare_exchange_weak(units, units + 1, std::memory_order_relaxed)) { }
    }

    /**
     * @brief Withdraws one retry.
     * @return False if the budget is exhausted.
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
    // Lets a new entry retry before its first requests have earned any retries.
    static constexpr std::int64_t initialRetries = 10;

    std::atomic<std::int64_t> m_units { initialRetries * requestsPerRetry };
};

}
