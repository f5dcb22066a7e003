#pragma once

// Scheduler: reconciliation of jobs and execution of placement decisions; nothing here suspends.
#include "lycheespool/scheduler/scheduler.h"

namespace lycheespool {

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::reconcile(TimePoint now)
{
    std::erase_if(m_jobs, [](const auto& it) {
        const auto& job = *it.second;
        return job.phase == GangPhase::ended && !job.dirty && !job.busy && !job.reload;
    });
    for (const auto& [id, job] : m_jobs)
        reconcile(job, now);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::reconcile(const JobPtr& job, TimePoint now)
{
    if (job->busy)
        return;
    if (job->reload) {
        spawn(job, reload(job));
        return;
    }
    if (job->record.cancelRequested)
        cancel(*job, now);
    if (job->phase == GangPhase::waiting)
        reconcileWaiting(*job, now);
    else if (job->phase == GangPhase::running)
        reconcileRunning(job, now);
    if (job->phase == GangPhase::starting)
        spawn(job, startGang(job));
    if (job->phase == GangPhase::stopping && !job->busy)
        spawn(job, stopGang(job));
    if (job->dirty && !job->busy)
        spawn(job, flush(job));
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::reconcileWaiting(ManagedJob& job, TimePoint now)
{
    if (now < job.retryAt)
        return;
    if (!job.inPolicy)
        m_policy->submit(job.record.spec, now);
    else if (job.placed)
        m_policy->released(job.record.spec.id, now);
    job.inPolicy = true;
    job.placed = false;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::reconcileRunning(const JobPtr& job, TimePoint now)
{
    if (job->recovering) {
        recover(*job, now);
        return;
    }
    for (std::uint32_t i = 0; i < job->record.workers.size(); ++i) {
        if (const auto failure = findTaskFailure(*job, i, now)) {
            beginStop(*job, JobState::queued, *failure, false, now);
            return;
        }
    }
    const auto draining = std::ranges::find_if(job->record.workers, [&](const auto& it) {
        const auto* const agent = agentOf(it);
        return agent && agent->isDraining();
    });
    if (allTasksInState(*job, "done"))
        finish(*job, now);
    else if (draining != job->record.workers.end())
        beginStop(*job, JobState::queued, "worker " + draining->value() + " is draining", true, now);
    else if (now - job->lastCheckpoint >= checkpointInterval)
        spawn(job, checkpointGang(job));
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::recover(ManagedJob& job, TimePoint now)
{
    const auto& workers = job.record.workers;
    for (const auto& it : workers) {
        const auto* const agent = agentOf(it);
        if (isLost(it, now))
            beginStop(job, JobState::queued, "worker " + it.value() + " is lost", false, now);
        else if (agent && agent->isDraining())
            beginStop(job, JobState::queued, "worker " + it.value() + " is draining", true, now);
        if (job.phase == GangPhase::stopping)
            return;
    }
    const bool joined = std::ranges::all_of(workers, [&](const auto& it) {
        const auto* const agent = agentOf(it);
        return agent && agent->joined;
    });
    if (!allWorkersReported(job) || !joined)
        return;
    m_policy->adopt(job.record.spec, workers, now);
    job.inPolicy = true;
    job.placed = true;
    job.recovering = false;
    job.lastCheckpoint = now;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
bool Scheduler<Policy, TableType, Orders, Clock>::allWorkersReported(const ManagedJob& job) const
{
    // A report from before the takeover may not list a task that the previous leader had just started.
    return std::ranges::all_of(job.record.workers, [&](const auto& it) {
        const auto* const agent = agentOf(it);
        return agent && agent->hasTaskList() && agent->lastCompleteHeartbeatAt() >= m_tookOverAt;
    });
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
std::optional<std::string> Scheduler<Policy, TableType, Orders, Clock>::findTaskFailure(
    ManagedJob& job, std::uint32_t task, TimePoint now)
{
    const auto& worker = job.record.workers[task];
    const auto* const agent = agentOf(worker);
    if (!agent)
        return isLost(worker, now) ? std::optional { "worker " + worker.value() + " is lost" } : std::nullopt;
    const auto* const report = agent->find(job.key(task));
    if (!report) {
        const bool newer = agent->hasTaskList() && agent->lastCompleteHeartbeatAt() >= job.startedAt + reportDelay;
        return newer ? std::optional { "worker " + worker.value() + " no longer reports task " + std::to_string(task) }
                     : std::nullopt;
    }
    if (report->state == "failed") {
        m_policy->taskFailed(job.record.spec.id, worker, now);
        return "task " + std::to_string(task) + " failed on worker " + worker.value() + ": " + report->detail;
    }
    if (report->state == "stopped")
        return "task " + std::to_string(task) + " was stopped on worker " + worker.value() + ": " + report->detail;
    return std::nullopt;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
bool Scheduler<Policy, TableType, Orders, Clock>::allTasksInState(const ManagedJob& job, std::string_view state) const
{
    for (std::uint32_t i = 0; i < job.record.workers.size(); ++i) {
        const auto* const report = reportOf(job, i);
        if (!report || report->state != state)
            return false;
    }
    return true;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::cancel(ManagedJob& job, TimePoint now)
{
    const std::string reason { "cancelled on request" };
    if (job.phase == GangPhase::waiting) {
        if (job.inPolicy)
            m_policy->cancel(job.record.spec.id, now);
        end(job, JobState::cancelled, reason);
    } else if (job.phase == GangPhase::running) {
        beginStop(job, JobState::cancelled, reason, false, now);
    } else if (job.phase == GangPhase::stopping) {
        job.stateAfterStop = JobState::cancelled;
        job.stopReason = reason;
        job.checkpointDeadline = {};
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::finish(ManagedJob& job, TimePoint now)
{
    m_policy->finished(job.record.spec.id, now);
    job.record.checkpoint = job.record.runTime();
    end(job, JobState::done, {});
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::end(ManagedJob& job, JobState state, const std::string& reason)
{
    job.record.change(state, reason);
    job.phase = GangPhase::ended;
    job.inPolicy = false;
    job.dirty = true;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::beginStop(
    ManagedJob& job, JobState next, const std::string& reason, bool checkpoint, TimePoint now)
{
    log(LogLevel::info, "stopping job {} attempt {}: {}", job.record.spec.id.value(), job.record.attempt.value(),
        reason);
    job.phase = GangPhase::stopping;
    job.recovering = false;
    job.stateAfterStop = next;
    job.stopReason = reason;
    job.checkpointDeadline = checkpoint ? now + checkpointTimeout : TimePoint {};
    if (checkpoint)
        job.record.change(JobState::checkpointing, reason);
    job.workersToStop = { job.record.workers.begin(), job.record.workers.end() };
    updateCheckpointFromReports(job);
    m_gangsStopped.add();
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::updateCheckpointFromReports(ManagedJob& job) const
{
    auto leastCheckpoint = Duration::max();
    for (std::uint32_t i = 0; i < job.record.workers.size(); ++i) {
        const auto* const report = reportOf(job, i);
        if (!report)
            return;
        leastCheckpoint = std::min<Duration>(leastCheckpoint, std::chrono::milliseconds { report->checkpointMs });
    }
    job.record.checkpoint = std::max(job.record.checkpoint, leastCheckpoint);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::stopUnexpectedTasks()
{
    for (auto& [worker, agent] : m_agents) {
        if (!agent.hasTaskList() || agent.tasksCheckedAt >= agent.lastCompleteHeartbeatAt())
            continue;
        agent.tasksCheckedAt = agent.lastCompleteHeartbeatAt();
        stopUnexpectedTasks(worker, agent);
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::stopUnexpectedTasks(const WorkerId& worker, const AgentView& agent)
{
    for (const auto& [key, report] : agent.tasks()) {
        if (!isExpected(key) && m_unexpectedTaskStops.emplace(worker, key.job).second)
            spawn(stopTask(worker, key));
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
bool Scheduler<Policy, TableType, Orders, Clock>::isExpected(const TaskKey& key) const
{
    const auto it = m_jobs.find(key.job);
    if (it == m_jobs.end())
        return false;
    // While an operation is in progress, the attempt and the phase may be about to change.
    const auto& job = *it->second;
    return job.busy || job.reload || (job.phase != GangPhase::waiting && key.attempt == job.record.attempt);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::plan(TimePoint now)
{
    for (const auto& decision : m_policy->plan(now))
        std::visit([&](const auto& it) { execute(it, now); }, decision);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::execute(const StartGang& decision, TimePoint now)
{
    const auto it = m_jobs.find(decision.job);
    if (it == m_jobs.end() || it->second->phase != GangPhase::waiting) {
        m_policy->cancel(decision.job, now);
        return;
    }
    auto& job = *it->second;
    job.placed = true;
    job.assigned = decision.workers;
    job.phase = GangPhase::starting;
    reconcile(it->second, now);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::execute(const EvictGang& decision, TimePoint now)
{
    const auto it = m_jobs.find(decision.job);
    if (it != m_jobs.end() && it->second->phase == GangPhase::running)
        beginStop(*it->second, JobState::queued, decision.reason, true, now);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::execute(const FailJob& decision, TimePoint now)
{
    const auto it = m_jobs.find(decision.job);
    if (it == m_jobs.end())
        return;
    auto& job = *it->second;
    if (job.phase == GangPhase::waiting) {
        m_policy->cancel(decision.job, now);
        end(job, JobState::failed, decision.reason);
    } else if (job.phase == GangPhase::running) {
        beginStop(job, JobState::failed, decision.reason, false, now);
    }
}

}
