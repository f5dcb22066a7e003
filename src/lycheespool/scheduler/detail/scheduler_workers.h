#pragma once

// Scheduler: workers and their agents.
#include "lycheespool/scheduler/scheduler.h"

namespace lycheespool {

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::onHello(const AgentId& agent, const Hello& hello, TimePoint now)
{
    if (hello.kind != EndpointKind::worker)
        return;
    const WorkerId worker { agent.value() };
    auto& view = m_agents[worker];
    const auto before = view.spec();
    view.applyHello(hello, now);
    const auto& after = view.spec();
    const bool same = before.zone == after.zone && before.rack == after.rack && before.capacity == after.capacity;
    if (same || !view.joined)
        return;
    view.joined = false;
    m_policy->workerLost(worker, now);
    stopGangsOn(worker, "was replaced by a different machine", now);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::onHeartbeat(
    const AgentId& agent, const Heartbeat& heartbeat, TimePoint now)
{
    const auto it = m_agents.find(WorkerId { agent.value() });
    if (it != m_agents.end())
        it->second.applyHeartbeat(heartbeat, now);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::onDisconnected(const AgentId& agent, TimePoint)
{
    // Most agents reconnect before their leases expire, so only missing heartbeats make the worker lost.
    const auto it = m_agents.find(WorkerId { agent.value() });
    if (it != m_agents.end())
        it->second.connected = false;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::removeSilentAgents(TimePoint now)
{
    // A connected agent is kept, because it sends its hello only once per connection.
    std::erase_if(m_agents, [&](const auto& it) {
        return !it.second.connected && !it.second.joined && now - it.second.lastHeartbeatAt() >= agentRetention;
    });
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::markLostWorkers(TimePoint now)
{
    for (auto& [worker, agent] : m_agents) {
        const bool silent = now - std::max(agent.lastHeartbeatAt(), m_observingSince) >= workerLostAfter;
        const bool tasksUnknown
            = now - std::max(agent.lastCompleteHeartbeatAt(), m_observingSince) >= tasksUnknownAfter;
        if (agent.lost || !(silent || tasksUnknown))
            continue;
        agent.lost = true;
        m_workersLost.add();
        log(LogLevel::warning, "worker {} is lost", worker.value());
        if (std::exchange(agent.joined, false))
            m_policy->workerLost(worker, now);
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::removeDrainingWorkers(TimePoint now)
{
    for (auto& [worker, agent] : m_agents) {
        if (!agent.joined || !agent.isDraining())
            continue;
        agent.joined = false;
        m_policy->workerLost(worker, now);
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::addUsableWorkers(TimePoint now)
{
    const auto blocked = blockedWorkers();
    for (auto& [worker, agent] : m_agents) {
        const bool usable = !agent.lost && agent.hasTaskList() && !agent.isDraining() && now >= agent.suspendedUntil;
        if (agent.joined || !usable || blocked.contains(worker))
            continue;
        agent.joined = true;
        m_policy->workerJoined(agent.spec(), now);
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
std::set<WorkerId> Scheduler<Policy, TableType, Orders, Clock>::blockedWorkers() const
{
    // The policy would treat the capacity of such a worker as free although tasks may still use it.
    std::set<WorkerId> blocked;
    for (const auto& [id, job] : m_jobs) {
        if (job->phase == GangPhase::stopping || (job->recovering && !allWorkersReported(*job)))
            blocked.insert(job->record.workers.begin(), job->record.workers.end());
    }
    return blocked;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::stopGangsOn(
    const WorkerId& worker, const std::string& reason, TimePoint now)
{
    for (const auto& [id, job] : m_jobs) {
        const auto& workers = job->record.workers;
        if (job->phase == GangPhase::running && std::ranges::find(workers, worker) != workers.end())
            beginStop(*job, JobState::queued, "worker " + worker.value() + " " + reason, false, now);
    }
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
void Scheduler<Policy, TableType, Orders, Clock>::suspend(const WorkerId& worker, TimePoint now)
{
    const auto agent = m_agents.find(worker);
    const bool used = std::ranges::any_of(m_jobs, [&](const auto& it) {
        const auto& workers = it.second->record.workers;
        return std::ranges::find(workers, worker) != workers.end();
    });
    // A worker with gangs stays in the policy, which would otherwise lose track of the capacity that they use.
    if (agent == m_agents.end() || !agent->second.joined || used)
        return;
    agent->second.joined = false;
    agent->second.suspendedUntil = now + suspensionTime;
    m_policy->workerLost(worker, now);
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
bool Scheduler<Policy, TableType, Orders, Clock>::isLost(const WorkerId& worker, TimePoint now) const
{
    const auto it = m_agents.find(worker);
    return it == m_agents.end() ? now - m_observingSince >= workerLostAfter : it->second.lost;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
const AgentView* Scheduler<Policy, TableType, Orders, Clock>::agentOf(const WorkerId& worker) const
{
    const auto it = m_agents.find(worker);
    return it == m_agents.end() || it->second.lost ? nullptr : &it->second;
}

template <typename Policy, typename TableType, typename Orders, typename Clock>
const TaskReport* Scheduler<Policy, TableType, Orders, Clock>::reportOf(const ManagedJob& job, std::uint32_t task) const
{
    const auto* const agent = agentOf(job.record.workers[task]);
    return agent ? agent->find(job.key(task)) : nullptr;
}

}
