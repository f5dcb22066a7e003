// Node trust and run time estimates in Controller: failures, stalls, departures, forecasts.
#include "lycheespool/controller/controller.h"

#include "lycheespool/core/event_log.h"
#include "lycheespool/dispatch/departing_run.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <ranges>
#include <utility>

namespace lycheespool {

namespace {

// Consecutive failures after which a node is suspected; correct tasks also fail occasionally.
constexpr std::size_t failuresToSuspect = 2;
// Minimum percent from which the pace of a run predicts its end better than the forecast of its queue: lists arrive
// every 0.9 s, which is a tenth of a run of 9 s.
constexpr std::uint32_t minPercentForPace = 10;
// Standard deviation of the logarithm of a run's remaining time when it is extrapolated from its pace.
constexpr double paceSpread = 0.2;
// Number of nodes on which a job must fail before the job is suspected instead of the nodes.
constexpr std::size_t failedNodesToSuspectJob = 2;

std::int64_t millisecondsBetween(TimePoint begin, TimePoint end)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(end - begin).count();
}

constexpr std::string_view reliabilityName(NodeReliability reliability)
{
    constexpr std::array<std::string_view, 4> names { "proven", "reliable", "failed_once", "suspected" };
    return names[static_cast<std::size_t>(reliability)];
}

Duration millisecondsOf(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli> { ms });
}

}

NodeReliability Controller::trustOf(const ExecutorView& node, TimePoint now) const
{
    if (now < node.suspectedUntil)
        return NodeReliability::suspected;
    const bool isDoubtful
        = node.failuresInARow > 0 && now - node.failedAt < millisecondsOf(m_settings.policy.suspicionMs);
    if (isDoubtful)
        return NodeReliability::failedOnce;
    const bool isProven = node.provenAt && *node.provenAt > node.failedAt
        && now - *node.provenAt < millisecondsOf(m_settings.policy.provenMs);
    return isProven ? NodeReliability::proven : NodeReliability::reliable;
}

/*! @brief Checks if a run has gone on for so long that its executor does not fail what it starts. */
bool Controller::showsWork(const LiveRun& run, TimePoint now) const
{
    return run.phase == RunPhase::confirmed && now - run.confirmedAt >= millisecondsOf(m_settings.policy.trialMs);
}

/*! @brief Records that a run has worked on a node for the trial time. */
void Controller::recordWork(ExecutorView& node, const LiveRun& run, TimePoint now)
{
    if (showsWork(run, now) && run.lifetime == node.lifetime)
        node.provenAt = std::max(node.provenAt.value_or(run.confirmedAt), run.confirmedAt);
}

/*! @brief Ends the suspicion of a node, unless the run that succeeded is older than the latest failure. */
void Controller::recordSuccess(ExecutorView& node, const LiveRun& run, const ClockReading& now)
{
    node.succeededAt = now.steady;
    if (run.confirmedAt <= node.failedAt)
        return;
    node.failedJobs.clear();
    node.failuresInARow = 0;
    node.suspectedUntil = {};
    node.probeDelay = {};
}

/*! @brief Suspects a node; each probe that fails doubles the time until the next one. */
void Controller::startSuspicion(ExecutorView& node, bool isFailedProbe, TimePoint now)
{
    const auto suspicion = millisecondsOf(m_settings.policy.suspicionMs);
    if (isFailedProbe || node.probeDelay == Duration {}) {
        const auto first = millisecondsOf(m_settings.policy.probeDelayMs);
        node.probeDelay = std::min(suspicion, std::max(first, 2 * node.probeDelay));
        node.nextProbeAt = now + node.probeDelay;
    }
    node.failedAt = now;
    node.suspectedUntil = now + suspicion;
}

/*! @brief Checks if the failure of a run is counted; the members of a gang share one count. */
bool Controller::isFailureCounted(ManagedWorkload& job, const RunKey& key)
{
    const auto& position = key.task.position;
    const auto& step = job.row.request.steps[position.step];
    if (!step.isGang)
        return job.progress.at(position).isFailureCounted(key.run);
    // Rows of earlier versions name only the latest failed run of a gang.
    return job.round(position.occurrence, position.step).lastFailedRun == key.run
        || std::ranges::any_of(std::views::iota(0U, step.tasks), [&](auto i) {
               return job.progress.at({ position.occurrence, position.step, i }).isFailureCounted(key.run);
           });
}

