#pragma once

// Scheduler: asynchronous operations on gangs; each checks the lease before every effect.
#include "lycheespool/scheduler/scheduler.h"

namespace lycheespool {

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::spawn(Awaitable<> operation)
{
    ++m_operations;
    asio::co_spawn(
        m_executor, std::move(operation), [this](const std::exception_ptr& error) { onOperationEnded(error); });
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::spawn(const JobPtr& job, Awaitable<> operation)
{
    job->busy = true;
    ++m_operations;
    asio::co_spawn(m_executor, std::move(operation), [this, job](const std::exception_ptr& error) {
        job->busy = false;
        onOperationEnded(error);
    });
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::onOperationEnded(const std::exception_ptr& error)
{
    --m_operations;
    if (!error)
        return;
    try {
        std::rethrow_exception(error);
    } catch (const Error& failure) {
        m_operationsFailed.add();
        log(LogLevel::error, "operation on a job failed: {}", failure.what());
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
bool Scheduler<Policy, TableType, Orders, Clock>::isCurrent(const JobPtr& job) const
{
    const auto it = m_jobs.find(job->record.spec.id);
    return m_leading && it != m_jobs.end() && it->second == job;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
bool Scheduler<Policy, TableType, Orders, Clock>::mayAct(const JobPtr& job) const
{
    return isCurrent(job) && m_lease.isHeld();
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::startGang(JobPtr job)
{
    const auto members = ManagedJob::membersOf(job->assigned);
    job->highestAttempt = Attempt { std::max(job->highestAttempt, job->record.attempt).value() + 1 };
    const auto attempt = job->highestAttempt;
    const bool reserved = co_await reserveGang(job, attempt, members);
    bool written = false;
    if (reserved)
        written = co_await writeRunning(job, attempt);
    if (written)
        co_await sendStart(job, attempt, members);
    else
        co_await abandonStart(job, attempt, members);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::sendStart(
    JobPtr job, Attempt attempt, const GangMembers& members)
{
    const auto outcomes = co_await m_orders.send(OrderKind::start, job->record, attempt, members);
    const auto now = m_clock.now();
    job->startedAt = now;
    job->lastCheckpoint = now;
    job->phase = GangPhase::running;
    if (allAccepted(outcomes))
        m_gangsStarted.add();
    else if (isCurrent(job))
        beginStop(*job, JobState::queued, firstReason(outcomes), false, now);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<bool> Scheduler<Policy, TableType, Orders, Clock>::reserveGang(
    JobPtr job, Attempt attempt, const GangMembers& members)
{
    if (!mayAct(job) || job->reload || job->record.cancelRequested)
        co_return false;
    const auto outcomes = co_await m_orders.send(OrderKind::reserve, job->record, attempt, members);
    const bool accepted = allAccepted(outcomes);
    if (!accepted && isCurrent(job)) {
        job->record.reason = firstReason(outcomes);
        for (const auto& it : outcomes) {
            if (!it.accepted)
                suspend(it.worker, m_clock.now());
        }
    }
    co_return accepted&& mayAct(job) && !job->record.cancelRequested;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<bool> Scheduler<Policy, TableType, Orders, Clock>::writeRunning(JobPtr job, Attempt attempt)
{
    auto record = job->record;
    record.change(JobState::reserving);
    record.change(JobState::running);
    record.attempt = attempt;
    record.workers = job->assigned;
    const auto outcome = co_await m_store.write(*job, record);
    if (outcome != WriteOutcome::written)
        co_return false;
    job->record = std::move(record);
    job->dirty = false;
    co_return true;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::abandonStart(
    JobPtr job, Attempt attempt, const GangMembers& members)
{
    m_startsRefused.add();
    if (mayAct(job))
        co_await m_orders.send(OrderKind::release, job->record, attempt, members);
    job->phase = GangPhase::waiting;
    job->retryAt = m_clock.now() + retryDelay;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::stopGang(JobPtr job)
{
    const bool ready = co_await checkpointBeforeStop(job);
    if (!ready || !mayAct(job))
        co_return;
    co_await stopMembers(job);
    if (job->workersToStop.empty() && mayAct(job))
        co_await writeStopped(job);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<bool> Scheduler<Policy, TableType, Orders, Clock>::checkpointBeforeStop(JobPtr job)
{
    // Unless all tasks run, there is no common state to checkpoint.
    if (m_clock.now() >= job->checkpointDeadline || !allTasksInState(*job, "running"))
        co_return true;
    const auto members = ManagedJob::membersOf(job->record.workers);
    const auto outcomes = co_await m_orders.send(OrderKind::checkpoint, job->record, job->record.attempt, members);
    if (!allAccepted(outcomes))
        co_return m_clock.now() >= job->checkpointDeadline;
    const auto leastProgress = std::ranges::min(outcomes, {}, &OrderOutcome::progressMs).progressMs;
    job->record.checkpoint = std::max<Duration>(job->record.checkpoint, std::chrono::milliseconds { leastProgress });
    job->checkpointDeadline = {};
    co_return true;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::stopMembers(JobPtr job)
{
    // The leases of a lost worker's tasks have expired, so there is no task left to stop.
    std::erase_if(job->workersToStop, [&](const auto& it) { return isLost(it, m_clock.now()); });
    auto members = ManagedJob::membersOf(job->record.workers);
    std::erase_if(members, [&](const auto& it) { return !job->workersToStop.contains(it.first); });
    const auto outcomes = co_await m_orders.send(OrderKind::stop, job->record, job->record.attempt, members);
    for (const auto& it : outcomes) {
        if (it.accepted)
            job->workersToStop.erase(it.worker);
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::writeStopped(JobPtr job)
{
    auto record = job->record;
    record.change(job->stateAfterStop, job->stopReason);
    record.workers.clear();
    const auto outcome = co_await m_store.write(*job, record);
    if (outcome != WriteOutcome::written || !isCurrent(job))
        co_return;
    job->record = std::move(record);
    job->dirty = false;
    if (!isFinal(job->record.state)) {
        job->phase = GangPhase::waiting;
        job->retryAt = m_clock.now();
        co_return;
    }
    job->phase = GangPhase::ended;
    if (job->inPolicy)
        m_policy->cancel(job->record.spec.id, m_clock.now());
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::checkpointGang(JobPtr job)
{
    job->lastCheckpoint = m_clock.now();
    if (!mayAct(job))
        co_return;
    const auto members = ManagedJob::membersOf(job->record.workers);
    const auto outcomes = co_await m_orders.send(OrderKind::checkpoint, job->record, job->record.attempt, members);
    if (!allAccepted(outcomes))
        co_return;
    const auto leastProgress = std::ranges::min(outcomes, {}, &OrderOutcome::progressMs).progressMs;
    job->record.checkpoint = std::max<Duration>(job->record.checkpoint, std::chrono::milliseconds { leastProgress });
    job->dirty = true;
    if constexpr (requires { m_policy->checkpointed(job->record.spec.id, TimePoint {}); })
        m_policy->checkpointed(job->record.spec.id, m_clock.now());
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::flush(JobPtr job)
{
    if (!mayAct(job))
        co_return;
    const auto record = job->record;
    const auto outcome = co_await m_store.write(*job, record);
    if (outcome == WriteOutcome::written)
        job->dirty = false;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::reload(JobPtr job)
{
    Row row;
    try {
        auto key = JobRows::jobKey(job->record.spec.id);
        row = co_await m_table.get(std::move(key));
    } catch (const Error&) {
        co_return;
    }
    job->reload = false;
    job->version = row.version;
    try {
        const auto stored = JobRecord::decode(row.value);
        job->record.cancelRequested = job->record.cancelRequested || stored.cancelRequested;
        // The row of an abandoned start may have been written after all.
        if (job->phase == GangPhase::waiting || job->phase == GangPhase::starting)
            job->record.attempt = std::max(job->record.attempt, stored.attempt);
    } catch (const Error&) {
        // A missing or malformed row is replaced by the state in memory.
        m_malformedRows.add();
    }
    job->highestAttempt = std::max(job->highestAttempt, job->record.attempt);
    job->dirty = job->record.encode() != row.value;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::stopTask(WorkerId worker, TaskKey key)
{
    JobRecord record;
    record.spec.id = key.job;
    GangMembers members;
    members[worker].push_back(key.task);
    co_await m_orders.send(OrderKind::stop, record, key.attempt, members);
    m_unexpectedTaskStops.erase({ worker, key.job });
}

}
