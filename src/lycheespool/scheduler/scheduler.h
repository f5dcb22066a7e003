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
#include "lycheespool/scheduler/lease_keeper.h"
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
 * @brief The leader of a scheduling domain, or a candidate for it: turns placement decisions into orders.
 *
 * All functions are called on one thread. The scheduler must outlive the operations that step() starts: destroy it only
 * after its executor has stopped, or when operations() is 0.
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

    /*! @brief Makes an empty policy after each takeover. */
    using MakePolicy = std::function<std::unique_ptr<Policy>()>;

    /*! @brief Silence after which a worker is lost; 3 s longer than the leases of its tasks. */
    static constexpr Duration workerLostAfter = std::chrono::seconds { 33 };
    /**
     * @brief A worker whose agent answers but cannot list its tasks is lost after this time.
     *
     * An agent renews leases of 30 s for 5 s after its last list, and heartbeats are up to 10 s apart, so all leases
     * have expired by then.
     */
    static constexpr Duration tasksUnknownAfter = std::chrono::seconds { 45 };
    /*! @brief Silence after which nothing is kept of a disconnected agent. */
    static constexpr Duration forgetAfter = std::chrono::minutes { 10 };
    /*! @brief A report counts as newer than a start when it arrives this long after the start was answered. */
    static constexpr Duration reportDelay = std::chrono::seconds { 3 };
    /*! @brief Time between two checkpoints of a running gang, which bounds the work that a failure loses. */
    static constexpr Duration checkpointInterval = std::chrono::minutes { 10 };
    /*! @brief Longest time for which a planned stop waits for a checkpoint. */
    static constexpr Duration checkpointPatience = std::chrono::seconds { 30 };
    /*! @brief Time before a refused start is planned again. */
    static constexpr Duration retryDelay = std::chrono::seconds { 1 };
    /*! @brief Time for which a worker that refused is not offered to the policy; longer than a reservation. */
    static constexpr Duration suspension = std::chrono::seconds { 6 };
    /*! @brief Most changes taken in by one step, which bounds its reads and its transaction. */
    static constexpr std::size_t maxChanges = 200;

    /**
     * @brief Makes a candidate.
     * @param executor Executor of the thread that drives it.
     * @param settings Domain and own name.
     * @param makePolicy Makes a policy with its guarantees set.
     * @param table The table; must outlive this object.
     * @param orders Carries orders; must outlive this object.
     * @param metrics Registry for the counters.
     * @param clock Clock of the process.
     */
    Scheduler(const asio::any_io_executor& executor, const SchedulerSettings& settings, MakePolicy makePolicy,
        TableType& table, Orders& orders, Metrics& metrics, Clock clock = {});

    /**
     * @brief Takes the first message of an agent.
     * @param agent The agent.
     * @param hello Its message; ignored unless it stands beside a worker.
     * @param now Present time.
     */
    void onHello(const AgentId& agent, const Hello& hello, TimePoint now);

    /**
     * @brief Takes a heartbeat.
     * @param agent The agent.
     * @param heartbeat Its report; ignored before its hello and from another incarnation.
     * @param now Present time.
     */
    void onHeartbeat(const AgentId& agent, const Heartbeat& heartbeat, TimePoint now);

    /**
     * @brief Takes the end of an agent's connection; its worker is lost only after workerLostAfter.
     * @param agent The agent.
     * @param now Present time.
     */
    void onDisconnected(const AgentId& agent, TimePoint now);

    /**
     * @brief Takes the zones that are out of service.
     * @param zones All zones that are out of service.
     * @param revision Document revision that says so; orders name it.
     * @param now Present time.
     */
    void setZonesOut(const std::vector<ZoneId>& zones, Revision revision, TimePoint now);

    /**
     * @brief Does what is due; to be called several times per second, not before the last call has ended.
     * @param now Present time.
     */
    [[nodiscard]] Awaitable<> step(TimePoint now);

    /**
     * @brief Tells whether this process acts as the leader.
     * @return True while the lease is held and the state has been rebuilt.
     */
    [[nodiscard]] bool isLeader() const { return m_rebuilt && m_lease.isHeld(); }

    /**
     * @brief Gives the highest epoch seen in the lease row; entries announce it to agents.
     * @return The epoch.
     */
    [[nodiscard]] Epoch newestEpoch() const { return m_lease.newestEpoch(); }

    /**
     * @brief Counts the operations under way.
     * @return Number of operations that refer to this object.
     */
    [[nodiscard]] std::size_t operations() const { return m_operations; }

    /**
     * @brief Counts the jobs that have not ended.
     * @return Number of jobs, 0 unless this process is the leader.
     */
    [[nodiscard]] std::size_t jobs() const { return m_jobs.size(); }

    /**
     * @brief Gives the policy for reports to operators and for changed guarantees.
     * @return Null before the first takeover.
     */
    [[nodiscard]] Policy* policy() { return m_policy.get(); }