/*! @brief Checks if the failed runs of a task, or of its gang, are known by number. */
bool Controller::knowsFailedRuns(const ManagedWorkload& job, const TaskPosition& position)
{
    const auto& step = job.row.request.steps[position.step];
    if (!step.isGang)
        return job.progress.at(position).knowsFailedRuns();
    return std::ranges::all_of(std::views::iota(0U, step.tasks), [&](auto i) {
        return job.progress.at({ position.occurrence, position.step, i }).knowsFailedRuns();
    });
}

void Controller::recordFailure(
    ManagedWorkload& job, const RunKey& key, const LiveRun& run, ExecutorView& node, const ClockReading& now)
{
    m_runsFailed.add();
    if (run.plannedReliability == NodeReliability::suspected)
        m_runsFailedOnSuspects.add();
    recordSuspicion(job, run, node, now);
    const auto& position = key.task.position;
    const auto& step = job.row.request.steps[position.step];
    auto& round = job.round(position.occurrence, position.step);
    auto& task = job.progress.at(position);
    if (isFailureCounted(job, key))
        return;
    round.lastFailedRun = key.run;
    if (step.isGang)
        task.lastFailedRun = key.run;
    round.failedAt[step.isGang ? 0 : position.index] = now.steady;
    task.countFailure(key.run);
    ++round.gangFailures;
    markChanged(job);
    const auto failures = step.isGang ? round.gangFailures : task.failures;
    const auto ranMs = millisecondsBetween(run.confirmedAt, now.steady);
    if (run.phase == RunPhase::confirmed)
        m_failureMs.record(static_cast<double>(ranMs));
    logEvent("run_failed",
        { { "task", key.task.toString() }, { "run", key.run }, { "node", node.node },
            { "executor", node.lifetime.executor }, { "attempt", failures },
            { "max_attempts", policyOf(job).maxAttempts }, { "ran_ms", run.phase == RunPhase::confirmed ? ranMs : 0 },
            { "planned_reliability", reliabilityName(run.plannedReliability) },
            { "node_failures", node.failuresInARow },
            { "node_success_age_ms", node.succeededAt ? millisecondsBetween(*node.succeededAt, now.steady) : -1 },
            { "epoch", m_epoch.value() } });
    if (!step.isService && !isEnded(job.progress.state) && failures >= policyOf(job).maxAttempts)
        endJob(job, WorkloadState::failed, "task " + key.task.toString() + " failed too often", now);
}

/*! @brief Suspects the node of a failure, or the job if it failed on several nodes that fail no other job. */
void Controller::recordSuspicion(ManagedWorkload& job, const LiveRun& run, ExecutorView& node, const ClockReading& now)
{
    node.failedJobs.insert(job.id);
    ++node.failuresInARow;
    node.failedAt = now.steady;
    job.failedNodes.insert(node.node);
    const auto failsOnlyThisJob = [&](const std::string& name) {
        const auto& failed = m_nodes[name].failedJobs;
        return failed.empty() || (failed.size() == 1 && failed.contains(job.id));
    };
    // Tasks of the job that still run elsewhere show that the job itself works. Gang members do not count, since they
    // end only after the failed member.
    const auto runningElsewhere = std::ranges::count_if(m_runs, [&](const auto& it) {
        return it.first.task.job == job.id && it.second.phase == RunPhase::confirmed && !it.second.isStopping()
            && !job.failedNodes.contains(it.second.node) && !job.row.request.steps[it.first.task.position.step].isGang;
    });
    const bool mayBeFaulty = std::cmp_less_equal(runningElsewhere, job.failedNodes.size());
    if (mayBeFaulty && job.failedNodes.size() >= failedNodesToSuspectJob
        && std::ranges::all_of(job.failedNodes, failsOnlyThisJob)) {
        for (const auto& it : job.failedNodes) {
            m_nodes[it].failedJobs.clear();
            m_nodes[it].failuresInARow = 0;
            m_nodes[it].suspectedUntil = {};
            m_nodes[it].probeDelay = {};
        }
        logEvent("job_suspected", { { "job", job.id }, { "failed_nodes", job.failedNodes.size() } });
        return;
    }
    if (node.failuresInARow < failuresToSuspect)
        return;
    startSuspicion(node, run.plannedReliability == NodeReliability::suspected, now.steady);
    logEvent("executor_suspected",
        { { "node", node.node }, { "executor", node.lifetime.executor }, { "job", job.id },
            { "failed_jobs", node.failedJobs.size() },
            { "next_probe_ms", millisecondsBetween(now.steady, node.nextProbeAt) } });
}

