#pragma once

#include "lycheespool/cluster/operator_config.h"
#include "lycheespool/controller/controller_settings.h"
#include "lycheespool/controller/executor_view.h"
#include "lycheespool/controller/managed_workload.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/dispatch/duration_model.h"
#include "lycheespool/dispatch/node_capacity.h"
#include "lycheespool/dispatch/node_speeds.h"
#include "lycheespool/dispatch/queue_rank.h"
#include "lycheespool/dispatch/start_request.h"
#include "lycheespool/wire/node_messages.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Both clocks of one moment. */
struct Moment {
    TimePoint steady;
    std::int64_t unixMs { 0 };
};

/*! @brief A progress row that is to be stored. */
struct ProgressWrite {
    std::string job;
    /*! @brief Version that the row must have. */
    std::uint64_t rowVersion { 0 };
    std::uint64_t revision { 0 };
    std::string value;
};

/**
 * @brief State and decisions of the leader for one term. No network, no clock, no threads.
 *
 * The owner feeds it jobs, cancellations, config and reports, stores what dirty() gives, reports the storage with
 * stored(), and sends what takeOrders() gives. A run is ordered only after its placement is stored, and an end is
 * acknowledged only after it is stored, so that a successor finds everything that may run.
 */
class Controller {
public:
    /**
     * @brief Starts a term.
     * @param settings Time constants.
     * @param epoch Fencing number of the term.
     * @param now Start of the term.
     * @param metrics Registry for counters.
     */
    Controller(const ControllerSettings& settings, Epoch epoch, TimePoint now, Metrics& metrics);

    /**
     * @brief Takes a job in.
     * @param id Name of the job.
     * @param row What was accepted.
     * @param progress Bytes of the progress row; empty when there is none yet.
     * @param rowVersion Version of the progress row, 0 when there is none yet.
     * @param now Present time.
     * @param acceptedVersion Version of the row of the acceptance.
     * @throws Error of kind malformedFrame when the progress is not readable.
     */
    void addJob(const std::string& id, JobRow row, std::string_view progress, std::uint64_t rowVersion, TimePoint now,
        std::uint64_t acceptedVersion = 0);

    /**
     * @brief Cancels a job; does nothing when it is unknown or has ended.
     * @param id Name of the job.
     * @param now Present time.
     */
    void cancelJob(const std::string& id, const Moment& now);

    /**
     * @brief Replaces the config.
     * @param config The config.
     */
    void setConfig(std::shared_ptr<const OperatorConfig> config) { m_config = std::move(config); }

    /**
     * @brief Replaces the set of zones that are out of service.
     * @param zones The zones.
     */
    void setZonesOut(std::set<std::string> zones) { m_zonesOut = std::move(zones); }

    /**
     * @brief Takes a report in.
     * @param report The report.
     * @param now Present time.
     */
    void onReport(const NodeReport& report, const Moment& now);

    /**
     * @brief Grants the agent of a node a permit; to be called for each reply that carries one.
     * @param node The node.
     * @param now Time at which the reply is sent.
     */
    void grantPermit(const std::string& node, TimePoint now);

    /**
     * @brief Gives the number up to which the ends of a node are stored.
     * @param node The node.
     * @return Number, 0 for none.
     */
    [[nodiscard]] std::uint64_t endsStored(const std::string& node);

    /**
     * @brief Takes the outcome of an order in.
     * @param node Node that the order was sent to.
     * @param lifetime Lifetime that the order named.
     * @param outcome The outcome.
     * @param now Present time.
     */
    void onOutcome(
        const std::string& node, const Lifetime& lifetime, const RunOrderOutcome& outcome, const Moment& now);

    /**
     * @brief Releases what certainly ended without a report, stops stalled runs and moves runs off leaving executors.
     * @param now Present time.
     */
    void expire(const Moment& now);

    /**
     * @brief Chooses starts and evictions.
     * @param now Present time.
     * @return Unix time at which the next scheduled occurrence is due, ms, or nothing.
     */
    std::optional<std::int64_t> plan(const Moment& now);

    /**
     * @brief Gives rows that differ from what is stored.
     * @param limit Most rows.
     * @return The rows.
     */
    [[nodiscard]] std::vector<ProgressWrite> dirty(std::size_t limit) const;

    /**
     * @brief Records that a row was stored.
     * @param write The row.
     * @param rowVersion Its new version.
     */
    void stored(const ProgressWrite& write, std::uint64_t rowVersion);

    /**
     * @brief Finds ended jobs whose state nobody may still ask for, and of which no run is left.
     * @param now Present time.
     * @param limit Most jobs.
     * @return Names of the jobs.
     */
    [[nodiscard]] std::vector<std::string> outlived(const Moment& now, std::size_t limit) const;

    /**
     * @brief Forgets a job whose rows were removed.
     * @param id Name of the job.
     */
    void forget(const std::string& id) { m_jobs.erase(id); }

    /**
     * @brief Records the version that a row has in the store.
     * @param job The job.
     * @param rowVersion The version.
     */
    void setRowVersion(const std::string& job, std::uint64_t rowVersion);

    /**
     * @brief Gives the orders that are due and marks them as sent.
     * @param now Present time.
     * @return Orders by node.
     */
    [[nodiscard]] std::map<std::string, NodeOrders> takeOrders(const Moment& now);

