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
/*! @brief Zones that an operator took out of service. */
using ZoneSet = std::set<ZoneId>;

/*! @brief Inputs of a routing decision besides the nodes. */
struct RoutingContext {
    const ZoneId& zone;
    const ZoneSet& zonesOut;
    const ExcludedNodes& excluded;
    TimePoint now;
};

/**
 * @brief Checks if a node may receive new work, regardless of its free slots.
 * @param node The node.
 * @param zonesOut Zones out of service.
 * @param now Current time.
 * @return False if the node is draining, sent no message for Membership::heartbeatTimeout, or its zone is out of
 * service.
 */
[[nodiscard]] bool isInService(const ExecutorNode& node, const ZoneSet& zonesOut, TimePoint now);

/**
 * @brief Checks if a node may receive this request now.
 * @param node The node.
 * @param context Request and time.
 * @return False if the node is out of service, excluded, or has no free slot.
 */
[[nodiscard]] bool isEligible(const ExecutorNode& node, const RoutingContext& context);

/**
 * @brief Chooses executors; all threads of the request path call it without a lock.
 *
 * - `choose(nodes, context)` returns an eligible node, or null.
 * - `usableSlots(node, now)` returns how many slots of a node in service the policy uses at present.
 * - `recordResult(nodes, node, result, elapsed, now)` records the result of a call.
 * - `retries` is true if a request is sent to another executor after a failure.
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
    policy.recordResult(nodes, node, result, elapsed, now);
    {
        Type::retries
        } -> std::convertible_to<bool>;
};

}
