#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/net/when_all.h"
#include "lycheespool/placement/placement_policy.h"
#include "lycheespool/scheduler/agent_view.h"
#include "lycheespool/scheduler/gang_orders.h"
#include "lycheespool/scheduler/job_rows.h"
#include "lycheespool/scheduler/job_store.h"
#include "lycheespool/scheduler/leader_elector.h"
#include "lycheespool/scheduler/managed_job.h"
#include "lycheespool/scheduler/scheduler_settings.h"
#include "lycheespool/wire/messages.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lycheespool {

/**
 * @brief Leader or candidate of a scheduling domain; executes placement decisions by sending orders to agents.
 *
 * Not thread-safe: all functions must be called on one thread. The scheduler must outlive the operations that step()
 * starts: destroy it only after its executor has stopped, or when operations() is 0.
 *
 * @tparam Policy Model of PlacementPolicy.
 * @tparam TableType Model of Table.
 * @tparam Orders Model of OrderChannel.
 * @tparam Clock Has `now()`.
 */
template <typename Policy, typename TableType, typename Orders, typename Clock = SteadyClock>
class Scheduler {
public:
    static_assert(PlacementPolicy<Policy>);

    /*! @brief Creates an empty policy after each takeover. */
    using MakePolicy = std::function<std::unique_ptr<Policy>()>;

    /*! @brief Time without a heartbeat after which a worker is lost; 3 s longer than the leases of its tasks. */
    static constexpr Duration workerLostAfter = std::chrono::seconds { 33 };
    /**
     * @brief Time without a complete heartbeat after which a worker is lost, although its agent sends heartbeats.
     *
     * An agent renews leases of 30 s for 5 s after it last listed its tasks, and heartbeats are up to 10 s apart, so
     * all leases have expired by then.
     */
    static constexpr Duration tasksUnknownAfter = std::chrono::seconds { 45 };
    /*! @brief Time without a heartbeat after which a disconnected agent is removed. */
    static constexpr Duration agentRetention = std::chrono::minutes { 10 };
    /*! @brief A report is considered newer than a start if it arrives at least this long after the start's replies. */
    static constexpr Duration reportDelay = std::chrono::seconds { 3 };
    /*! @brief Time between checkpoints of a running gang, which limits the work lost in a failure. */
    static constexpr Duration checkpointInterval = std::chrono::minutes { 10 };
    /*! @brief Time for which a planned stop retries a checkpoint before it stops the gang without one. */
    static constexpr Duration checkpointTimeout = std::chrono::seconds { 30 };
    /*! @brief Time before a refused start is planned again. */
    static constexpr Duration retryDelay = std::chrono::seconds { 1 };
    /*! @brief Time for which a worker that refused is kept out of the policy; longer than a reservation. */
    static constexpr Duration suspensionTime = std::chrono::seconds { 6 };
    /*! @brief Maximum number of inbox rows processed per step, which limits its reads and its transaction. */
    static constexpr std::size_t maxInboxRowsPerStep = 200;

    /**
     * @brief Creates a candidate.
     * @param executor Executor of the thread that calls it.
     * @param settings Domain and identity.
     * @param makePolicy Creates a policy with its guarantees set.
     * @param table The table; must outlive this object.
     * @param orders Transport of orders; must outlive this object.
     * @param metrics Registry for the counters.
     * @param clock Clock of the process.
     */
    Scheduler(const asio::any_io_executor& executor, const SchedulerSettings& settings, MakePolicy makePolicy,
        TableType& table, Orders& orders, Metrics& metrics, Clock clock = {});

    /**
     * @brief Processes the first message of an agent.
     * @param agent The agent.
     * @param hello Its message; ignored unless the agent belongs to a worker.
     * @param now Current time.
     */
    void onHello(const AgentId& agent, const Hello& hello, TimePoint now);

    /**
     * @brief Processes a heartbeat.
     * @param agent The agent.
     * @param heartbeat Its report; ignored before the agent's hello or from another incarnation.
     * @param now Current time.
     */
    void onHeartbeat(const AgentId& agent, const Heartbeat& heartbeat, TimePoint now);

    /**
     * @brief Processes the end of an agent's connection; its worker is lost only after workerLostAfter.
     * @param agent The agent.
     * @param now Current time.
     */
    void onDisconnected(const AgentId& agent, TimePoint now);

    /**
     * @brief Sets the zones that are out of service.
     * @param zones All zones that are out of service.
     * @param revision Document revision of this list; orders carry it.
     * @param now Current time.
     */
    void setZonesOut(const std::vector<ZoneId>& zones, Revision revision, TimePoint now);

    /**
     * @brief Performs all due work; must be called several times per second, after the previous call has completed.
     * @param now Current time.
     */
    [[nodiscard]] Awaitable<> step(TimePoint now);

    /**
     * @brief Checks if this process acts as the leader.
     * @return True while the lease is held and the state has been rebuilt.
     */
    [[nodiscard]] bool isLeader() const { return m_rebuilt && m_lease.isHeld(); }

    /**
     * @brief Returns the highest epoch seen in the lease row, which entries announce to agents.
     * @return The epoch.
     */
    [[nodiscard]] Epoch newestEpoch() const { return m_lease.newestEpoch(); }

    /**
     * @brief Returns the number of operations in progress.
     * @return Number of operations that refer to this object.
     */
    [[nodiscard]] std::size_t operations() const { return m_operations; }

    /**
     * @brief Returns the number of jobs that have not ended.
     * @return Number of jobs; 0 unless this process is the leader.
     */
    [[nodiscard]] std::size_t jobs() const { return m_jobs.size(); }

    /**
     * @brief Returns the policy, for reports to operators and changes of guarantees.
     * @return The policy, or null unless this process has taken over and rebuilt its state.
     */
    [[nodiscard]] Policy* policy() { return m_policy.get(); }

private:
    using JobPtr = std::shared_ptr<ManagedJob>;

