#include "lycheespool/request/routing.h"

#include <algorithm>

namespace lycheespool {

bool isInService(const ExecutorNode& node, const ZoneSet& zonesOut, TimePoint now)
{
    const TimePoint lastHeartbeat { TimePoint::duration { node.lastHeartbeatAt.load(std::memory_order_relaxed) } };
    return !node.draining.load(std::memory_order_relaxed) && now - lastHeartbeat < Membership::heartbeatTimeout
        && !zonesOut.contains(node.zone);
}

bool isEligible(const ExecutorNode& node, const RoutingContext& context)
{
    const auto isNode = [&](const auto& it) { return it.first == node.agent && it.second == node.incarnation; };
    return node.freeSlots() > 0 && isInService(node, context.zonesOut, context.now)
        && std::ranges::none_of(context.excluded, isNode);
}

}
