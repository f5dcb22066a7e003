// What Controller believes about executors and run times: failures, stalls, departures, forecasts.
#include "lycheespool/controller/controller.h"

#include "lycheespool/core/event_log.h"
#include "lycheespool/dispatch/departing_run.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lycheespool {

namespace {

// Failures without a success between them after which a node is suspected; sound tasks fail at times as well.
constexpr std::size_t failuresToSuspect = 2;
// Least percent from which on the pace of a run tells more than the forecast of its queue: lists come each 0.9 s, which
// is a tenth of a run of 9 s.
constexpr std::uint32_t percentToTellPace = 10;
// Standard deviation of the logarithm of a run's remaining time when it is told from its pace; assumed, not measured.
constexpr double paceSpread = 0.2;
// Nodes on which a job must fail before the job rather than the nodes is suspected.
constexpr std::size_t nodesToBlameJob = 2;

}

NodeReliability Controller::trustOf(const ExecutorView& node, TimePoint now) const
{
    if (now < node.suspectUntil)
        return NodeReliability::suspected;
    const bool isDoubtful = node.failuresInARow > 0 && now - node.failedAt < m_settings.suspicion;
    return isDoubtful ? NodeReliability::failedOnce : NodeReliability::reliable;
}

void Controller::countFailure(ManagedWorkload& job, const RunKey& key, ExecutorView& node, const Moment& now)
{
    m_runsFailed.add();
    suspect(job, node, now);
    const auto& position = key.task.position;
    const auto& step = job.row.request.steps[position.step];
    auto& round = job.round(position.occurrence, position.step);
    auto& task = job.progress.at(position);
    if (step.isGang && round.lastFailedRun == key.run)
        return;
    round.lastFailedRun = key.run;
    ++task.failures;
    ++round.gangFailures;
    changed(job);
    const auto failures = step.isGang ? round.gangFailures : task.failures;
    if (!step.isService && !isEnded(job.progress.state) && failures >= policyOf(job).maxAttempts)
        endJob(job, WorkloadState::failed, "task " + key.task.toString() + " failed too often", now);
}

/*! @brief Suspects the node of a failure, or the job when it failed on several nodes that are sound otherwise. */
void Controller::suspect(ManagedWorkload& job, ExecutorView& node, const Moment& now)
{
    node.failedJobs.insert(job.id);
    ++node.failuresInARow;
    node.failedAt = now.steady;
    job.failedNodes.insert(node.node);
    const auto failsOnlyThis = [&](const std::string& name) {
        const auto& failed = m_nodes[name].failedJobs;
        return failed.empty() || (failed.size() == 1 && failed.contains(job.id));
    };
    // Tasks of the job that go on elsewhere show that it can be done; members of a gang only end with the one that
    // failed.
    const auto goesOn = std::ranges::count_if(m_runs, [&](const auto& it) {
        return it.first.task.job == job.id && it.second.phase == RunPhase::confirmed && !it.second.isStopping()
            && !job.failedNodes.contains(it.second.node) && !job.row.request.steps[it.first.task.position.step].isGang;
    });
    const bool mayBeAtFault = std::cmp_less_equal(goesOn, job.failedNodes.size());
    if (mayBeAtFault && job.failedNodes.size() >= nodesToBlameJob
        && std::ranges::all_of(job.failedNodes, failsOnlyThis)) {
        for (const auto& it : job.failedNodes) {
            m_nodes[it].failedJobs.clear();
            m_nodes[it].failuresInARow = 0;
            m_nodes[it].suspectUntil = {};
        }
        logEvent("job_suspected", { { "job", job.id }, { "failed_nodes", job.failedNodes.size() } });
        return;
    }
    if (node.failuresInARow < failuresToSuspect)
        return;
    node.suspectUntil = now.steady + m_settings.suspicion;
    logEvent("executor_suspected",
        { { "node", node.node }, { "executor", node.lifetime.executor }, { "job", job.id },
            { "failed_jobs", node.failedJobs.size() } });
}

/*! @brief Learns run times from the first task of each step, so that wide steps do not outweigh the others. */
void Controller::learnDuration(ManagedWorkload& job, const RunKey& key, const LiveRun& run, const Moment& now)
{
    const auto& step = job.row.request.steps[key.task.position.step];
    const bool isWhole = run.phase == RunPhase::confirmed && !run.isPartial;
    if (!isWhole || step.isService)
        return;
    const std::chrono::duration<double, std::milli> took = now.steady - run.confirmedAt;
    // The members of a gang end together, and tasks away from their data are slow on any node.
    if (!step.isGang && step.dataRack.empty())
        job.round(key.task.position.occurrence, key.task.position.step).runs.push_back({ run.node, took.count() });
    if (key.task.position.index != 0)
        return;
    m_durations.addRun(job.row.queue, step.estimatedMs, took.count());
}

/*! @brief Gives a run time that few tasks of a step exceed. */
Duration Controller::longestRun(const ManagedWorkload& job, const StepSpec& step) const
{
    // About one of forty tasks takes longer.
    constexpr double deviations = 2;
    const auto forecast = m_durations.forecast(job.row.queue, step.estimatedMs);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli> { forecast.upperMs(deviations) });
}

