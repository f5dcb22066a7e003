#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/document/worker_group.h"
#include "lycheespool/net/rpc_connection.h"
#include "lycheespool/wire/messages.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lycheespool {

/*! @brief Connections of the agents that announced themselves to this entry; sends orders to them. */
class AgentDirectory {
public:
    /*! @brief An agent that announced itself. */
    struct Agent {
        Hello hello;
        std::shared_ptr<RpcConnection> connection;
    };

    /**
     * @brief Adds an agent or replaces its earlier connection.
     * @param hello Announcement.
     * @param connection Its connection.
     */
    void add(const Hello& hello, std::shared_ptr<RpcConnection> connection);

    /**
     * @brief Removes the agent of a connection that ended.
     * @param connection The connection.
     * @return The agent, unless it has announced itself again since.
     */
    std::optional<AgentId> remove(const RpcConnection* connection);

    /**
     * @brief Finds the agent of a connection.
     * @param connection The connection.
     * @return The announcement, or nothing when the connection has none.
     */
    [[nodiscard]] std::optional<Hello> find(const RpcConnection* connection) const;

    /**
     * @brief Lists the workers of the connected agents.
     * @return One group of size 1 per worker.
     */
    [[nodiscard]] std::vector<WorkerGroup> workers() const;

    /**
     * @brief Sends an order; a model of OrderChannel.
     * @param agent Receiver.
     * @param order The order; its incarnation is filled in when it is 0.
     * @param timeout Maximum time to wait for the reply.
     * @return The agent's reply.
     * @throws Error of kind unavailable when the agent is not connected, otherwise as RpcConnection::call.
     */
    [[nodiscard]] Awaitable<OrderReply> send(const AgentId& agent, Order order, Duration timeout);

private:
    using Agents = std::map<AgentId, Agent>;

    mutable std::mutex m_mutex;
    Agents m_agents;
    /*! @brief Agents by connection; each heartbeat looks up its agent here. */
    std::unordered_map<const RpcConnection*, Agents::const_iterator> m_byConnection;
};

}
