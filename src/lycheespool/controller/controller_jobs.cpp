// Job lifecycle in Controller: submission, cancellation, completion and removal.
#include "lycheespool/controller/controller.h"

#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheespool {

namespace {

constexpr std::string_view stateName(WorkloadState state)
{
    constexpr std::array<std::string_view, 5> names { "pending", "running", "completed", "failed", "cancelled" };
    return names[static_cast<std::size_t>(state)];
}

}

Controller::Controller(const ControllerSettings& settings, Epoch epoch, TimePoint now, Metrics& metrics)
    : m_settings { settings }
    , m_epoch { epoch }
    , m_startedAt { now }
    , m_config { std::make_shared<const OperatorConfig>() }
    , m_runsPlanned { metrics.counter("runs_planned_total") }
    , m_runsDone { metrics.counter("runs_done_total") }
    , m_runsFailed { metrics.counter("runs_failed_total") }
    , m_runsFailedOnSuspects { metrics.counter("runs_failed_on_suspects_total") }
    , m_runsLost { metrics.counter("runs_lost_total") }
    , m_endsOfReleasedRuns { metrics.counter("ends_of_released_runs_total") }
    , m_startsUnsettled { metrics.counter("later_starts_unsettled_total") }
    , m_endsWithoutRun { metrics.counter("ends_without_run_total") }
    , m_reportsIgnored { metrics.counter("node_reports_ignored_total") }
    , m_crashesAttributed { metrics.counter("crashes_attributed_total") }
    , m_runsEvicted { metrics.counter("runs_evicted_total") }
    , m_runsBackfilled { metrics.counter("runs_backfilled_total") }
    , m_runsYielded { metrics.counter("runs_yielded_total") }
    , m_startsDelayed { metrics.counter("starts_delayed_by_reservations_total") }
    , m_runsStalled { metrics.counter("runs_stalled_total") }
    , m_runsMoved { metrics.counter("runs_moved_total") }
    , m_unknownRunsStopped { metrics.counter("runs_unknown_stopped_total") }
    , m_writesRefused { metrics.counter("progress_writes_refused_total") }
    , m_unsendableOrders { metrics.counter("orders_too_large_total") }
    , m_waitMs { metrics.histogram("first_start_wait_ms") }
    , m_completionMs { metrics.histogram("completion_ms") }
    , m_failureMs { metrics.histogram("run_failed_after_ms") }
{
}

ManagedWorkload* Controller::findJob(const std::string& id)
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

const QueuePolicy& Controller::policyOf(const ManagedWorkload& job) const
{
    const auto* const queue = m_config->queue(job.row.queue);
    return queue ? queue->policy : job.row.policy;
}

void Controller::addJob(const std::string& id, JobRow row, std::string_view progress, std::uint64_t rowVersion,
    TimePoint now, std::uint64_t jobRowVersion)
{
    if (m_jobs.contains(id))
        return;
    // A row that no entry wrote may name steps or tasks that do not exist.
    if (const auto fault = findValidationError(row.request))
        throw Error { ErrorKind::malformedFrame, "the job row is not valid: " + *fault, "remove the row" };
    ManagedWorkload job;
    job.id = id;
    job.progress = progress.empty() ? JobProgress { row.request } : JobProgress::decode(row.request, progress);
    job.row = std::move(row);
    job.rowVersion = rowVersion;
    job.jobRowVersion = jobRowVersion;
    // A job without a progress row counts as changed, so that its row is written.
    job.storedRevision = rowVersion > 0 ? job.revision : 0;
    for (const auto& step : job.row.request.steps)
        m_durations.addEstimate(job.row.queue, step.estimatedMs);
    auto& added = m_jobs.emplace(id, std::move(job)).first->second;
    restoreTasks(added, now);
    logEvent("job_taken_in",
        { { "job", id }, { "queue", added.row.queue }, { "workspace", added.row.workspace },
            { "state", stateName(added.progress.state) }, { "row_version", rowVersion },
            { "epoch", m_epoch.value() } });
}

