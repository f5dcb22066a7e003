#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/request/membership.h"

#include <atomic>
#include <cstddef>

namespace lycheespool {

/*! @brief Temporarily ejects failing and unusually slow executors; thread-safe. */
class OutlierEjection {
public:
    /*! @brief At most one executor in this many is ejected at a time. */
    static constexpr std::size_t nodesPerEjection = 3;
    /*! @brief An executor is slow when its latency exceeds the median of all by this factor. */
    static constexpr double slowFactor = 4;

    /**
     * @brief Ejects a node if it is an outlier and the limit on ejected nodes allows it.
     * @param nodes All nodes.
     * @param node Node whose call has just ended.
     * @param now Current time.
     */
    void ejectIfOutlier(const Membership::Nodes& nodes, ExecutorNode& node, TimePoint now);

private:
    [[nodiscard]] static bool isSlow(const Membership::Nodes& nodes, const ExecutorNode& node, TimePoint now);
    void updateAverageLatency(const ExecutorNode& node, TimePoint now);

    /*! @brief Average latency of all calls; a cheap check that precedes the computation of the median. */
    std::atomic<double> m_averageLatencyUs { 0 };
    /*! @brief Set while a thread counts the ejected nodes; a thread that finds it set ejects no node. */
    std::atomic_flag m_evaluating;
};

}