/*! @brief Records run times; the duration model gets only the first task of each step, so that wide steps do not
 * dominate it. */
void Controller::recordDuration(ManagedWorkload& job, const RunKey& key, const LiveRun& run, const ClockReading& now)
{
    const auto& step = job.row.request.steps[key.task.position.step];
    const bool isWhole = run.phase == RunPhase::confirmed && !run.isPartial;
    if (!isWhole || step.isService)
        return;
    const std::chrono::duration<double, std::milli> took = now.steady - run.confirmedAt;
    // Node speeds exclude gangs, whose members end together, and tasks with a data rack, which are slow on any node
    // away from their data.
    if (!step.isGang && step.dataRack.empty())
        job.round(key.task.position.occurrence, key.task.position.step).runs.push_back({ run.node, took.count() });
    if (key.task.position.index != 0)
        return;
    m_durations.addRun(job.row.queue, step.estimatedMs, took.count());
}

DurationForecast Controller::forecastOf(const ManagedWorkload& job, const StepSpec& step) const
{
    static const DurationModel withoutRuns;
    const auto& model = m_settings.policy.learnsRunTimes ? m_durations : withoutRuns;
    return model.forecast(job.row.queue, step.estimatedMs);
}

/*! @brief Returns a run time that few tasks of a step exceed. */
Duration Controller::runTimeUpperBound(const ManagedWorkload& job, const StepSpec& step) const
{
    // About one task in forty takes longer.
    constexpr double deviations = 2;
    const auto forecast = forecastOf(job, step);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli> { forecast.upperMs(deviations) });
}

/*! @brief Returns the time since which all members of a gang run, or nothing if one has not started. */
std::optional<TimePoint> Controller::gangStartTime(const ManagedWorkload& job, const RunKey& key) const
{
    TimePoint start {};
    const auto& position = key.task.position;
    for (std::uint32_t i = 0; i < job.row.request.steps[position.step].tasks; ++i) {
        const auto it = m_runs.find({ { job.id, { position.occurrence, position.step, i } }, key.run });
        if (it == m_runs.end() || it->second.phase != RunPhase::confirmed)
            return std::nullopt;
        start = std::max(start, it->second.confirmedAt);
    }
    return start;
}

void Controller::stopStalled(const RunKey& key, LiveRun& run, const ClockReading& now)
{
    const auto node = m_nodes.find(run.node);
    if (run.phase != RunPhase::confirmed || run.isStopping() || run.percent >= 100 || node == m_nodes.end()
        || now.steady - node->second.lastReportAt > m_settings.maxContactAge)
        return;
    auto* const job = findJob(key.task.job);
    if (!job || job->row.request.steps[key.task.position.step].isService)
        return;
    // Progress is measured between lists of the executor; an unreachable executor reports nothing about its tasks.
    const auto sinceChange = std::chrono::milliseconds { node->second.listedAtMs - run.percentListedMs };
    const auto elapsed = std::max<Duration>(now.steady - run.confirmedAt - sinceChange, {});
    // Expected time per percent: the average of the run so far, or, before the first percent, a hundredth of a run time
    // that few tasks exceed.
    const auto& step = job->row.request.steps[key.task.position.step];
    const Duration perPercent = run.percent > 0 ? elapsed / run.percent : runTimeUpperBound(*job, step) / 100;
    const auto limit = std::max<Duration>(millisecondsOf(m_settings.policy.minStallMs), perPercent * 5);
    if (run.percentListedMs == 0 || sinceChange < limit)
        return;
    // A gang works only once its last member has started.
    const auto workingSince = step.isGang ? gangStartTime(*job, key) : std::optional { run.confirmedAt };
    if (!workingSince || now.steady - *workingSince < limit)
        return;
    m_runsStalled.add();
    startSuspicion(node->second, run.plannedReliability == NodeReliability::suspected, now.steady);
    job->failedNodes.insert(run.node);
    logEvent("run_stalled",
        { { "task", key.task.toString() }, { "run", key.run }, { "node", run.node }, { "percent", run.percent } });
    if (step.isGang)
        stopGangOf(*job, key.task.position, key.run, "a member of the gang makes no progress");
    else
        stopRun(key, "no progress");
}