/*! @brief Gives the time from which on all members of a gang ran, or nothing when one has not started. */
std::optional<TimePoint> Controller::gangStart(const ManagedWorkload& job, const RunKey& key) const
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

void Controller::stopStalled(const RunKey& key, LiveRun& run, const Moment& now)
{
    const auto node = m_nodes.find(run.node);
    if (run.phase != RunPhase::confirmed || run.isStopping() || run.percent >= 100 || node == m_nodes.end()
        || now.steady - node->second.heardAt > m_settings.contactAge)
        return;
    auto* const job = findJob(key.task.job);
    if (!job || job->row.request.steps[key.task.position.step].isService)
        return;
    // Only lists of the executor tell progress; a silent executor says nothing about its tasks.
    const auto sinceChange = std::chrono::milliseconds { node->second.listedAtMs - run.percentListedMs };
    const auto elapsed = std::max<Duration>(now.steady - run.confirmedAt - sinceChange, {});
    // A task that has advanced is expected to advance by a percent in the mean time it needed so far; one that has not,
    // in a hundredth of a run time that few tasks exceed.
    const auto& step = job->row.request.steps[key.task.position.step];
    const Duration perPercent = run.percent > 0 ? elapsed / run.percent : longestRun(*job, step) / 100;
    const auto limit = std::max<Duration>(m_settings.stallTime, perPercent * 5);
    if (run.percentListedMs == 0 || sinceChange < limit)
        return;
    // A gang works only from the start of its last member on.
    const auto workingSince = step.isGang ? gangStart(*job, key) : std::optional { run.confirmedAt };
    if (!workingSince || now.steady - *workingSince < limit)
        return;
    m_runsStalled.add();
    node->second.suspectUntil = now.steady + m_settings.suspicion;
    job->failedNodes.insert(run.node);
    logEvent("run_stalled",
        { { "task", key.task.toString() }, { "run", key.run }, { "node", run.node }, { "percent", run.percent } });
    if (step.isGang)
        stopGangOf(*job, key.task.position, key.run, "a member of the gang makes no progress");
    else
        stopRun(key, "no progress");
}

/*! @brief Forecasts the time until a run ends. */
DurationForecast Controller::remainingRun(
    const ManagedWorkload& job, const RunKey& key, const LiveRun& run, TimePoint now) const
{
    const auto& step = job.row.request.steps[key.task.position.step];
    const auto whole = m_durations.forecast(job.row.queue, step.estimatedMs);
    const auto workingSince = step.isGang ? gangStart(job, key) : std::optional { run.confirmedAt };
    if (!workingSince)
        return whole;
    const std::chrono::duration<double, std::milli> working = now - *workingSince;
    const auto node = m_nodes.find(run.node);
    // A run that resumed a checkpoint lists a percent that it has not worked for.
    if (!run.isPartial && run.percent >= percentToTellPace && node != m_nodes.end()) {
        const auto sinceListed = static_cast<double>(node->second.newestReportMs - run.percentListedMs);
        const auto perPercent = std::max(0.0, working.count() - sinceListed) / run.percent;
        return { std::max(0.0, perPercent * 100 - working.count()), paceSpread };
    }
    if (run.percent > 0)
        return { whole.expectedMs * (100 - run.percent) / 100, whole.spread };
    return { std::max(0.0, whole.expectedMs - working.count()), whole.spread };
}

/*! @brief Stops a run whose executor leaves before its end, so that it goes on elsewhere. */
void Controller::moveFromLeaving(const RunKey& key, LiveRun& run, const Moment& now)
{
    const auto node = m_nodes.find(run.node);
    if (run.phase != RunPhase::confirmed || run.isStopping() || node == m_nodes.end() || !node->second.staysUntil
        || now.steady >= *node->second.staysUntil || node->second.lifetime != run.lifetime)
        return;
    auto* const job = findJob(key.task.job);
    // A task that lasts serves until the end of its executor.
    if (!job || job->row.request.steps[key.task.position.step].isService)
        return;
    const auto& step = job->row.request.steps[key.task.position.step];
    const auto ms = [](Duration time) { return std::chrono::duration<double, std::milli> { time }.count(); };
    const auto forecast = remainingRun(*job, key, run, now.steady);
    DepartingRun leaving;
    leaving.timeToDepartureMs = ms(*node->second.staysUntil - now.steady);
    leaving.remainingMs = forecast.expectedMs;
    leaving.spread = forecast.spread;
    // A run that saves its work does so once more when it is stopped.
    leaving.repeatedMs = run.checkpoint.empty() ? ms(now.steady - run.confirmedAt) : ms(m_settings.bounds.restore);
    // Executors leave with a goodbye or in silence, and it is not known which one it will be.
    leaving.detectionMs = ms(m_settings.permitEnd()) / 2;
    if (!shouldMoveNow(leaving))
        return;
    m_runsMoved.add();
    logEvent("run_moved",
        { { "task", key.task.toString() }, { "run", key.run }, { "node", run.node }, { "percent", run.percent },
            { "executor_stays_ms", leaving.timeToDepartureMs }, { "remaining_ms", leaving.remainingMs },
            { "repeated_ms", leaving.repeatedMs } });
    if (step.isGang)
        stopGangOf(*job, key.task.position, key.run, "a member's executor leaves");
    else
        stopRun(key, "the executor leaves");
}

}
