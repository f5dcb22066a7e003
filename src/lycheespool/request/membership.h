#pragma once

#include "lycheespool/core/published.h"
#include "lycheespool/request/executor_node.h"
#include "lycheespool/wire/messages.h"

#include <memory>
#include <vector>

namespace lycheespool {

/*! @brief Executors that announced themselves to this entry, published as read-copy-update snapshots. */
class Membership {
public:
    /*! @brief Type of the snapshot. */
    using Nodes = std::vector<ExecutorNodePtr>;
    /*! @brief Time without an announcement or a heartbeat after which an executor receives no new work. */
    static constexpr Duration heartbeatTimeout = std::chrono::milliseconds { 1500 };

    /**
     * @brief Adds an executor, or replaces its previous incarnation.
     * @param hello Announcement.
     * @param connection Connection to its agent.
     * @param now Current time.
     */
    void join(const Hello& hello, std::shared_ptr<RpcConnection> connection, TimePoint now);

    /**
     * @brief Records a heartbeat.
     * @param agent The agent.
     * @param heartbeat Heartbeat of the agent.
     * @param now Current time.
     */
    void recordHeartbeat(const AgentId& agent, const Heartbeat& heartbeat, TimePoint now);

    /**
     * @brief Marks an executor that announced its departure as draining, so that it receives no new work.
     * @param agent The agent.
     * @param incarnation Departing incarnation.
     * @return False if that incarnation is not known.
     */
    bool markDraining(const AgentId& agent, Incarnation incarnation);

    /**
     * @brief Removes the executors of a closed connection.
     * @param connection The connection.
     */
    void disconnect(const RpcConnection* connection);

    /**
     * @brief Returns the cell of the snapshot, for one Reader per thread.
     * @return The cell.
     */
    [[nodiscard]] const Published<Nodes>& nodes() const { return m_nodes; }

private:
    Published<Nodes> m_nodes;
};

}
