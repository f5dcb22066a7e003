#pragma once

#include "lycheespool/request/answers.h"
#include "lycheespool/request/call_result.h"
#include "lycheespool/request/client_request.h"
#include "lycheespool/request/node_lease.h"
#include "lycheespool/request/retry_budget.h"
#include "lycheespool/request/routing.h"
#include "lycheespool/request/timing.h"

#include <chrono>
#include <string>
#include <utility>

namespace lycheespool {

/**
 * @brief Runs idempotent requests; retries on other executors within the deadline and the retry budget.
 * @tparam Calls An ExecutorCalls.
 * @tparam TimingType Model of Timing.
 */
template <typename Calls, Timing TimingType>
class IdempotentRunner {
public:
    /**
     * @brief Constructs the runner of one entry.
     * @param calls Client of the executors.
     * @param budget Budget for retries.
     * @param metrics Registry for counters.
     * @param timing Clock.
     */
    IdempotentRunner(Calls& calls, RetryBudget& budget, Metrics& metrics, TimingType timing)
        : m_calls { calls }
        , m_budget { budget }
        , m_timing { std::move(timing) }
        , m_retries { metrics.counter("requests_retried_total") }
        , m_exhausted { metrics.counter("retry_budget_exhausted_total") }
    {
    }

    /**
     * @brief Runs a request.
     * @param request An idempotent request.
     * @param deadline Time by which the answer is due.
     * @return The answer.
     */
    [[nodiscard]] Awaitable<ClientAnswer> run(ClientRequest request, TimePoint deadline)
    {
        ExcludedNodes excluded;
        bool mayHaveRun = false;
        std::string reason = "no executor is available";
        while (true) {
            const auto lease = m_calls.choose(excluded);
            const auto left = deadline - m_timing.now();
            if (!lease.node() || left <= Duration::zero())
                break;
            auto result = co_await m_calls.call(lease.node(), request, left);
            if (result.outcome == Outcome::done)
                co_return doneAnswer(result.status, std::move(result.body));
            mayHaveRun = mayHaveRun || result.outcome == Outcome::unknown;
            reason = std::move(result.reason);
            excluded.emplace_back(lease.node()->agent, lease.node()->incarnation);
            if (!mayRetry(deadline))
                break;
        }
        if (mayHaveRun)
            co_return unknownAnswer(std::move(reason));
        co_return notRunAnswer(serviceUnavailable, std::move(reason), retryAfter);
    }

private:
    static constexpr unsigned serviceUnavailable = 503;
    static constexpr Duration retryAfter = std::chrono::seconds { 1 };

    [[nodiscard]] bool mayRetry(TimePoint deadline)
    {
        if (!Calls::retries || m_timing.now() >= deadline)
            return false;
        if (!m_budget.withdraw()) {
            m_exhausted.add();
            return false;
        }
        m_retries.add();
        return true;
    }

    Calls& m_calls;
    RetryBudget& m_budget;
    TimingType m_timing;
    Counter& m_retries;
    Counter& m_exhausted;
};

}
