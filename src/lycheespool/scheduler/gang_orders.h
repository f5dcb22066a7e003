#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/scheduler/agent_view.h"
#include "lycheespool/scheduler/leader_elector.h"
#include "lycheespool/scheduler/managed_job.h"
#include "lycheespool/scheduler/order_outcome.h"
#include "lycheespool/scheduler/order_sender.h"
#include "lycheespool/wire/messages.h"

#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace lycheespool {

/*! @brief Agents by worker. */
using AgentViews = std::map<WorkerId, AgentView>;

/**
 * @brief Sends orders to the workers of a gang, with epoch and incarnation, only while the lease is held.
 * @tparam TableType Model of Table.
 * @tparam Orders Model of OrderChannel.
 * @tparam Clock Has `now()`.
 */
template <typename TableType, typename Orders, typename Clock>
class GangOrders {
public:
    /**
     * @brief Creates a sender.
     * @param channel Transport of the orders; must outlive this object.
     * @param lease Lease of this process; must outlive this object.
     * @param agents The agents; must outlive this object.
     */
    GangOrders(Orders& channel, LeaderElector<TableType, Clock>& lease, const AgentViews& agents)
        : m_sender { channel }
        , m_lease { lease }
        , m_agents { agents }
    {
    }

    /**
     * @brief Sets the document revision that later orders carry.
     * @param revision Revision on which the decisions are based.
     */
    void setRevision(Revision revision) { m_revision = revision; }

    /**
     * @brief Sends one order to all members.
     * @param kind Kind of the order.
     * @param record The job.
     * @param attempt Attempt of the job.
     * @param members Task numbers by worker.
     * @return Outcomes; without the lease or a known agent, an order is not sent and not accepted.
     */
    [[nodiscard]] Awaitable<OrderOutcomes> send(
        OrderKind kind, const JobRecord& record, Attempt attempt, const GangMembers& members)
    {
        OrderOutcomes unsent;
        std::vector<std::pair<WorkerId, Order>> orders;
        for (const auto& [worker, tasks] : members) {
            const auto agent = m_agents.find(worker);
            if (agent == m_agents.end() || !m_lease.isHeld()) {
                const auto* const reason
                    = m_lease.isHeld() ? "is not connected" : "no order was sent, the lease has expired";
                unsent.push_back({ worker, false, reason, 0 });
                continue;
            }
            auto order = makeOrder(kind, record, attempt, agent->second.incarnation());
            order.tasks = tasks;
            orders.emplace_back(worker, std::move(order));
        }
        auto outcomes = co_await m_sender.send(std::move(orders));
        outcomes.insert(outcomes.end(), unsent.begin(), unsent.end());
        co_return outcomes;
    }

private:
    [[nodiscard]] Order makeOrder(
        OrderKind kind, const JobRecord& record, Attempt attempt, Incarnation incarnation) const
    {
        Order order;
        order.epoch = m_lease.epoch();
        order.incarnation = incarnation;
        order.kind = kind;
        order.job = record.spec.id;
        order.attempt = attempt;
        order.coresPerTask = record.spec.perTask.cores;
        order.memoryMiBPerTask = record.spec.perTask.memoryMiB;
        order.acceleratorsPerTask = record.spec.perTask.accelerators;
        order.runTimeMs = toMs(record.runTime());
        order.revision = m_revision;
        order.progressMs = toMs(record.checkpoint);
        return order;
    }

    [[nodiscard]] static std::uint64_t toMs(Duration length)
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
    }

    OrderSender<Orders> m_sender;
    LeaderElector<TableType, Clock>& m_lease;
    const AgentViews& m_agents;
    Revision m_revision;
};

}
