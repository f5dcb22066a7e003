#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/request/membership.h"

#include <atomic>
#include <cstddef>

namespace lycheespool {

/*! @brief Takes failing and unusually slow executors out of use for a while; usable from several threads. */
class OutlierEjection {
public:
    /*! @brief At most one executor in this many is out of use at once. */
    static constexpr std::size_t nodesPerEjection = 3;
    /*! @brief An executor is slow when its latency exceeds the median of all by this factor. */
    static constexpr double slowFactor = 4;

    /**
     * @brief Ejects a node if it is an outlier and the bound allows it.
     * @param nodes All nodes.
     * @param node The node that a call has just ended on.
     * @param now Present time.
     */
    void consider(const Membership::Nodes& nodes, ExecutorNode& node, TimePoint now);

private:
    [[nodiscard]] static bool isSlow(const Membership::Nodes& nodes, const ExecutorNode& node, TimePoint now);
    void noteLatency(const ExecutorNode& node, TimePoint now);

    /*! @brief Average latency of all calls, a cheap first test before the median is computed. */
    std::atomic<double> m_usualLatencyUs { 0 };
    /*! @brief Held while the ejected nodes are counted; a thread that finds it held leaves the node as it is. */
    std::atomic_flag m_busy;
};

}
