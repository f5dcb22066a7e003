#pragma once

#include "lycheespool/controller/lease_row.h"
#include "lycheespool/net/rpc_server.h"
#include "lycheespool/nodeagent/node_agent.h"
#include "lycheespool/store/fake_row_store.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

namespace lycheespool {

/**
 * @brief An agent with an executor, and a leader that stores all ends.
 * @tparam Control Model of ExecutorControl.
 */
template <ExecutorControl Control>
class AgentWithLeader {
public:
    /**
     * @brief Starts the agent and the leader.
     * @param control Calls to the executor; must outlive the object.
     */
    explicit AgentWithLeader(Control& control)
        : m_server { m_pool, { "127.0.0.1", 0 }, m_metrics,
            [this](const auto& source, Envelope envelope) { answer(source, envelope); }, [](const auto&) {} }
    {
        m_server.start();
        StoredRow row;
        row.name = RowNames {}.lease();
        row.value = packValue(LeaseRow { "leader", 1, m_server.address().toString(), 1 });
        row.version = ++m_rows.version;
        m_rows.rows[row.name] = row;
        m_settings.node = "node";
        m_agent = std::make_shared<NodeAgent<FakeRowStore, Control>>(
            m_context.get_executor(), m_settings, m_store, control, RowNames {}, m_metrics);
        m_agent->start();
    }
    ~AgentWithLeader()
    {
        m_server.stop();
        m_pool.stop();
        // The connection uses a context of the pool.
        m_source.reset();
    }
    AgentWithLeader(const AgentWithLeader&) = delete;
    AgentWithLeader& operator=(const AgentWithLeader&) = delete;

    void announce(std::int64_t startedUnixMs)
    {
        ExecutorAnnouncement announcement;
        announcement.lifetime = { "executor", startedUnixMs };
        announcement.sequence = 1;
        m_agent->onAnnouncement(announcement);
    }

    /*! @brief Runs the agent until a report satisfies a condition; returns false if none does in 10 s. */
    bool runUntil(const std::function<bool(const NodeReport&)>& condition)
    {
        const auto end = BootClock {}.now() + std::chrono::seconds { 10 };
        while (BootClock {}.now() < end) {
            m_context.run_for(std::chrono::milliseconds { 5 });
            if (std::ranges::any_of(reports(), condition))
                return true;
        }
        return false;
    }

    [[nodiscard]] std::vector<NodeReport> reports()
    {
        const std::lock_guard lock { m_mutex };
        return m_reports;
    }

    /*! @brief Sends an order for the lifetime that the latest report names. */
    void order(RunOrder order)
    {
        const std::lock_guard lock { m_mutex };
        NodeOrders orders;
        orders.epoch = Epoch { 1 };
        orders.lifetime = m_reports.back().lifetime;
        orders.basedOnMs = m_reports.back().sentAtMs;
        orders.orders.push_back(std::move(order));
        m_source->send(orders);
    }

    void runFor(Duration time) { m_context.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(time)); }

    std::atomic<bool> grantsPermits { true };

private:
    void answer(const std::shared_ptr<RpcConnection>& source, const Envelope& envelope)
    {
        if (envelope.type != MessageType::nodeReport)
            return;
        const auto report = envelope.as<NodeReport>();
        const std::lock_guard lock { m_mutex };
        m_source = source;
        m_reports.push_back(report);
        NodeReportReply reply;
        reply.leads = true;
        reply.active = true;
        reply.epoch = Epoch { 1 };
        reply.permitMs = grantsPermits ? 7000 : 0;
        reply.endsStored = report.ended.empty() ? 0 : report.ended.back().number;
        source->send(reply, envelope.correlation);
    }

    std::mutex m_mutex;
    std::vector<NodeReport> m_reports;
    std::shared_ptr<RpcConnection> m_source;
    FakeRows m_rows;
    FakeRowStore m_store { m_rows };
    NodeSettings m_settings;
    Metrics m_metrics;
    IoPool m_pool { 1 };
    RpcServer m_server;
    asio::io_context m_context;
    std::shared_ptr<NodeAgent<FakeRowStore, Control>> m_agent;
};

}
