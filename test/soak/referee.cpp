#include "soak/referee.h"

#include "soak/soak_bounds.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheespool::soak {

void Referee::fail(std::string violation) { m_violations.push_back(std::move(violation)); }

const SoakJob* Referee::job(const std::string& id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second.job;
}

void Referee::onAttempt(const SoakJob& job)
{
    auto& seen = m_jobs[job.id];
    seen.job = job;
    ++seen.pendingAttempts;
}

void Referee::onAttemptEnd(const std::string& job, AttemptOutcome outcome, TimePoint now)
{
    auto& seen = m_jobs.at(job);
    --seen.pendingAttempts;
    if (outcome == AttemptOutcome::unknown)
        ++seen.unknownAttempts;
    if (outcome == AttemptOutcome::accepted && !seen.acceptedAt)
        seen.acceptedAt = now;
}

void Referee::onCancelSent(const std::string& job) { m_jobs.at(job).isCancelSent = true; }

void Referee::onCancelAcknowledged(const std::string& job, TimePoint now)
{
    auto& seen = m_jobs.at(job);
    if (!seen.cancelledAt)
        seen.cancelledAt = now;
}

void Referee::onShown(const std::string& job, std::string_view state)
{
    auto& seen = m_jobs.at(job);
    if (state == "cancelled" && !seen.isCancelSent)
        fail(fmt::format("job {} is shown as cancelled, nobody cancelled it", job));
    if (state == "completed") {
        for (std::uint32_t step = 0; step < seen.job.steps.size(); ++step) {
            for (std::uint32_t i = 0; i < seen.job.steps[step].tasks; ++i) {
                if (!isDone({ job, { 0, step, i } }))
                    fail(fmt::format("job {} is shown as completed, task {}.{} is not done", job, step, i));
            }
        }
    }
    const auto spent = [&](const auto& it) { return it.first.job == job && it.second.failuresNoted >= maxAttempts; };
    if (state == "failed" && std::ranges::none_of(m_tasks, spent))
        fail(fmt::format("job {} is shown as failed, no task has failed {} times", job, maxAttempts));
    if (state == "completed" || state == "failed" || state == "cancelled")
        seen.finalState = state;
    else if (!seen.finalState.empty() && seen.finalState != "cancelled")
        fail(fmt::format("job {} is shown as {} after it was shown as {}", job, state, seen.finalState));
}

void Referee::onNotFound(const std::string& job, TimePoint sent)
{
    const auto& seen = m_jobs.at(job);
    if (!seen.isCancelSent && seen.acceptedAt && sent > *seen.acceptedAt + visibleBound)
        fail(fmt::format("job {} was accepted and is not known any more", job));
}

void Referee::onDenied(const std::string& job, unsigned status)
{
    fail(fmt::format("a call for job {} got {}, its queue and key were always valid", job, status));
}

TaskName Referee::unitOf(const TaskName& task) const
{
    auto unit = task;
    if (m_jobs.at(task.job).job.steps.at(task.position.step).isGang)
        unit.position.index = 0;
    return unit;
}

bool Referee::isDone(const TaskName& task) const
{
    const auto it = m_tasks.find(unitOf(task));
    return it != m_tasks.end() && !it->second.done.empty();
}

void Referee::checkOrder(const JobSeen& job, const RunSeen& run)
{
    for (const auto step : job.job.steps[run.task.position.step].after) {
        for (std::uint32_t i = 0; i < job.job.steps[step].tasks; ++i) {
            if (!isDone({ run.task.job, { 0, step, i } }))
                fail(fmt::format("{} starts before task {}.{} is done", run.task.toString(), step, i));
        }
    }
}

