#pragma once

#include "lycheespool/core/log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/document/audit_log.h"
#include "lycheespool/entry/agent_directory.h"
#include "lycheespool/entry/leader_reporter.h"
#include "lycheespool/net/io_pool.h"
#include "lycheespool/net/sleep.h"
#include "lycheespool/placement/planner.h"
#include "lycheespool/scheduler/scheduler.h"
#include "lycheespool/store/table.h"

#include <atomic>
#include <chrono>
#include <memory>

namespace lycheespool {

/**
 * @brief Runs the scheduler of an entry on the control thread; other threads post agents' messages to it.
 * @tparam TableType Model of Table.
 */
template <Table TableType>
class SchedulerHost {
public:
    using SchedulerType = Scheduler<Planner, TableType, AgentDirectory>;
    /*! @brief Time between two steps; adds to the start latency of urgent jobs. */
    static constexpr Duration stepInterval = std::chrono::milliseconds { 100 };

    /**
     * @brief Creates a host.
     * @param context Context of the control thread.
     * @param settings Domain, name and incarnation of this entry.
     * @param table Table service.
     * @param agents Sends orders to agents.
     * @param metrics Registry for counters.
     */
    SchedulerHost(asio::io_context& context, const SchedulerSettings& settings, TableType& table,
        AgentDirectory& agents, Metrics& metrics)
        : m_context { context }
        , m_audit { table, settings.entry, settings.incarnation, metrics }
        , m_reporter { table, m_audit, settings.entry, settings.domain }
        , m_scheduler { context.get_executor(), settings, [this] { return makePlanner(); }, table, agents, metrics }
    {
    }

    /*! @brief Starts the scheduler loop and the audit log. */
    void start()
    {
        asio::co_spawn(m_context, run(), asio::detached);
        asio::co_spawn(m_context, m_audit.run(), asio::detached);
    }

    /*! @brief Stops the scheduler loop and the audit log; the lease expires on its own. */
    void stop()
    {
        m_stopped = true;
        m_audit.stop();
    }

    /**
     * @brief Replaces the guarantees; to be called on the control thread.
     * @param guarantees The guarantees.
     */
    void setGuarantees(Guarantees guarantees)
    {
        m_guarantees = std::move(guarantees);
        if (auto* planner = m_scheduler.policy())
            planner->setGuarantees(m_guarantees, SteadyClock {}.now());
    }

    /**
     * @brief Calls a function with the scheduler on the control thread.
     * @tparam Call Callable with a reference to the scheduler.
     * @param call The callable.
     */
    template <typename Call>
    void post(Call call)
    {
        asio::post(m_context, [this, call = std::move(call)]() mutable { call(m_scheduler); });
    }

    /**
     * @brief Checks if this entry leads its domain; callable from any thread.
     * @return True while this entry is the leader.
     */
    [[nodiscard]] bool isLeader() const { return m_leader; }

    /**
     * @brief Returns the newest epoch that the scheduler knows; callable from any thread.
     * @return The epoch.
     */
    [[nodiscard]] Epoch newestEpoch() const { return Epoch { m_epoch.load() }; }

private:
    [[nodiscard]] std::unique_ptr<Planner> makePlanner() const
    {
        auto planner = std::make_unique<Planner>();
        planner->setGuarantees(m_guarantees, SteadyClock {}.now());
        return planner;
    }

    [[nodiscard]] Awaitable<> run()
    {
        while (!m_stopped) {
            const auto now = SteadyClock {}.now();
            co_await m_scheduler.step(now);
            m_epoch = m_scheduler.newestEpoch().value();
            m_leader = m_scheduler.isLeader();
            if (m_leader)
                co_await m_reporter.report(*m_scheduler.policy(), m_scheduler.newestEpoch(), now);
            co_await sleepFor(stepInterval);
        }
    }

    asio::io_context& m_context;
    Guarantees m_guarantees;
    AuditLog<TableType> m_audit;
    LeaderReporter<TableType> m_reporter;
    SchedulerType m_scheduler;
    std::atomic<std::uint64_t> m_epoch { 0 };
    std::atomic<bool> m_leader { false };
    std::atomic<bool> m_stopped { false };
};

}