    // Lease, state rebuild and inbox
    [[nodiscard]] Awaitable<> stepOnce(TimePoint now);
    void apply(LeaseEvent event, TimePoint now);
    void clearLeaderState();
    [[nodiscard]] Awaitable<> rebuild(TimePoint now);
    [[nodiscard]] Awaitable<> processInbox(TimePoint now);
    void applyJobRow(const Row& row, TimePoint now);
    void add(JobRecord record, std::uint64_t version);

    // Workers
    void removeSilentAgents(TimePoint now);
    void markLostWorkers(TimePoint now);
    void removeDrainingWorkers(TimePoint now);
    void addUsableWorkers(TimePoint now);
    void stopGangsOn(const WorkerId& worker, const std::string& reason, TimePoint now);
    void suspend(const WorkerId& worker, TimePoint now);
    [[nodiscard]] std::set<WorkerId> blockedWorkers() const;
    [[nodiscard]] bool isLost(const WorkerId& worker, TimePoint now) const;
    [[nodiscard]] const AgentView* agentOf(const WorkerId& worker) const;
    [[nodiscard]] const TaskReport* reportOf(const ManagedJob& job, std::uint32_t task) const;

    // Jobs
    void reconcile(TimePoint now);
    void reconcile(const JobPtr& job, TimePoint now);
    void reconcileWaiting(ManagedJob& job, TimePoint now);
    void reconcileRunning(const JobPtr& job, TimePoint now);
    void recover(ManagedJob& job, TimePoint now);
    [[nodiscard]] bool allWorkersReported(const ManagedJob& job) const;
    [[nodiscard]] std::optional<std::string> findTaskFailure(ManagedJob& job, std::uint32_t task, TimePoint now);
    [[nodiscard]] bool allTasksInState(const ManagedJob& job, std::string_view state) const;
    void cancel(ManagedJob& job, TimePoint now);
    void finish(ManagedJob& job, TimePoint now);
    void end(ManagedJob& job, JobState state, const std::string& reason);
    void beginStop(ManagedJob& job, JobState next, const std::string& reason, bool checkpoint, TimePoint now);
    void updateCheckpointFromReports(ManagedJob& job) const;
    void stopUnexpectedTasks();
    void stopUnexpectedTasks(const WorkerId& worker, const AgentView& agent);
    [[nodiscard]] bool isExpected(const TaskKey& key) const;

    // Decisions
    void plan(TimePoint now);
    void execute(const StartGang& decision, TimePoint now);
    void execute(const EvictGang& decision, TimePoint now);
    void execute(const FailJob& decision, TimePoint now);

    // Operations; at most one per job at a time
    void spawn(const JobPtr& job, Awaitable<> operation);
    void spawn(Awaitable<> operation);
    void onOperationEnded(const std::exception_ptr& error);
    [[nodiscard]] Awaitable<> startGang(JobPtr job);
    [[nodiscard]] Awaitable<> sendStart(JobPtr job, Attempt attempt, const GangMembers& members);
    [[nodiscard]] Awaitable<bool> reserveGang(JobPtr job, Attempt attempt, const GangMembers& members);
    [[nodiscard]] Awaitable<bool> writeRunning(JobPtr job, Attempt attempt);
    [[nodiscard]] Awaitable<> abandonStart(JobPtr job, Attempt attempt, const GangMembers& members);
    [[nodiscard]] Awaitable<> stopGang(JobPtr job);
    [[nodiscard]] Awaitable<bool> checkpointBeforeStop(JobPtr job);
    [[nodiscard]] Awaitable<> stopMembers(JobPtr job);
    [[nodiscard]] Awaitable<> writeStopped(JobPtr job);
    [[nodiscard]] Awaitable<> checkpointGang(JobPtr job);
    [[nodiscard]] Awaitable<> flush(JobPtr job);
    [[nodiscard]] Awaitable<> reload(JobPtr job);
    [[nodiscard]] Awaitable<> stopTask(WorkerId worker, TaskKey key);
    [[nodiscard]] bool mayAct(const JobPtr& job) const;
    [[nodiscard]] bool isCurrent(const JobPtr& job) const;

    asio::any_io_executor m_executor;
    MakePolicy m_makePolicy;
    TableType& m_table;
    Clock m_clock;
    LeaderElector<TableType, Clock> m_lease;
    JobStore<TableType, Clock> m_store;
    AgentViews m_agents;
    GangOrders<TableType, Orders, Clock> m_orders;
    std::unique_ptr<Policy> m_policy;
    std::map<JobId, JobPtr> m_jobs;
    std::set<ZoneId> m_zonesOut;
    /*! @brief Jobs with a stop order in progress for an unexpected task, by worker. */
    std::set<std::pair<WorkerId, JobId>> m_unexpectedTaskStops;
    /*! @brief Heartbeat timeouts start here at the earliest: at takeover, or when an expired lease was renewed. */
    TimePoint m_observingSince {};
    TimePoint m_tookOverAt {};
    std::size_t m_operations { 0 };
    bool m_stepping { false };
    bool m_leading { false };
    bool m_rebuilt { false };
    Counter& m_stepFailures;
    Counter& m_gangsStarted;
    Counter& m_startsRefused;
    Counter& m_gangsStopped;
    Counter& m_workersLost;
    Counter& m_malformedRows;
    Counter& m_operationsFailed;
};

}

#include "lycheespool/scheduler/detail/scheduler_gangs.h"
#include "lycheespool/scheduler/detail/scheduler_jobs.h"
#include "lycheespool/scheduler/detail/scheduler_lease.h"
#include "lycheespool/scheduler/detail/scheduler_workers.h"