    /*! @brief Jobs in memory. */
    [[nodiscard]] const std::map<std::string, ManagedWorkload>& jobs() const { return m_jobs; }
    /*! @brief Runs that take capacity. */
    [[nodiscard]] const std::map<RunKey, LiveRun>& liveRuns() const { return m_runs; }
    /*! @brief Nodes by name. */
    [[nodiscard]] const std::map<std::string, ExecutorView>& nodes() const { return m_nodes; }

private:
    using Runs = std::map<RunKey, LiveRun>;

    /*! @brief A step that waits for room, with the tasks that a request stands for. */
    struct WaitingStep {
        QueueRank rank;
        RankInput input;
        /*! @brief Time for which the step has lacked nothing but room, ms. */
        std::int64_t readyMs { 0 };
        ManagedWorkload* job { nullptr };
        std::uint32_t occurrence { 0 };
        std::uint32_t step { 0 };
        std::vector<std::uint32_t> indices;
        StartRequest request;
    };

    // Jobs.
    void adoptTasks(ManagedWorkload& job, TimePoint now);
    void changed(ManagedWorkload& job) { ++job.revision; }
    void endJob(ManagedWorkload& job, WorkloadState state, const std::string& reason, const Moment& now);
    void completeIfDone(ManagedWorkload& job, const Moment& now);
    [[nodiscard]] const QueuePolicy& policyOf(const ManagedWorkload& job) const;
    [[nodiscard]] ManagedWorkload* findJob(const std::string& id);

    // Runs.
    void applyEnd(ExecutorView& node, const RunEnd& end, const Moment& now);
    void countFailure(ManagedWorkload& job, const RunKey& key, ExecutorView& node, const Moment& now);
    void suspect(ManagedWorkload& job, ExecutorView& node, const Moment& now);
    void markDone(ManagedWorkload& job, const TaskPosition& position, const Moment& now);
    void releaseRun(Runs::iterator it);
    void stopRun(const RunKey& key, const std::string& reason);
    void stopGangOf(ManagedWorkload& job, const TaskPosition& position, std::uint64_t run, const std::string& reason);
    void keepCheckpoint(ManagedWorkload& job, const RunKey& key, const std::string& checkpoint);
    void loseLifetime(const std::string& node, const Lifetime& lifetime, const std::string& reason);
    void readRunning(ExecutorView& node, const NodeReport& report, const Moment& now);
    void releaseAbsent(ExecutorView& node, const NodeReport& report);
    void learnDuration(ManagedWorkload& job, const RunKey& key, const LiveRun& run, const Moment& now);
    [[nodiscard]] Duration longestRun(const ManagedWorkload& job, const StepSpec& step) const;
    [[nodiscard]] std::optional<TimePoint> gangStart(const ManagedWorkload& job, const RunKey& key) const;
    void stopStalled(const RunKey& key, LiveRun& run, const Moment& now);
    [[nodiscard]] DurationForecast remainingRun(
        const ManagedWorkload& job, const RunKey& key, const LiveRun& run, TimePoint now) const;
    void moveFromLeaving(const RunKey& key, LiveRun& run, const Moment& now);

    // Planning.
    [[nodiscard]] std::vector<WaitingStep> waitingSteps(const Moment& now, std::optional<std::int64_t>& nextDue);
    [[nodiscard]] std::set<std::string> guaranteedJobs() const;
    void addWaiting(std::vector<WaitingStep>& steps, ManagedWorkload& job, std::uint32_t occurrence, std::uint32_t step,
        bool isGuaranteed, std::int64_t ageMs, std::int64_t readyMs);
    [[nodiscard]] bool takesWork(const ExecutorView& node, TimePoint now) const;
    [[nodiscard]] std::vector<double> chainTimes(const ManagedWorkload& job) const;
    [[nodiscard]] NodeReliability trustOf(const ExecutorView& node, TimePoint now) const;
    void startRuns(WaitingStep& waiting, const std::vector<std::string>& nodes, const Moment& now);
    [[nodiscard]] double unsavedWork(const RunKey& key, const LiveRun& run, TimePoint now) const;
    [[nodiscard]] RunOrder orderFor(const RunKey& key, const LiveRun& run);
    [[nodiscard]] bool mayStillStart(const RunKey& key, const LiveRun& run, TimePoint now) const;

    ControllerSettings m_settings;
    Epoch m_epoch;
    TimePoint m_startedAt;
    std::shared_ptr<const OperatorConfig> m_config;
    std::set<std::string> m_zonesOut;
    std::map<std::string, ManagedWorkload> m_jobs;
    Runs m_runs;
    std::map<std::string, ExecutorView> m_nodes;
    DurationModel m_durations;
    NodeSpeeds m_speeds;
    Counter& m_runsPlanned;
    Counter& m_runsDone;
    Counter& m_runsFailed;
    Counter& m_runsLost;
    Counter& m_runsEvicted;
    Counter& m_runsStalled;
    Counter& m_runsMoved;
    Counter& m_straysStopped;
    LatencyHistogram& m_waitMs;
    LatencyHistogram& m_completionMs;
};

}
