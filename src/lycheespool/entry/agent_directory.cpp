#include "lycheespool/entry/agent_directory.h"

#include "lycheespool/core/error.h"

namespace lycheespool {

void AgentDirectory::add(const Hello& hello, std::shared_ptr<RpcConnection> connection)
{
    const std::scoped_lock lock { m_mutex };
    const auto* key = connection.get();
    const auto previous = m_byConnection.find(key);
    if (previous != m_byConnection.end() && previous->second->first != hello.agent)
        m_agents.erase(previous->second);
    if (const auto it = m_agents.find(hello.agent); it != m_agents.end())
        m_byConnection.erase(it->second.connection.get());
    const auto it = m_agents.insert_or_assign(hello.agent, Agent { hello, std::move(connection) }).first;
    m_byConnection.insert_or_assign(key, it);
}

std::optional<AgentId> AgentDirectory::remove(const RpcConnection* connection)
{
    const std::scoped_lock lock { m_mutex };
    const auto it = m_byConnection.find(connection);
    if (it == m_byConnection.end())
        return std::nullopt;
    auto id = it->second->first;
    m_agents.erase(it->second);
    m_byConnection.erase(it);
    return id;
}

std::optional<Hello> AgentDirectory::find(const RpcConnection* connection) const
{
    const std::scoped_lock lock { m_mutex };
    const auto it = m_byConnection.find(connection);
    return it == m_byConnection.end() ? std::nullopt : std::optional { it->second->second.hello };
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
