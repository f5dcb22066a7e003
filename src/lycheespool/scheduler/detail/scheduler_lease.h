#pragma once

// Lease, rebuild and inbox of Scheduler.
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
    , m_badRows { metrics.counter("scheduler_rows_malformed_total") }
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
    forgetSilent(now);
    if (!m_leading || !m_lease.isHeld())
        co_return;
    if (!m_rebuilt)
        co_await rebuild(now);
    else
        co_await takeInChanges(now);
    // The reads may have taken long, or another step of the lease may have ended the term.
    if (!m_leading || !m_lease.isHeld())
        co_return;
    now = std::max(now, m_clock.now());
    loseWorkers(now);
    leaveWorkers(now);
    joinWorkers(now);
    review(now);
    stopUnwanted();
    plan(now);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::apply(LeaseEvent event, TimePoint now)
{
    switch (event) {
    case LeaseEvent::none:
        break;
    case LeaseEvent::taken:
        resign();
        m_leading = true;
        m_observingSince = now;
        m_tookOver = now;
        log(LogLevel::info, "took the leader lease, epoch {}", m_lease.epoch().value());
        break;
    case LeaseEvent::regained:
        m_observingSince = now;
        log(LogLevel::warning, "renewed the leader lease after it had lapsed");
        break;
    case LeaseEvent::lost:
        resign();
        log(LogLevel::warning, "another process took the leader lease");
        break;
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::resign()
{
    m_leading = false;
    m_rebuilt = false;
    m_jobs.clear();
    m_unwanted.clear();
    m_policy.reset();
    for (auto& [worker, agent] : m_agents) {
        agent.joined = false;
        agent.lost = false;
        agent.searched = {};
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
        absorb(it, now);
    m_rebuilt = true;
    log(LogLevel::info, "rebuilt the state: {} jobs, {} workers known", m_jobs.size(), m_agents.size());
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
Awaitable<> Scheduler<Policy, TableType, Orders, Clock>::takeInChanges(TimePoint now)
{
    std::string prefix { JobRows::inboxPrefix };
    auto changes = co_await m_table.list(std::move(prefix));
    if (changes.empty())
        co_return;
    changes.resize(std::min(changes.size(), maxChanges));
    std::vector<Awaitable<Row>> reads;
    reads.reserve(changes.size());
    for (const auto& it : changes)
        reads.push_back(m_table.get(JobRows::jobKey(JobRows::idOf(it))));
    const auto settled = co_await whenAll(std::move(reads));
    Rows taken;
    for (std::size_t i = 0; i < settled.size() && m_leading; ++i) {
        if (settled[i].error)
            continue;
        absorb(settled[i].value, now);
        taken.push_back(changes[i]);
    }
    if (m_leading && !taken.empty())
        co_await m_store.acknowledge(taken);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::absorb(const Row& row, TimePoint)
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
        m_badRows.add();
        log(LogLevel::error, "row {} is not a job: {}", row.key, error.what());
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
    job->tried = job->record.attempt;
    if (!job->record.workers.empty()) {
        job->phase = GangPhase::running;
        job->recovering = true;
    } else {
        // Without workers nothing runs, whatever state another version may have left in the row.
        job->record.state = JobState::queued;
    }
    m_jobs.emplace(id, std::move(job));
}

}
