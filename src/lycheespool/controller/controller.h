#pragma once

#include "lycheespool/cluster/operator_config.h"
#include "lycheespool/controller/controller_settings.h"
#include "lycheespool/controller/executor_view.h"
#include "lycheespool/controller/managed_workload.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/dispatch/crash_limits.h"
#include "lycheespool/dispatch/duration_model.h"
#include "lycheespool/dispatch/node_capacity.h"
#include "lycheespool/dispatch/node_speeds.h"
#include "lycheespool/dispatch/queue_rank.h"
#include "lycheespool/dispatch/start_request.h"
#include "lycheespool/wire/node_messages.h"

#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Readings of the steady and the wall clock taken at the same time. */
struct ClockReading {
    TimePoint steady;
    std::int64_t unixMs { 0 };
};

/*! @brief A pending write of a progress row. */
struct ProgressWrite {
    std::string job;
    /*! @brief Version that the stored row must still have. */
    std::uint64_t rowVersion { 0 };
    std::uint64_t revision { 0 };
    std::string value;

    /*! @brief Returns an upper bound of the size that the write adds to a transaction's body, bytes. */
    [[nodiscard]] std::size_t transactionBytes() const;
};

/**
 * @brief State and decisions of the leader for one term. Uses no network, clock or threads.
 *
 * The owner passes in jobs, cancellations, the config and reports. It writes the rows that pendingWrites() returns,
 * confirms each write with markStored(), and sends the orders that takeOrders() returns. A run is ordered only after
 * its placement is stored, and an end is acknowledged only after it is stored, so a successor finds every run that may
 * be active.
 */
class Controller {
public:
    /**
     * @brief Starts a term.
     * @param settings Time constants.
     * @param epoch Fencing token of the term.
     * @param now Start of the term.
     * @param metrics Registry for counters.
     */
    Controller(const ControllerSettings& settings, Epoch epoch, TimePoint now, Metrics& metrics);

    /**
     * @brief Adds an accepted job; does nothing when the job is known.
     * @param id Name of the job.
     * @param row The accepted job.
     * @param progress Bytes of the progress row; empty when there is none yet.
     * @param rowVersion Version of the progress row, 0 when there is none yet.
     * @param now Present time.
     * @param jobRowVersion Version of the row that stores the accepted job.
     * @throws Error of kind malformedFrame when the progress row cannot be decoded or the job is not valid.
     */
    void addJob(const std::string& id, JobRow row, std::string_view progress, std::uint64_t rowVersion, TimePoint now,
        std::uint64_t jobRowVersion = 0);

    /**
     * @brief Cancels a job; does nothing when it is unknown or has ended.
     * @param id Name of the job.
     * @param now Present time.
     */
    void cancelJob(const std::string& id, const ClockReading& now);

    /**
     * @brief Replaces the config.
     * @param config The config.
     */
    void setConfig(std::shared_ptr<const OperatorConfig> config) { m_config = std::move(config); }

    /**
     * @brief Replaces the decision policy; later decisions use the new one.
     * @param policy The policy.
     */
    void setPolicy(const DecisionPolicy& policy) { m_settings.policy = policy; }

    /**
     * @brief Replaces the set of zones that are out of service.
     * @param zones The zones.
     */
    void setZonesOutOfService(std::set<std::string> zones) { m_zonesOutOfService = std::move(zones); }

    /**
     * @brief Processes a report of an agent.
     * @param report The report.
     * @param now Present time.
     */
    void onReport(const NodeReport& report, const ClockReading& now);

    /**
     * @brief Grants a permit to extend the lease of the executor that a report proves; call it for each reply.
     *
     * A report that proves no executor gets none, so that the runs of a lost executor are released while its agent
     * reports.
     *
     * @param report The report, which onReport() has processed.
     * @param now Time at which the reply is sent.
     * @return Length of the permit, 0 for none.
     */
    [[nodiscard]] Duration grantPermit(const NodeReport& report, TimePoint now);

    /**
     * @brief Returns the number up to which the run ends of an executor are stored.
     * @param node The node.
     * @param lifetime Lifetime of the executor; the numbers of each lifetime start anew.
     * @return The number; 0 for none, and for any other lifetime than the present one.
     */
    [[nodiscard]] std::uint64_t endsStored(const std::string& node, const Lifetime& lifetime);

    /**
     * @brief Processes the outcome of an order.
     * @param node Node that the order was sent to.
     * @param lifetime Executor lifetime that the order was addressed to.
     * @param outcome The outcome.
     * @param now Present time.
     */
    void onOutcome(
        const std::string& node, const Lifetime& lifetime, const RunOrderOutcome& outcome, const ClockReading& now);

