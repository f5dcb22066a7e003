#pragma once

#include "lycheespool/request/routing.h"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace lycheespool {

/*! @brief Baseline policy for benchmarks: round robin without retries and health checks. */
class RoundRobin {
public:
    static constexpr bool retries = false;

    /**
     * @brief Chooses the next eligible node.
     * @param nodes Known nodes.
     * @param context Request and time.
     * @return The node, or null when none is eligible.
     */
    [[nodiscard]] ExecutorNodePtr choose(const Membership::Nodes& nodes, const RoutingContext& context)
    {
        const auto start = m_next.fetch_add(1, std::memory_order_relaxed);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const auto& node = nodes[(start + i) % nodes.size()];
            if (isEligible(*node, context))
                return node;
        }
        return nullptr;
    }

    /**
     * @brief Returns the number of usable slots.
     * @param node A node.
     * @return All slots of the node.
     */
    [[nodiscard]] std::uint32_t usableSlots(const ExecutorNode& node, TimePoint) const { return node.slots; }

    /*! @brief Ignores the result of a call. */
    void recordResult(const Membership::Nodes&, ExecutorNode&, const CallResult&, Duration, TimePoint) { }

private:
    std::atomic<std::size_t> m_next { 0 };
};

}