void Referee::onStart(
    const RunSeen& run, const std::string& payload, const std::string& checkpoint, bool isLate, TimePoint now)
{
    ++m_starts;
    const auto name = fmt::format("{}#{} on {}", run.task.toString(), run.run, run.executor);
    const auto found = m_jobs.find(run.task.job);
    if (found == m_jobs.end() || found->second.job.steps.size() <= run.task.position.step
        || found->second.job.steps[run.task.position.step].tasks <= run.task.position.index
        || found->second.job.payload != payload)
        return fail(fmt::format("{} starts, no client sent it", name));
    const auto& job = found->second;
    if (!job.acceptedAt && job.pendingAttempts == 0 && job.unknownAttempts == 0)
        fail(fmt::format("{} starts, all attempts to hand the job in were rejected", name));
    auto& task = m_tasks[unitOf(run.task)];
    if (!checkpoint.empty() && !task.checkpoints.contains(checkpoint))
        fail(fmt::format("{} starts from a checkpoint that is not its own", name));
    for (const auto& it : task.live) {
        if (it.task == run.task && it.executor != run.executor)
            fail(fmt::format("{} starts while #{} runs on {}", name, it.run, it.executor));
    }
    if (task.isDoneNoted)
        fail(fmt::format("{} starts after a noted end", name));
    for (auto& [ended, isStartedAgain] : task.done)
        isStartedAgain = isStartedAgain || ended.run != run.run;
    if (task.failuresNoted >= maxAttempts)
        fail(fmt::format("{} starts after {} failures", name, task.failuresNoted));
    checkOrder(job, run);
    // Bounds in time hold for orders that executors carry out when they receive them.
    if (!isLate) {
        if (job.cancelledAt && now > *job.cancelledAt + cancelBound)
            fail(fmt::format("{} starts after the job was cancelled", name));
        const auto& executor = m_executors[run.executor];
        if (executor.drainedAt && now > *executor.drainedAt + drainBound)
            fail(fmt::format("{} starts although the executor is draining", name));
        const auto zone = m_zonesOut.find(executor.zone);
        if (zone != m_zonesOut.end() && now > zone->second + evacuationBound)
            fail(fmt::format("{} starts in {}, which was taken out", name, executor.zone));
    }
    task.live.insert(run);
}

void Referee::onOverload(const RunSeen& run)
{
    fail(fmt::format("{} starts on {} beyond its capacity", run.task.toString(), run.executor));
}

void Referee::onEnd(const RunSeen& run, std::string_view how)
{
    auto& task = m_tasks[unitOf(run.task)];
    task.live.erase(run);
    if (how == "done")
        task.done.emplace(run, false);
}

void Referee::onCheckpoint(const TaskName& task, const std::string& checkpoint)
{
    m_tasks[unitOf(task)].checkpoints.insert(checkpoint);
}

void Referee::onEndNoted(const RunSeen& run, std::string_view how)
{
    auto& task = m_tasks[unitOf(run.task)];
    if (how == "done") {
        if (const auto it = task.done.find(run); it != task.done.end() && it->second)
            fail(fmt::format("{} was started again, although its end was noted later", run.task.toString()));
        task.isDoneNoted = true;
    }
    if (how == "failed")
        ++task.failuresNoted;
}

void Referee::onExecutorDown(const std::string& executor)
{
    for (auto& [name, task] : m_tasks)
        std::erase_if(task.live, [&](const auto& it) { return it.executor == executor; });
    m_executors.erase(executor);
}

void Referee::onExecutorUp(const std::string& executor, const std::string& zone)
{
    m_executors[executor] = { zone, std::nullopt };
}

void Referee::onDrainAcknowledged(const std::string& executor, TimePoint now) { m_executors[executor].drainedAt = now; }

void Referee::onZoneOut(const std::string& zone, TimePoint now) { m_zonesOut.emplace(zone, now); }

void Referee::onZoneBack(const std::string& zone) { m_zonesOut.erase(zone); }

std::vector<std::string> Referee::unfinished() const
{
    std::vector<std::string> ids;
    for (const auto& [id, job] : m_jobs) {
        if (job.acceptedAt && !job.isCancelSent && job.finalState.empty())
            ids.push_back(id);
    }
    return ids;
}

std::size_t Referee::accepted() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_jobs, [](const auto& it) { return it.second.acceptedAt.has_value(); }));
}

std::size_t Referee::completed() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_jobs, [](const auto& it) { return it.second.finalState == "completed"; }));
}

}