    /**
     * @brief Releases runs of lost executors, stops stalled runs and moves runs off departing executors.
     * @param now Present time.
     */
    void superviseRuns(const ClockReading& now);

    /**
     * @brief Chooses starts and evictions.
     * @param now Present time.
     * @return Unix time at which the next scheduled occurrence is due, ms, or nothing.
     */
    std::optional<std::int64_t> plan(const ClockReading& now);

    /**
     * @brief Returns rows whose state in memory differs from the stored one and that fit into one transaction.
     * @param limit Maximum number of rows.
     * @return The rows; a row that was refused before is returned alone, and only after it has changed.
     */
    [[nodiscard]] std::vector<ProgressWrite> pendingWrites(std::size_t limit) const;

    /**
     * @brief Records that a row was stored.
     * @param write The row.
     * @param rowVersion Its new version.
     */
    void markStored(const ProgressWrite& write, std::uint64_t rowVersion);

    /**
     * @brief Checks if pendingWrites() would return rows.
     * @return True if it would.
     */
    [[nodiscard]] bool hasPendingWrites() const;

    /**
     * @brief Records that the store refused a transaction for good.
     *
     * The rows of a larger transaction are then written one by one. A single refused row holds up its job: starts that
     * were not ordered are withdrawn, and none is planned for a while.
     *
     * @param writes The rows of the transaction.
     * @param now Present time.
     */
    void onWritesRefused(const std::vector<ProgressWrite>& writes, const ClockReading& now);

    /**
     * @brief Finds ended jobs whose status retention has passed and that have no live runs.
     * @param now Present time.
     * @param limit Maximum number of jobs.
     * @return Names of the jobs.
     */
    [[nodiscard]] std::vector<std::string> removableJobs(const ClockReading& now, std::size_t limit) const;

    /**
     * @brief Removes a job from memory after its rows were removed.
     * @param id Name of the job.
     */
    void removeJob(const std::string& id) { m_jobs.erase(id); }

    /**
     * @brief Records the version that a row has in the store.
     * @param job The job.
     * @param rowVersion The version.
     */
    void setRowVersion(const std::string& job, std::uint64_t rowVersion);

    /**
     * @brief Returns the orders that are due and marks them as sent. Ends a job whose order is too large for a message.
     * @param now Present time.
     * @return Orders by node.
     */
    [[nodiscard]] std::map<std::string, NodeOrders> takeOrders(const ClockReading& now);

    /*! @brief Jobs by name. */
    [[nodiscard]] const std::map<std::string, ManagedWorkload>& jobs() const { return m_jobs; }
    /*! @brief Runs that hold capacity. */
    [[nodiscard]] const std::map<RunKey, LiveRun>& liveRuns() const { return m_runs; }
    /*! @brief Nodes by name. */
    [[nodiscard]] const std::map<std::string, ExecutorView>& nodes() const { return m_nodes; }

private:
    using Runs = std::map<RunKey, LiveRun>;

    /*! @brief A step that waits for capacity, with the tasks that its start request covers. */
    struct WaitingStep {
        QueueRank rank;
        RankInput input;
        /*! @brief Time for which the step has been ready and has lacked only capacity, ms. */
        std::int64_t readyMs { 0 };
        ManagedWorkload* job { nullptr };
        std::uint32_t occurrence { 0 };
        std::uint32_t step { 0 };
        std::vector<std::uint32_t> indices;
        StartRequest request;

        /*! @brief Returns the name of the first task, which stands for the step. */
        [[nodiscard]] TaskName name() const;
    };

    /*! @brief Numbers of the waiting steps by the name of their first task. */
    using StepNumbers = std::map<TaskName, std::size_t>;

    /*! @brief Forecast of the whole run time of a run. */
    struct RunForecast {
        DurationForecast whole;
        /*! @brief Time for which it has worked, ms. */
        double elapsedMs { 0 };
    };

    /*! @brief Runs that may be evicted. */
    struct EvictableRuns {
        /*! @brief Runs by handle. */
        std::vector<RunKey> keys;
        /*! @brief Runs by the executor lifetime that they run on. */
        std::map<Lifetime, std::vector<EvictableRun>> byLifetime;
        /*! @brief The times until the runs end are known. */
        bool hasForecasts { false };
    };

    // Jobs.
    void restoreTasks(ManagedWorkload& job, TimePoint now);
    void markChanged(ManagedWorkload& job) { ++job.revision; }
    void endJob(ManagedWorkload& job, WorkloadState state, const std::string& reason, const ClockReading& now);
    void completeIfDone(ManagedWorkload& job, const ClockReading& now);
    [[nodiscard]] ProgressWrite writeOf(const ManagedWorkload& job) const;
    [[nodiscard]] const QueuePolicy& policyOf(const ManagedWorkload& job) const;
    [[nodiscard]] ManagedWorkload* findJob(const std::string& id);