private:
    using JobPtr = std::shared_ptr<ManagedJob>;

    // Lease and rebuild
    [[nodiscard]] Awaitable<> stepOnce(TimePoint now);
    void apply(LeaseEvent event, TimePoint now);
    void resign();
    [[nodiscard]] Awaitable<> rebuild(TimePoint now);
    [[nodiscard]] Awaitable<> takeInChanges(TimePoint now);
    void absorb(const Row& row, TimePoint now);
    void add(JobRecord record, std::uint64_t version);

    // Workers
    void forgetSilent(TimePoint now);
    void loseWorkers(TimePoint now);
    void leaveWorkers(TimePoint now);
    void joinWorkers(TimePoint now);
    void stopGangsOn(const WorkerId& worker, const std::string& reason, TimePoint now);
    void suspend(const WorkerId& worker, TimePoint now);
    [[nodiscard]] std::set<WorkerId> blockedWorkers() const;
    [[nodiscard]] bool isLost(const WorkerId& worker, TimePoint now) const;
    [[nodiscard]] const AgentView* agentOf(const WorkerId& worker) const;
    [[nodiscard]] const TaskReport* reportOf(const ManagedJob& job, std::uint32_t task) const;

    // Jobs
    void review(TimePoint now);
    void review(const JobPtr& job, TimePoint now);
    void reviewWaiting(ManagedJob& job, TimePoint now);
    void reviewRunning(const JobPtr& job, TimePoint now);
    void recover(ManagedJob& job, TimePoint now);
    [[nodiscard]] bool isReady(const ManagedJob& job) const;
    [[nodiscard]] std::optional<std::string> troubleOf(ManagedJob& job, std::uint32_t task, TimePoint now);
    [[nodiscard]] bool reportsAll(const ManagedJob& job, std::string_view state) const;
    void cancel(ManagedJob& job, TimePoint now);
    void finish(ManagedJob& job, TimePoint now);
    void end(ManagedJob& job, JobState state, const std::string& reason);
    void beginStop(ManagedJob& job, JobState next, const std::string& reason, bool checkpoint, TimePoint now);
    void takeReportedCheckpoint(ManagedJob& job) const;
    void stopUnwanted();
    void stopUnwanted(const WorkerId& worker, const AgentView& agent);
    [[nodiscard]] bool isWanted(const TaskKey& key) const;

    // Decisions
    void plan(TimePoint now);
    void carryOut(const StartGang& decision, TimePoint now);
    void carryOut(const EvictGang& decision, TimePoint now);
    void carryOut(const FailJob& decision, TimePoint now);

    // Operations, each on one job at a time
    void spawn(const JobPtr& job, Awaitable<> operation);
    void spawn(Awaitable<> operation);
    void ended(const std::exception_ptr& error);
    [[nodiscard]] Awaitable<> startGang(JobPtr job);
    [[nodiscard]] Awaitable<> sendStart(JobPtr job, Attempt attempt, const GangMembers& members);
    [[nodiscard]] Awaitable<bool> reserveGang(JobPtr job, Attempt attempt, const GangMembers& members);
    [[nodiscard]] Awaitable<bool> writeRunning(JobPtr job, Attempt attempt);
    [[nodiscard]] Awaitable<> giveUpStart(JobPtr job, Attempt attempt, const GangMembers& members);
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
    LeaseKeeper<TableType, Clock> m_lease;
    JobStore<TableType, Clock> m_store;
    AgentViews m_agents;
    GangOrders<TableType, Orders, Clock> m_orders;
    std::unique_ptr<Policy> m_policy;
    std::map<JobId, JobPtr> m_jobs;
    std::set<ZoneId> m_zonesOut;
    /*! @brief Tasks that nobody wants with a stop order under way. */
    std::set<std::pair<WorkerId, JobId>> m_unwanted;
    /*! @brief Silence of workers counts from here at the earliest: takeover, or the end of a lapse of the lease. */
    TimePoint m_observingSince {};
    TimePoint m_tookOver {};
    std::size_t m_operations { 0 };
    bool m_stepping { false };
    bool m_leading { false };
    bool m_rebuilt { false };
    Counter& m_stepFailures;
    Counter& m_gangsStarted;
    Counter& m_startsRefused;
    Counter& m_gangsStopped;
    Counter& m_workersLost;
    Counter& m_badRows;
    Counter& m_operationsFailed;
};

}

#include "lycheespool/scheduler/detail/scheduler_gangs.h"
#include "lycheespool/scheduler/detail/scheduler_jobs.h"
#include "lycheespool/scheduler/detail/scheduler_lease.h"
#include "lycheespool/scheduler/detail/scheduler_workers.h"
