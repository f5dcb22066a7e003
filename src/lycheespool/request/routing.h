#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/request/call_result.h"
#include "lycheespool/request/executor_node.h"
#include "lycheespool/request/membership.h"

#include <concepts>
#include <set>
#include <utility>
#include <vector>

namespace lycheespool {

/*! @brief Incarnations of agents that a request must not be sent to (again). */
using ExcludedNodes = std::vector<std::pair<AgentId, Incarnation>>;
/*! @brief Zones that operators took out of service. */
using ZoneSet = std::set<ZoneId>;

/*! @brief What a routing decision depends on besides the nodes. */
struct RoutingContext {
    const ZoneId& zone;
    const ZoneSet& zonesOut;
    const ExcludedNodes& excluded;
    TimePoint now;
};

/**
 * @brief Tells whether a node may get new work at all, busy or not.
 * @param node The node.
 * @param zonesOut Zones out of service.
 * @param now Present time.
 * @return False when it drains, was silent for Membership::silenceLimit, or its zone is out of service.
 */
[[nodiscard]] bool isInService(const ExecutorNode& node, const ZoneSet& zonesOut, TimePoint now);

/**
 * @brief Tells whether a node may get this request now.
 * @param node The node.
 * @param context Request and time.
 * @return False when it is out of service, excluded, or has no free slot.
 */
[[nodiscard]] bool isEligible(const ExecutorNode& node, const RoutingContext& context);

/**
 * @brief Chooses executors; called from all threads of the request path without a lock.
 *
 * - `choose(nodes, context)` gives an eligible node, or null.
 * - `usableSlots(node, now)` gives the number of slots of a node in service that it wants to use now.
 * - `finished(nodes, node, result, elapsed, now)` takes what became of a call.
 * - `retries` tells whether requests are sent to another executor after a failure.
 */
template <typename Type>
concept RoutingPolicy = requires(Type& policy, const Membership::Nodes& nodes, const RoutingContext& context,
    ExecutorNode& node, const CallResult& result, Duration elapsed, TimePoint now)
{
    {
        policy.choose(nodes, context)
        } -> std::same_as<ExecutorNodePtr>;
    {
        policy.usableSlots(node, now)
        } -> std::same_as<std::uint32_t>;
    policy.finished(nodes, node, result, elapsed, now);
    {
        Type::retries
        } -> std::convertible_to<bool>;
};

}
