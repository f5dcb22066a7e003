#pragma once

#include "lycheespool/core/published.h"
#include "lycheespool/request/executor_node.h"
#include "lycheespool/wire/messages.h"

#include <memory>
#include <vector>

namespace lycheespool {

/*! @brief Executors that announced themselves to this entry, as a read-copy-update snapshot. */
class Membership {
public:
    /*! @brief Type of the snapshot. */
    using Nodes = std::vector<ExecutorNodePtr>;
    /*! @brief Time without a message after which an executor gets no new work. */
    static constexpr Duration silenceLimit = std::chrono::milliseconds { 1500 };

    /**
     * @brief Adds an executor or replaces its earlier incarnation.
     * @param hello Announcement.
     * @param connection Connection to its agent.
     * @param now Present time.
     */
    void join(const Hello& hello, std::shared_ptr<RpcConnection> connection, TimePoint now);

    /**
     * @brief Records a heartbeat.
     * @param agent The agent.
     * @param heartbeat Its report.
     * @param now Present time.
     */
    void report(const AgentId& agent, const Heartbeat& heartbeat, TimePoint now);

    /**
     * @brief Stops new work for an executor that announced its departure.
     * @param agent The agent.
     * @param incarnation Incarnation that leaves.
     * @return False when that incarnation is not known.
     */
    bool leave(const AgentId& agent, Incarnation incarnation);

    /**
     * @brief Removes an executor whose connection ended.
     * @param connection The connection.
     */
    void disconnect(const RpcConnection* connection);

    /**
     * @brief Gives the cell of the snapshot, for a Reader per thread.
     * @return The cell.
     */
    [[nodiscard]] const Published<Nodes>& nodes() const { return m_nodes; }

private:
    Published<Nodes> m_nodes;
};

}
