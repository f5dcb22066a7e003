#pragma once

#include "lycheespool/request/outlier_ejection.h"
#include "lycheespool/request/routing.h"
#include "lycheespool/request/thread_random.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <utility>

namespace lycheespool {

/**
 * @brief Chooses the cheaper of two random executors with free slots (power of two choices).
 *
 * The cost of an executor grows with its load, its latency, its recent failures and its distance. Outliers are
 * ejected; after an ejection, the number of usable slots rises gradually (slow start).
 *
 * @tparam Random Source of random bits: a fixed seed in tests, otherwise a thread-safe source.
 */
template <std::uniform_random_bit_generator Random = ThreadRandom>
class PowerOfTwo {
public:
    static constexpr bool retries = true;
    /*! @brief Cost factor of another zone; small, because the latency already contains the network distance. */
    static constexpr double crossZoneFactor = 1.25;
    /*! @brief Cost factor of an executor that always fails, until it is ejected. */
    static constexpr double failureFactor = 10;

    PowerOfTwo() = default;

    /**
     * @brief Constructs a policy with a given source of random bits.
     * @param random The source.
     */
    explicit PowerOfTwo(Random random)
        : m_random { std::move(random) }
    {
    }

    /**
     * @brief Chooses a node.
     * @param nodes Known nodes.
     * @param context Request and time.
     * @return The node, or null when none is eligible.
     */
    [[nodiscard]] ExecutorNodePtr choose(const Membership::Nodes& nodes, const RoutingContext& context)
    {
        if (nodes.empty())
            return nullptr;
        const auto* first = sample(nodes, context, nullptr);
        if (!first)
            return scan(nodes, context);
        const auto* second = sample(nodes, context, first);
        return second && isBetter(**second, **first, context) ? *second : *first;
    }

    /**
     * @brief Returns the number of usable slots.
     * @param node A node in service.
     * @param now Current time.
     * @return 0 for an ejected node, a rising number during a slow start, otherwise all slots.
     */
    [[nodiscard]] std::uint32_t usableSlots(const ExecutorNode& node, TimePoint now) const
    {
        if (node.health.isEjected(now))
            return 0;
        return static_cast<std::uint32_t>(std::ceil(node.slots * node.health.workShare(now)));
    }

    /**
     * @brief Records the result of a call.
     * @param nodes Known nodes.
     * @param node The node that was called.
     * @param result Result of the call.
     * @param elapsed Duration of the call.
     * @param now Current time.
     */
    void recordResult(
        const Membership::Nodes& nodes, ExecutorNode& node, const CallResult& result, Duration elapsed, TimePoint now)
    {
        if (result.noFreeSlot)
            return;
        if (result.outcome == Outcome::done && result.status < serverError)
            node.health.recordSuccess(elapsed, now);
        else
            node.health.recordFailure();
        m_ejection.ejectIfOutlier(nodes, node, now);
    }

private:
    // With half of the nodes busy, one choice in 256 finds no free node in this many draws and falls back to a scan.
    static constexpr unsigned maxDraws = 8;
    static constexpr unsigned serverError = 500;

    [[nodiscard]] bool isUsable(const ExecutorNode& node, const RoutingContext& context) const
    {
        return isEligible(node, context) && node.usedSlots() < usableSlots(node, context.now);
    }

    [[nodiscard]] const ExecutorNodePtr* sample(
        const Membership::Nodes& nodes, const RoutingContext& context, const ExecutorNodePtr* other)
    {
        std::uniform_int_distribution<std::size_t> index { 0, nodes.size() - 1 };
        for (unsigned i = 0; i < maxDraws; ++i) {
            const auto& node = nodes[index(m_random)];
            if (&node != other && isUsable(*node, context))
                return &node;
        }
        return nullptr;
    }

    /*! @brief Finds the best usable node, or the best eligible one when every usable one is busy or ejected. */
    [[nodiscard]] ExecutorNodePtr scan(const Membership::Nodes& nodes, const RoutingContext& context) const
    {
        auto best = bestOf(nodes, context, [&](const auto& it) { return isUsable(it, context); });
        const auto anyInUse = std::ranges::any_of(nodes, [&](const auto& it) {
            return isInService(*it, context.zonesOut, context.now) && usableSlots(*it, context.now) > 0;
        });
        if (!best && !anyInUse)
            best = bestOf(nodes, context, [&](const auto& it) { return isEligible(it, context); });
        return best;
    }

    template <typename Filter>
    [[nodiscard]] ExecutorNodePtr bestOf(
        const Membership::Nodes& nodes, const RoutingContext& context, Filter filter) const
    {
        ExecutorNodePtr best;
        for (const auto& it : nodes) {
            if (filter(*it) && (!best || isBetter(*it, *best, context)))
                best = it;
        }
        return best;
    }

    [[nodiscard]] bool isBetter(
        const ExecutorNode& node, const ExecutorNode& other, const RoutingContext& context) const
    {
        const auto latency = node.health.latencyUs(context.now);
        const auto otherLatency = other.health.latencyUs(context.now);
        // Latency counts only if both nodes have a recent value.
        const bool comparable = latency > 0 && otherLatency > 0;
        return costOf(node, comparable ? latency : 1, context) < costOf(other, comparable ? otherLatency : 1, context);
    }

    [[nodiscard]] static double costOf(const ExecutorNode& node, double latency, const RoutingContext& context)
    {
        const auto load = static_cast<double>(node.usedSlots() + 1) / std::max(1U, node.slots);
        const auto distance = node.zone == context.zone ? 1 : crossZoneFactor;
        const auto failures = 1 + (failureFactor - 1) * node.health.failureRatio();
        return load * latency * distance * failures / node.health.workShare(context.now);
    }

    Random m_random;
    OutlierEjection m_ejection;
};

}