    // Runs.
    void applyEnd(ExecutorView& node, const RunEnd& end, const ClockReading& now);
    void applyEndOfLiveRun(
        ExecutorView& node, ManagedWorkload& job, Runs::iterator it, const RunEnd& end, const ClockReading& now);
    void applyEndOfReleasedRun(
        ExecutorView& node, ManagedWorkload& job, const RunKey& key, const RunEnd& end, const ClockReading& now);
    [[nodiscard]] static bool isFailureCounted(ManagedWorkload& job, const RunKey& key);
    [[nodiscard]] static bool knowsFailedRuns(const ManagedWorkload& job, const TaskPosition& position);
    void recordFailure(
        ManagedWorkload& job, const RunKey& key, const LiveRun& run, ExecutorView& node, const ClockReading& now);
    void recordSuspicion(ManagedWorkload& job, const LiveRun& run, ExecutorView& node, const ClockReading& now);
    void markBegun(ManagedWorkload& job, const ClockReading& now);
    void markDone(ManagedWorkload& job, const TaskPosition& position, std::uint64_t run, const ClockReading& now);
    void releaseRun(Runs::iterator it);
    void withdrawUnsentStart(Runs::iterator it, const std::string& reason, const ClockReading& now);
    void stopRun(const RunKey& key, const std::string& reason);
    void stopGangOf(ManagedWorkload& job, const TaskPosition& position, std::uint64_t run, const std::string& reason);
    [[nodiscard]] bool mayStillBegin(const RunKey& key) const;
    void awaitOtherStarts(ManagedWorkload& job, const TaskPosition& position, std::uint64_t run);
    void settleStarts(const ClockReading& now);
    void recordCheckpoint(ManagedWorkload& job, const RunKey& key, const std::string& checkpoint);
    [[nodiscard]] static bool showsEndOf(const Lifetime& lifetime, const NodeReport& report);
    [[nodiscard]] static bool replacesExecutor(const ExecutorView& node, const NodeReport& report);
    void ignoreReport(ExecutorView& node, const NodeReport& report);
    void adoptLifetime(ExecutorView& node, const NodeReport& report, const ClockReading& now);
    template <std::predicate<const Lifetime&> HasEnded>
    void releaseLostRuns(const std::string& node, const HasEnded& hasEnded, const std::string& reason,
        const ClockReading& now, const NodeReport* report = nullptr);
    [[nodiscard]] static bool hasJustStarted(const LiveRun& run, const NodeReport* report);
    [[nodiscard]] static bool countsAsLoss(const LiveRun& run, const NodeReport* report, std::size_t startingJobs);
    void recordLoss(
        ManagedWorkload& job, const RunKey& key, bool causedCrash, const std::string& node, const ClockReading& now);
    void processRunningTasks(ExecutorView& node, const NodeReport& report, const ClockReading& now);
    void recordAtWork(ManagedWorkload& job, const RunKey& key, LiveRun& run);
    void releaseUnlistedRuns(ExecutorView& node, const NodeReport& report);
    void recordDuration(ManagedWorkload& job, const RunKey& key, const LiveRun& run, const ClockReading& now);
    [[nodiscard]] DurationForecast forecastOf(const ManagedWorkload& job, const StepSpec& step) const;
    [[nodiscard]] Duration runTimeUpperBound(const ManagedWorkload& job, const StepSpec& step) const;
    [[nodiscard]] std::optional<TimePoint> gangStartTime(const ManagedWorkload& job, const RunKey& key) const;
    void stopStalled(const RunKey& key, LiveRun& run, const ClockReading& now);
    [[nodiscard]] RunForecast forecastOfRun(
        const ManagedWorkload& job, const RunKey& key, const LiveRun& run, TimePoint now) const;
    [[nodiscard]] double timeUntilReleaseMs(const RunKey& key, const LiveRun& run, TimePoint now) const;
    void moveFromDepartingNode(const RunKey& key, LiveRun& run, const ClockReading& now);

