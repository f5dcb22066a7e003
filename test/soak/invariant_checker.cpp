#include "soak/invariant_checker.h"

#include "soak/soak_bounds.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheespool::soak {

void InvariantChecker::fail(std::string violation) { m_violations.push_back(std::move(violation)); }

const SoakJob* InvariantChecker::job(const std::string& id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second.job;
}

void InvariantChecker::onSubmit(const SoakJob& job)
{
    auto& record = m_jobs[job.id];
    record.job = job;
    ++record.pendingSubmits;
}

void InvariantChecker::onSubmitResult(const std::string& job, SubmitOutcome outcome, TimePoint now)
{
    auto& record = m_jobs.at(job);
    --record.pendingSubmits;
    if (outcome == SubmitOutcome::unknown)
        ++record.unknownSubmits;
    if (outcome == SubmitOutcome::accepted && !record.acceptedAt)
        record.acceptedAt = now;
}

void InvariantChecker::onCancelSent(const std::string& job) { m_jobs.at(job).isCancelSent = true; }

void InvariantChecker::onCancelAcknowledged(const std::string& job, TimePoint now)
{
    auto& record = m_jobs.at(job);
    if (!record.cancelledAt)
        record.cancelledAt = now;
}

void InvariantChecker::onStateReported(const std::string& job, std::string_view state)
{
    auto& record = m_jobs.at(job);
    if (state == "cancelled" && !record.isCancelSent)
        fail(fmt::format("job {} is reported as cancelled, but no client cancelled it", job));
    if (state == "completed") {
        for (std::uint32_t step = 0; step < record.job.steps.size(); ++step) {
            for (std::uint32_t i = 0; i < record.job.steps[step].tasks; ++i) {
                if (!isDone({ job, { 0, step, i } }))
                    fail(fmt::format("job {} is reported as completed, but task {}.{} is not done", job, step, i));
            }
        }
    }
    const auto isExhausted
        = [&](const auto& it) { return it.first.job == job && it.second.acknowledgedFailures >= maxAttempts; };
    if (state == "failed" && std::ranges::none_of(m_tasks, isExhausted))
        fail(fmt::format("job {} is reported as failed, but no task has failed {} times", job, maxAttempts));
    if (state == "completed" || state == "failed" || state == "cancelled")
        record.finalState = state;
    else if (!record.finalState.empty() && record.finalState != "cancelled")
        fail(fmt::format("job {} is reported as {} after it was reported as {}", job, state, record.finalState));
}

void InvariantChecker::onNotFound(const std::string& job, TimePoint sent)
{
    const auto& record = m_jobs.at(job);
    if (!record.isCancelSent && record.acceptedAt && sent > *record.acceptedAt + visibleBound)
        fail(fmt::format("job {} was accepted but is no longer known", job));
}

void InvariantChecker::onDenied(const std::string& job, unsigned status)
{
    fail(fmt::format("a call for job {} got {}, but its queue and key were always valid", job, status));
}

TaskName InvariantChecker::unitOf(const TaskName& task) const
{
    auto unit = task;
    if (m_jobs.at(task.job).job.steps.at(task.position.step).isGang)
        unit.position.index = 0;
    return unit;
}

bool InvariantChecker::isDone(const TaskName& task) const
{
    const auto it = m_tasks.find(unitOf(task));
    return it != m_tasks.end() && !it->second.done.empty();
}

void InvariantChecker::checkStepOrder(const JobRecord& job, const ObservedRun& run)
{
    for (const auto step : job.job.steps[run.task.position.step].after) {
        for (std::uint32_t i = 0; i < job.job.steps[step].tasks; ++i) {
            if (!isDone({ run.task.job, { 0, step, i } }))
                fail(fmt::format("{} starts before task {}.{} is done", run.task.toString(), step, i));
        }
    }
}

