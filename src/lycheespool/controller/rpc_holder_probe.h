#pragma once

#include "lycheespool/controller/holder_probe.h"
#include "lycheespool/core/clock.h"
#include "lycheespool/core/metrics.h"

#include <chrono>

namespace lycheespool {

/**
 * @brief Asks a holder over a connection of its own; a model of HolderProbe.
 *
 * A refused connection shows that the process has ended, since it listens until then. Lives on one thread.
 */
class RpcHolderProbe {
public:
    /*! @brief Longest time for the connection, and again for the answer; a live holder answers within a few ms. */
    static constexpr Duration timeout = std::chrono::milliseconds { 200 };

    /**
     * @brief Makes a probe.
     * @param metrics Registry for counters; must outlive the probe.
     */
    explicit RpcHolderProbe(Metrics& metrics)
        : m_metrics { metrics }
        , m_asked { metrics.counter("lease_inquiries_total") }
    {
    }

    /**
     * @brief Asks a holder.
     * @param row Row of the lease.
     * @return What the holder says.
     */
    [[nodiscard]] Awaitable<HolderState> ask(LeaseRow row);

private:
    Metrics& m_metrics;
    Counter& m_asked;
};

static_assert(HolderProbe<RpcHolderProbe>);

}
