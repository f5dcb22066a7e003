#pragma once

// Scheduler: lease, state rebuild and inbox.
#include "lycheespool/scheduler/scheduler.h"

namespace lycheespool {

template <typename Policy, typename TableType, typename Orders, typename Clock>
Scheduler<Policy, TableType, Orders, Clock>::Scheduler(const asio::any_io_executor& executor,
    const SchedulerSettings& settings, MakePolicy makePolicy, TableType& table, Orders& orders, Metrics& metrics,
    Clock clock)
    : m_executor { executor }
    , m_makePolicy { std::move(makePolicy) }
    , m_table { table }
    , m_clock { clock }
    , m_lease { executor, settings.domain, LeaseRecord { settings.entry, settings.incarnation, {} }, table, clock }
    , m_store { table, m_lease }
    , m_orders { orders, m_lease, m_agents }
    , m_stepFailures { metrics.counter("scheduler_steps_failed_total") }
    , m_gangsStarted { metrics.counter("scheduler_gangs_started_total") }
    , m_startsRefused { metrics.counter("scheduler_starts_refused_total") }
    , m_gangsStopped { metrics.counter("scheduler_gangs_stopped_total") }
    , m_workersLost { metrics.counter("scheduler_workers_lost_total") }
    , m_malformedRows { metrics.counter("scheduler_rows_malformed_total") }
    , m_operationsFailed { metrics.counter("scheduler_operations_failed_total") }
{
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::setZonesOut(
    const std::vector<ZoneId>& zones, Revision revision, TimePoint now)
{
    const std::set<ZoneId> next { zones.begin(), zones.end() };
    for (const auto& it : next) {
        if (m_policy && !m_zonesOut.contains(it))
            m_policy->setZoneOutOfService(it, true, now);
    }
    for (const auto& it : m_zonesOut) {
        if (m_policy && !next.contains(it))
            m_policy->setZoneOutOfService(it, false, now);
    }
    m_zonesOut = next;
    m_orders.setRevision(revision);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::step(TimePoint now)
{
    if (std::exchange(m_stepping, true))
        co_return;
    try {
        co_await stepOnce(now);
    } catch (const Error&) {
        m_stepFailures.add();
    }
    m_stepping = false;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::stepOnce(TimePoint now)
{
    const auto event = co_await m_lease.step();
    apply(event, now);
    removeSilentAgents(now);
    if (!m_leading || !m_lease.isHeld())
        co_return;
    if (!m_rebuilt)
        co_await rebuild(now);
    else
        co_await processInbox(now);
    // The reads may have taken long, and the lease may have expired or been lost meanwhile.
    if (!m_leading || !m_lease.isHeld())
        co_return;
    now = std::max(now, m_clock.now());
    markLostWorkers(now);
    removeDrainingWorkers(now);
    addUsableWorkers(now);
    reconcile(now);
    stopUnexpectedTasks();
    plan(now);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::apply(LeaseEvent event, TimePoint now)
{
    switch (event) {
    case LeaseEvent::none:
        break;
    case LeaseEvent::taken:
        clearLeaderState();
        m_leading = true;
        m_observingSince = now;
        m_tookOverAt = now;
        log(LogLevel::info, "acquired the leader lease, epoch {}", m_lease.epoch().value());
        break;
    case LeaseEvent::regained:
        m_observingSince = now;
        log(LogLevel::warning, "renewed the leader lease after it had expired");
        break;
    case LeaseEvent::lost:
        clearLeaderState();
        log(LogLevel::warning, "lost the leader lease to another process");
        break;
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::clearLeaderState()
{
    m_leading = false;
    m_rebuilt = false;
    m_jobs.clear();
    m_unexpectedTaskStops.clear();
    m_policy.reset();
    for (auto& [worker, agent] : m_agents) {
        agent.joined = false;
        agent.lost = false;
        agent.tasksCheckedAt = {};
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::rebuild(TimePoint now)
{
    std::string prefix { JobRows::jobPrefix };
    const auto rows = co_await m_table.list(std::move(prefix));
    m_policy = m_makePolicy();
    for (const auto& it : m_zonesOut)
        m_policy->setZoneOutOfService(it, true, now);
    for (const auto& it : rows)
        applyJobRow(it, now);
    m_rebuilt = true;
    log(LogLevel::info, "rebuilt the state: {} jobs, {} workers known", m_jobs.size(), m_agents.size());
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::processInbox(TimePoint now)
{
    std::string prefix { JobRows::inboxPrefix };
    auto changes = co_await m_table.list(std::move(prefix));
    if (changes.empty())
        co_return;
    changes.resize(std::min(changes.size(), maxInboxRowsPerStep));
    std::vector<Awaitable<Row>> reads;
    reads.reserve(changes.size());
    for (const auto& it : changes)
        reads.push_back(m_table.get(JobRows::jobKey(JobRows::idOf(it))));
    const auto settled = co_await whenAll(std::move(reads));
    Rows processed;
    for (std::size_t i = 0; i < settled.size() && m_leading; ++i) {
        if (settled[i].error)
            continue;
        applyJobRow(settled[i].value, now);
        processed.push_back(changes[i]);
    }
    if (m_leading && !processed.empty())
        co_await m_store.acknowledge(processed);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::applyJobRow(const Row& row, TimePoint)
{
    if (!row.exists())
        return;
    try {
        auto record = JobRecord::decode(row.value);
        const auto it = m_jobs.find(record.spec.id);
        if (it == m_jobs.end())
            add(std::move(record), row.version);
        else if (it->second->version != row.version)
            it->second->reload = true;
    } catch (const Error& error) {
        m_malformedRows.add();
        log(LogLevel::error, "row {} is not a valid job: {}", row.key, error.what());
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::add(JobRecord record, std::uint64_t version)
{
    if (isFinal(record.state))
        return;
    auto job = std::make_shared<ManagedJob>();
    const auto id = record.spec.id;
    job->record = std::move(record);
    job->version = version;
    job->highestAttempt = job->record.attempt;
    if (!job->record.workers.empty()) {
        job->phase = GangPhase::running;
        job->recovering = true;
    } else {
        // Without workers no task runs, whatever state another version may have written to the row.
        job->record.state = JobState::queued;
    }
    m_jobs.emplace(id, std::move(job));
}

}
