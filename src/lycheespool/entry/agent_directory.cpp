#include "lycheespool/entry/agent_directory.h"

#include "lycheespool/core/error.h"

#include <algorithm>

namespace lycheespool {

void AgentDirectory::add(const Hello& hello, std::shared_ptr<RpcConnection> connection)
{
    const std::scoped_lock lock { m_mutex };
    m_agents.insert_or_assign(hello.agent, Agent { hello, std::move(connection) });
}

std::optional<AgentId> AgentDirectory::remove(const RpcConnection* connection)
{
    const std::scoped_lock lock { m_mutex };
    const auto it = std::ranges::find_if(
        m_agents, [&](const auto& agent) { return agent.second.connection.get() == connection; });
    if (it == m_agents.end())
        return std::nullopt;
    auto id = it->first;
    m_agents.erase(it);
    return id;
}

std::optional<Hello> AgentDirectory::find(const RpcConnection* connection) const
{
    const std::scoped_lock lock { m_mutex };
    const auto it = std::ranges::find_if(
        m_agents, [&](const auto& agent) { return agent.second.connection.get() == connection; });
    return it == m_agents.end() ? std::nullopt : std::optional { it->second.hello };
}

std::vector<WorkerGroup> AgentDirectory::workers() const
{
    const std::scoped_lock lock { m_mutex };
    std::vector<WorkerGroup> groups;
    for (const auto& [id, agent] : m_agents) {
        const auto& hello = agent.hello;
        if (hello.kind == EndpointKind::worker)
            groups.push_back({ hello.zone, hello.rack, 1, hello.cores, hello.memoryMiB, hello.accelerators });
    }
    return groups;
}

Awaitable<OrderReply> AgentDirectory::send(const AgentId& agent, Order order, Duration timeout)
{
    std::shared_ptr<RpcConnection> connection;
    {
        const std::scoped_lock lock { m_mutex };
        const auto it = m_agents.find(agent);
        if (it == m_agents.end())
            throw Error { ErrorKind::unavailable, "agent " + agent.value() + " is not connected",
                "check that the agent runs and can reach this entry" };
        connection = it->second.connection;
        if (order.incarnation.value() == 0)
            order.incarnation = it->second.hello.incarnation;
    }
    co_return co_await connection->call<OrderReply>(std::move(order), timeout);
}

}