/*! @brief Forecasts the whole run time of a run from the estimates and its progress. */
Controller::RunForecast Controller::forecastOfRun(
    const ManagedWorkload& job, const RunKey& key, const LiveRun& run, TimePoint now) const
{
    const auto& step = job.row.request.steps[key.task.position.step];
    const auto whole = forecastOf(job, step);
    if (run.phase != RunPhase::confirmed)
        return { whole, 0 };
    const auto workingSince = step.isGang ? gangStartTime(job, key) : std::optional { run.confirmedAt };
    if (!workingSince)
        return { whole, 0 };
    const std::chrono::duration<double, std::milli> working = now - *workingSince;
    const auto node = m_nodes.find(run.node);
    // The percent of a run that resumed from a checkpoint includes work of earlier runs.
    if (!run.isPartial && run.percent >= minPercentForPace && node != m_nodes.end()) {
        const auto sinceListed = static_cast<double>(node->second.newestReportMs - run.percentListedMs);
        const auto perPercent = std::max(0.0, working.count() - sinceListed) / run.percent;
        return { { perPercent * 100, paceSpread }, working.count() };
    }
    if (run.percent > 0)
        return { { working.count() + whole.expectedMs * (100 - run.percent) / 100, whole.spread }, working.count() };
    return { whole, working.count() };
}

/*! @brief Forecasts the time until a run releases its resources, ms; infinite for a service task that is not stopped.
 */
double Controller::timeUntilReleaseMs(const RunKey& key, const LiveRun& run, TimePoint now) const
{
    if (run.isStopping()) {
        // A stop that takes longer than expected may take several times as long.
        constexpr double stopSpread = 0.9;
        const auto since = run.stopOrderedAt == neverOrdered ? Duration {} : now - run.stopOrderedAt;
        return DurationForecast { expectedStopMs, stopSpread }.remainingMs(
            std::chrono::duration<double, std::milli> { since }.count());
    }
    const auto& job = m_jobs.at(key.task.job);
    if (job.row.request.steps[key.task.position.step].isService)
        return std::numeric_limits<double>::infinity();
    const auto forecast = forecastOfRun(job, key, run, now);
    return forecast.whole.remainingMs(forecast.elapsedMs);
}

/*! @brief Stops a run whose executor departs before the run would end, so that it restarts elsewhere. */
void Controller::moveFromDepartingNode(const RunKey& key, LiveRun& run, const ClockReading& now)
{
    const auto node = m_nodes.find(run.node);
    if (!m_settings.policy.movesFromDepartingNodes || run.phase != RunPhase::confirmed || run.isStopping()
        || node == m_nodes.end() || !node->second.earliestDeparture || now.steady >= *node->second.earliestDeparture
        || node->second.lifetime != run.lifetime)
        return;
    auto* const job = findJob(key.task.job);
    // A service task runs until its executor departs.
    if (!job || job->row.request.steps[key.task.position.step].isService)
        return;
    const auto& step = job->row.request.steps[key.task.position.step];
    const auto ms = [](Duration time) { return std::chrono::duration<double, std::milli> { time }.count(); };
    const auto forecast = forecastOfRun(*job, key, run, now.steady);
    DepartingRun departure;
    departure.timeToDepartureMs = ms(*node->second.earliestDeparture - now.steady);
    departure.remainingMs = std::max(0.0, forecast.whole.expectedMs - forecast.elapsedMs);
    departure.spread = forecast.whole.spread;
    // A run that writes checkpoints writes another one when it is stopped.
    departure.repeatedMs = run.checkpoint.empty() ? ms(now.steady - run.confirmedAt) : ms(m_settings.bounds.restore);
    // An executor either announces its departure or is detected when its permits expire; the mean of both is used.
    departure.detectionMs = ms(m_settings.permitExpiryBound()) / 2;
    if (!shouldMoveNow(departure))
        return;
    m_runsMoved.add();
    logEvent("run_moved",
        { { "task", key.task.toString() }, { "run", key.run }, { "node", run.node }, { "percent", run.percent },
            { "executor_stays_ms", departure.timeToDepartureMs }, { "remaining_ms", departure.remainingMs },
            { "repeated_ms", departure.repeatedMs } });
    if (step.isGang)
        stopGangOf(*job, key.task.position, key.run, "the executor of a member departs");
    else
        stopRun(key, "the executor departs");
}

}
