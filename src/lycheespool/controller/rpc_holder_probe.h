#pragma once

#include "lycheespool/controller/holder_probe.h"
#include "lycheespool/core/clock.h"
#include "lycheespool/core/metrics.h"

#include <chrono>

namespace lycheespool {

/**
 * @brief Asks a holder over a separate connection; a model of HolderProbe.
 *
 * A refused connection means that the process has ended, since it listens until then. All calls must be made on one
 * thread.
 */
class RpcHolderProbe {
public:
    /*! @brief Timeout for the connection, and again for the answer; a live holder answers within a few ms. */
    static constexpr Duration timeout = std::chrono::milliseconds { 200 };

    /**
     * @brief Makes a probe.
     * @param metrics Registry for counters; must outlive the probe.
     */
    explicit RpcHolderProbe(Metrics& metrics)
        : m_metrics { metrics }
        , m_inquiries { metrics.counter("lease_inquiries_total") }
    {
    }

    /**
     * @brief Asks a holder.
     * @param row Row of the lease.
     * @return State of the holder.
     */
    [[nodiscard]] Awaitable<HolderState> ask(LeaseRow row);

private:
    Metrics& m_metrics;
    Counter& m_inquiries;
};

static_assert(HolderProbe<RpcHolderProbe>);

}