void InvariantChecker::onStart(
    const ObservedRun& run, const std::string& payload, const std::string& checkpoint, bool isLate, TimePoint now)
{
    ++m_starts;
    const auto name = fmt::format("{}#{} on {}", run.task.toString(), run.run, run.executor);
    const auto found = m_jobs.find(run.task.job);
    if (found == m_jobs.end() || found->second.job.steps.size() <= run.task.position.step
        || found->second.job.steps[run.task.position.step].tasks <= run.task.position.index
        || found->second.job.payload != payload)
        return fail(fmt::format("{} starts, but no client submitted it", name));
    const auto& job = found->second;
    if (!job.acceptedAt && job.pendingSubmits == 0 && job.unknownSubmits == 0)
        fail(fmt::format("{} starts, but all submissions of the job were rejected", name));
    auto& task = m_tasks[unitOf(run.task)];
    if (!checkpoint.empty() && !task.checkpoints.contains(checkpoint))
        fail(fmt::format("{} starts from a checkpoint that is not its own", name));
    for (const auto& it : task.live) {
        if (it.task == run.task && it.executor != run.executor)
            fail(fmt::format("{} starts while #{} runs on {}", name, it.run, it.executor));
    }
    if (task.isDoneAcknowledged)
        fail(fmt::format("{} starts after its end as done was acknowledged", name));
    for (auto& [ended, isStartedAgain] : task.done)
        isStartedAgain = isStartedAgain || ended.run != run.run;
    if (task.acknowledgedFailures >= maxAttempts)
        fail(fmt::format("{} starts after {} failures", name, task.acknowledgedFailures));
    checkStepOrder(job, run);
    // Time bounds apply only to commands that executors execute on receipt.
    if (!isLate) {
        if (job.cancelledAt && now > *job.cancelledAt + cancelBound)
            fail(fmt::format("{} starts after the job was cancelled", name));
        const auto& executor = m_executors[run.executor];
        if (executor.drainedAt && now > *executor.drainedAt + drainBound)
            fail(fmt::format("{} starts although the executor is draining", name));
        const auto zone = m_evacuatedZones.find(executor.zone);
        if (zone != m_evacuatedZones.end() && now > zone->second + evacuationBound)
            fail(fmt::format("{} starts in {}, which was evacuated", name, executor.zone));
    }
    task.live.insert(run);
}

void InvariantChecker::onCapacityExceeded(const ObservedRun& run)
{
    fail(fmt::format("{} starts on {} beyond its capacity", run.task.toString(), run.executor));
}

void InvariantChecker::onEnd(const ObservedRun& run, std::string_view endReason)
{
    auto& task = m_tasks[unitOf(run.task)];
    task.live.erase(run);
    if (endReason == "done")
        task.done.emplace(run, false);
}

void InvariantChecker::onCheckpoint(const TaskName& task, const std::string& checkpoint)
{
    m_tasks[unitOf(task)].checkpoints.insert(checkpoint);
}

void InvariantChecker::onEndAcknowledged(const ObservedRun& run, std::string_view endReason)
{
    auto& task = m_tasks[unitOf(run.task)];
    if (endReason == "done") {
        if (const auto it = task.done.find(run); it != task.done.end() && it->second)
            fail(fmt::format(
                "{} was started again, and its earlier end as done was acknowledged later", run.task.toString()));
        task.isDoneAcknowledged = true;
    }
    if (endReason == "failed")
        ++task.acknowledgedFailures;
}

void InvariantChecker::onExecutorDown(const std::string& executor)
{
    for (auto& [name, task] : m_tasks)
        std::erase_if(task.live, [&](const auto& it) { return it.executor == executor; });
    m_executors.erase(executor);
}

void InvariantChecker::onExecutorUp(const std::string& executor, const std::string& zone)
{
    m_executors[executor] = { zone, std::nullopt };
}

void InvariantChecker::onDrainAcknowledged(const std::string& executor, TimePoint now)
{
    m_executors[executor].drainedAt = now;
}

void InvariantChecker::onZoneEvacuated(const std::string& zone, TimePoint now) { m_evacuatedZones.emplace(zone, now); }

void InvariantChecker::onZoneRestored(const std::string& zone) { m_evacuatedZones.erase(zone); }

std::vector<std::string> InvariantChecker::unfinished() const
{
    std::vector<std::string> ids;
    for (const auto& [id, job] : m_jobs) {
        if (job.acceptedAt && !job.isCancelSent && job.finalState.empty())
            ids.push_back(id);
    }
    return ids;
}

std::size_t InvariantChecker::accepted() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_jobs, [](const auto& it) { return it.second.acceptedAt.has_value(); }));
}

std::size_t InvariantChecker::completed() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_jobs, [](const auto& it) { return it.second.finalState == "completed"; }));
}

}
