#include "lycheespool/request/membership.h"

#include <algorithm>

namespace lycheespool {

void Membership::join(const Hello& hello, std::shared_ptr<RpcConnection> connection, TimePoint now)
{
    auto node = std::make_shared<ExecutorNode>();
    node->agent = hello.agent;
    node->incarnation = hello.incarnation;
    node->zone = hello.zone;
    node->slots = hello.slots;
    node->slotsFree = hello.slots;
    node->connection = std::move(connection);
    node->lastHeartbeatAt = now.time_since_epoch().count();
    node->joinedAt = now;
    m_nodes.update([&](Nodes& nodes) {
        std::erase_if(nodes, [&](const auto& it) { return it->agent == hello.agent; });
        // No slow start if all executors are new, as after the start of the entry: no other executor could take the
        // load.
        const auto isEstablished = [&](const auto& it) { return now - it->joinedAt >= NodeHealth::slowStartTime; };
        if (std::ranges::any_of(nodes, isEstablished))
            node->health.beginSlowStart(now);
        nodes.push_back(node);
    });
}

void Membership::recordHeartbeat(const AgentId& agent, const Heartbeat& heartbeat, TimePoint now)
{
    const auto nodes = m_nodes.load();
    const auto it = std::ranges::find(*nodes, agent, &ExecutorNode::agent);
    if (it == nodes->end() || (*it)->incarnation != heartbeat.incarnation)
        return;
    (*it)->recordFreeSlots(heartbeat.slotsFree);
    (*it)->lastHeartbeatAt = now.time_since_epoch().count();
    if (heartbeat.draining)
        (*it)->draining = true;
}

bool Membership::markDraining(const AgentId& agent, Incarnation incarnation)
{
    const auto nodes = m_nodes.load();
    const auto it = std::ranges::find(*nodes, agent, &ExecutorNode::agent);
    if (it == nodes->end() || (*it)->incarnation != incarnation)
        return false;
    (*it)->draining = true;
    return true;
}

void Membership::disconnect(const RpcConnection* connection)
{
    m_nodes.update([&](Nodes& nodes) {
        std::erase_if(nodes, [&](const auto& it) { return it->connection.get() == connection; });
    });
}

}