/*! @brief Builds the rounds of a job and restores the runs that its progress row names. */
void Controller::restoreTasks(ManagedWorkload& job, TimePoint now)
{
    const auto& steps = job.row.request.steps;
    job.rounds.resize(steps.size() * job.row.request.occurrenceCount());
    job.progress.forEach([&](const TaskPosition& position, TaskProgress& task) {
        auto& round = job.round(position.occurrence, position.step);
        if (!task.done)
            ++round.open;
        job.wasPlanned = job.wasPlanned || task.done || task.lastRun > 0;
        round.gangFailures += task.failures;
        round.lastFailedRun = std::max(round.lastFailedRun, task.lastFailedRun);
        for (const auto& it : task.placements) {
            const RunKey key { { job.id, position }, it.run };
            LiveRun run;
            run.lifetime = it.lifetime;
            run.node = it.node;
            // It is unknown whether the previous leader sent the order, so the run counts as ordered.
            run.phase = RunPhase::ordered;
            run.possibleStarts = 1;
            run.isPartial = true;
            run.wasAtWork = it.wasAtWork;
            run.charged = steps[position.step].charged();
            run.orderedAt = now;
            if (isEnded(job.progress.state))
                run.stopReason = "job has ended";
            else if (task.done)
                run.stopReason = "another run of the task is done";
            m_runs.emplace(key, std::move(run));
            // The row does not tell which run is done, so each of them may still begin.
            if (task.done)
                job.unsettledStarts.insert(key);
            ++round.live;
        }
        if (!task.done && task.placements.empty())
            round.waiting.insert(position.index);
    });
    // The previous leader may have ended while the completion waited for starts.
    const bool isComplete = std::ranges::all_of(job.rounds, [](const auto& it) { return it.open == 0; });
    if (!job.unsettledStarts.empty() || (isComplete && !isEnded(job.progress.state)))
        m_unsettledJobs.insert(job.id);
}

void Controller::cancelJob(const std::string& id, const ClockReading& now)
{
    auto* const job = findJob(id);
    if (job && !isEnded(job->progress.state))
        endJob(*job, WorkloadState::cancelled, "cancelled by the client", now);
}

void Controller::endJob(ManagedWorkload& job, WorkloadState state, const std::string& reason, const ClockReading& now)
{
    job.progress.state = state;
    job.progress.endedUnixMs = now.unixMs;
    markChanged(job);
    m_completionMs.record(static_cast<double>(now.unixMs - job.row.acceptedUnixMs));
    logEvent("job_ended",
        { { "job", job.id }, { "state", stateName(state) }, { "reason", reason },
            { "age_ms", now.unixMs - job.row.acceptedUnixMs }, { "config_version", m_config->version } });
    const RunKey first { { job.id, {} }, 0 };
    for (auto it = m_runs.lower_bound(first); it != m_runs.end() && it->first.task.job == job.id; ++it) {
        stopRun(it->first, "job " + std::string { stateName(state) });
    }
}

void Controller::completeIfDone(ManagedWorkload& job, const ClockReading& now)
{
    if (isEnded(job.progress.state) || !job.unsettledStarts.empty())
        return;
    if (std::ranges::all_of(job.rounds, [](const auto& it) { return it.open == 0; }))
        endJob(job, WorkloadState::completed, "all tasks are done", now);
}

std::vector<std::string> Controller::removableJobs(const ClockReading& now, std::size_t limit) const
{
    // Callers may read the status for statusRetention; another half of it covers clock differences.
    const auto retention = m_settings.bounds.statusRetention * 3 / 2;
    std::vector<std::string> ids;
    for (const auto& [id, job] : m_jobs) {
        if (ids.size() >= limit)
            break;
        const auto age = std::chrono::milliseconds { now.unixMs - job.progress.endedUnixMs };
        const bool isSettled = isEnded(job.progress.state) && job.revision == job.storedRevision
            && std::ranges::all_of(job.rounds, [](const auto& it) { return it.live == 0; });
        if (isSettled && age > retention)
            ids.push_back(id);
    }
    return ids;
}

}