    // Planning.
    [[nodiscard]] std::vector<WaitingStep> waitingSteps(const ClockReading& now, std::optional<std::int64_t>& nextDue);
    [[nodiscard]] std::set<std::string> guaranteedJobs() const;
    void addStartRequests(std::vector<WaitingStep>& steps, ManagedWorkload& job, std::uint32_t occurrence,
        std::uint32_t step, bool isGuaranteed, std::int64_t ageMs, std::int64_t readyMs, TimePoint now);
    void addRequestsByFailures(std::vector<WaitingStep>& steps, WaitingStep step, TimePoint now);
    [[nodiscard]] std::size_t maxOpenTasks(const ManagedWorkload& job) const;
    [[nodiscard]] std::optional<std::string> findRowFault(const ManagedWorkload& job) const;
    [[nodiscard]] std::size_t startableTasks(const ManagedWorkload& job) const;
    [[nodiscard]] static bool takeRowRoom(const ManagedWorkload& job, const TaskPosition& position, std::size_t& room);
    [[nodiscard]] bool acceptsWork(const ExecutorView& node, TimePoint now) const;
    [[nodiscard]] std::vector<double> criticalPathsMs(const ManagedWorkload& job) const;
    [[nodiscard]] NodeReliability trustOf(const ExecutorView& node, TimePoint now) const;
    [[nodiscard]] bool showsWork(const LiveRun& run, TimePoint now) const;
    void recordWork(ExecutorView& node, const LiveRun& run, TimePoint now);
    void recordSuccess(ExecutorView& node, const LiveRun& run, const ClockReading& now);
    void startSuspicion(ExecutorView& node, bool isFailedProbe, TimePoint now);
    [[nodiscard]] EvictableRuns evictableRuns(const StepNumbers& steps, bool withForecasts, TimePoint now) const;
    [[nodiscard]] std::size_t unavailableTasks(
        const ManagedWorkload& job, const TaskPosition& position, TimePoint now) const;
    [[nodiscard]] std::map<std::string, std::vector<NodeCapacity>> plannerNodes(
        const EvictableRuns& evictable, TimePoint now) const;
    void planService(const std::string& service, std::vector<NodeCapacity> nodes, const EvictableRuns& evictable,
        std::vector<WaitingStep>& waiting, const ClockReading& now);
    void logReservations(const StartPlan& plan, const std::vector<std::size_t>& positions,
        const std::vector<std::string>& names, const std::vector<WaitingStep>& waiting);
    void startRuns(WaitingStep& waiting, const std::vector<std::string>& nodes,
        const std::map<std::string, TaskName>& yieldsTo, const ClockReading& now);
    [[nodiscard]] double evictionCost(const RunKey& key, const LiveRun& run, TimePoint now) const;
    [[nodiscard]] RunOrder orderFor(const RunKey& key, const LiveRun& run);
    void withdrawStartsBeyondCapacity();
    void failUnsendable(const RunKey& key, std::size_t orderBytes, const ClockReading& now);
    [[nodiscard]] bool isStartStillValid(const RunKey& key, const LiveRun& run, TimePoint now) const;

    ControllerSettings m_settings;
    Epoch m_epoch;
    TimePoint m_startedAt;
    std::shared_ptr<const OperatorConfig> m_config;
    std::set<std::string> m_zonesOutOfService;
    std::map<std::string, ManagedWorkload> m_jobs;
    Runs m_runs;
    /*! @brief Jobs with unsettled starts, or whose completion has waited for some. */
    std::set<std::string> m_unsettledJobs;
    std::map<std::string, ExecutorView> m_nodes;
    /*! @brief Longest executor id and node name among the nodes, bytes. */
    std::size_t m_maxExecutorBytes { 0 };
    std::size_t m_maxNodeBytes { 0 };
    /*! @brief Job whose row was stored last; the next transaction begins behind it, so that each job has its turn. */
    std::string m_lastStoredJob;
    /*! @brief Number of rows that are still to be written one by one. */
    std::size_t m_singleWrites { 0 };
    /*! @brief Steps that the latest plan reserved executors for, and steps that waited for reservations, with the
     * reserving step; each is logged once. */
    std::set<TaskName> m_reservingSteps;
    std::map<TaskName, TaskName> m_delayedSteps;
    DurationModel m_durations;
    NodeSpeeds m_speeds;
    Counter& m_runsPlanned;
    Counter& m_runsDone;
    Counter& m_runsFailed;
    Counter& m_runsFailedOnSuspects;
    Counter& m_runsLost;
    Counter& m_endsOfReleasedRuns;
    Counter& m_startsUnsettled;
    Counter& m_endsWithoutRun;
    Counter& m_reportsIgnored;
    Counter& m_crashesAttributed;
    Counter& m_runsEvicted;
    Counter& m_runsBackfilled;
    Counter& m_runsYielded;
    Counter& m_startsDelayed;
    Counter& m_runsStalled;
    Counter& m_runsMoved;
    Counter& m_unknownRunsStopped;
    Counter& m_writesRefused;
    Counter& m_unsendableOrders;
    LatencyHistogram& m_waitMs;
    LatencyHistogram& m_completionMs;
    LatencyHistogram& m_failureMs;
};

}
