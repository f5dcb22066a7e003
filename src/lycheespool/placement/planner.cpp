#include "lycheespool/placement/planner.h"

#include "lycheespool/core/error.h"
#include "lycheespool/placement/guarantee_validation.h"
#include "lycheespool/placement/queue_order.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace lycheespool {

void Planner::submit(const JobSpec& spec, TimePoint now)
{
    if (findJob(spec.id) == noIndex)
        enqueue(makeJob(spec, now));
}

void Planner::adopt(const JobSpec& spec, const Assignment& workers, TimePoint now)
{
    auto job = findJob(spec.id);
    if (job == noIndex)
        job = makeJob(spec, now);
    else
        dequeue(job);
    vacate(job);
    occupy(job, placementOf(workers), PlacementState::running);
    m_jobs[job].startedAt = now;
    m_jobs[job].checkpointAt = now;
    m_jobs[job].interrupted = true;
    m_unsettled = true;
}

void Planner::cancel(const JobId& id, TimePoint)
{
    if (const auto job = findJob(id); job != noIndex)
        removeJob(job);
}

void Planner::finished(const JobId& id, TimePoint now)
{
    const auto index = findJob(id);
    if (index == noIndex)
        return;
    const auto& job = m_jobs[index];
    if (job.state == PlacementState::running && !job.interrupted)
        m_estimates.record(job.workspace, job.kind, job.declaredRunTime, now - job.startedAt);
    noteSuccess(job);
    removeJob(index);
}

void Planner::released(const JobId& id, TimePoint now)
{
    const auto job = findJob(id);
    if (job == noIndex || m_jobs[job].state == PlacementState::waiting)
        return;
    vacate(job);
    m_jobs[job].interrupted = true;
    m_jobs[job].backfilled = false;
    m_jobs[job].waitingFrom = now;
    enqueue(job);
}

void Planner::workerJoined(const WorkerSpec& spec, TimePoint)
{
    const auto known = m_topology.find(spec.id);
    if (known != noIndex && announcedAs(known, spec))
        return;
    if (known != noIndex) {
        withdraw(known);
        m_capacity.set(m_topology, known, Amount::none());
    }
    const auto worker = m_topology.join(spec);
    m_capacity.set(m_topology, worker, m_topology.worker(worker).capacity);
    refreshOffer(worker);
    m_unsettled = true;
}

bool Planner::announcedAs(Index index, const WorkerSpec& spec) const
{
    const auto& worker = m_topology.worker(index);
    if (!worker.present || worker.capacity != Amount::of(spec.capacity))
        return false;
    const auto& rack = m_topology.racks()[worker.rack];
    return rack.id == spec.rack && m_topology.zones()[rack.zone].id == spec.zone;
}

void Planner::workerLost(const WorkerId& id, TimePoint now)
{
    const auto worker = m_topology.find(id);
    if (worker == noIndex || !m_topology.worker(worker).present)
        return;
    m_lost.emplace_back(now, worker);
    m_lostAt[worker] = now;
    withdraw(worker);
}

void Planner::setZoneOutOfService(const ZoneId& id, bool out, TimePoint now)
{
    const auto index = m_topology.zoneIndex(id);
    if (m_topology.zone(index).out == out)
        return;
    m_topology.zone(index).out = out;
    m_returns.erase(index);
    if (!out)
        m_returns.emplace(index, ReturnPace { now });
    for (const auto rack : m_topology.zones()[index].racks) {
        for (const auto worker : m_topology.racks()[rack].workers)
            refreshOffer(worker);
    }
    m_unsettled = true;
}

Decisions Planner::plan(TimePoint now)
{
    m_decisions.clear();
    m_now = now;
    expireLost(now);
    advanceHealth(now);
    settle();
    failHopeless(now);
    drainZones(now);
    startClaims(now);
    placeProbes(now);
    placeWaiting(now);
    return std::exchange(m_decisions, {});
}

void Planner::setGuarantees(const Guarantees& guarantees, TimePoint)
{
    checkForm(guarantees);
    std::vector<CellBook::Cell> cells;
    for (const auto& [id, shapes] : guarantees) {
        const auto workspace = m_workspaces.indexOf(id);
        m_placed.resize(m_workspaces.size());
        for (const auto& it : shapes) {
            const GangShape shape { Amount::of(it.perTask), it.tasks, it.adjacency };
            cells.insert(cells.end(), it.count, CellBook::Cell { workspace, shape, {} });
        }
    }
    for (Index cell = 0; cell < m_book.cells().size(); ++cell)
        demoteCharged(cell);
    m_book.replaceCells(m_topology, std::move(cells));
    for (Index workspace = 0; workspace < m_workspaces.size(); ++workspace)
        chargePlaced(workspace);
    m_unsettled = true;
}

void Planner::checkpointed(const JobId& id, TimePoint now)
{
    if (const auto job = findJob(id); job != noIndex)
        m_jobs[job].checkpointAt = now;
}

std::vector<Shortfall> Planner::shortfalls()
{
    std::vector<Shortfall> found;
    for (auto& bound : boundCells()) {
        if (!bound.workers.empty())
            continue;
        const auto same = std::ranges::find_if(found, [&](Shortfall& it) {
            bound.cell.count = it.cell.count;
            return it.workspace == bound.workspace && it.cell == bound.cell;
        });
        bound.cell.count = 1;
        if (same == found.end())
            found.push_back({ bound.workspace, bound.cell });
        else
            ++same->cell.count;
    }
    return found;
}

std::vector<BoundCell> Planner::boundCells()
{
    settle();
    std::vector<BoundCell> bound;
    for (const auto& cell : m_book.cells()) {
        const auto& need = cell.shape.perTask;
        const Resources perTask { static_cast<std::uint32_t>(need.cores), static_cast<std::uint32_t>(need.memoryMiB),
            static_cast<std::uint32_t>(need.accelerators) };
        bound.push_back({ m_workspaces.name(cell.workspace), { cell.shape.adjacency, 1, perTask, cell.shape.tasks },
            assignmentOf(cell.place) });
    }
    return bound;
}

std::vector<JobStatus> Planner::jobs() const
{
    std::vector<JobStatus> all;
    for (const auto& [id, index] : m_jobIndex) {
        const auto& job = m_jobs[index];
        all.push_back({ id, m_workspaces.name(job.workspace), job.state, job.guaranteed, assignmentOf(job.place) });
    }
    std::ranges::sort(all, {}, &JobStatus::job);
    return all;
}

std::optional<Resources> Planner::freeOn(const WorkerId& id) const
{
    const auto worker = m_topology.find(id);
    if (worker == noIndex || !m_topology.worker(worker).present)
        return std::nullopt;
    const auto room = m_topology.worker(worker).capacity - m_loads[worker].used;
    const auto clip = [](std::int32_t n) { return static_cast<std::uint32_t>(std::max(n, 0)); };
    return Resources { clip(room.cores), clip(room.memoryMiB), clip(room.accelerators) };
}

Index Planner::findJob(const JobId& id) const
{
    const auto it = m_jobIndex.find(id);
    return it == m_jobIndex.end() ? noIndex : it->second;
}

Index Planner::makeJob(const JobSpec& spec, TimePoint now)
{
    if (spec.tasks == 0 || spec.tasks > maxGangTasks)
        throw Error(ErrorKind::invalidArgument, fmt::format("job {} has {} tasks", spec.id.value(), spec.tasks),
            fmt::format("submit gangs of 1 to {} tasks", maxGangTasks));
    auto index = static_cast<Index>(m_jobs.size());
    if (m_unusedJobs.empty()) {
        m_jobs.emplace_back();
    } else {
        index = m_unusedJobs.back();
        m_unusedJobs.pop_back();
    }
    m_jobIndex.emplace(spec.id, index);
    auto& job = m_jobs[index] = {};
    job.id = spec.id;
    job.shape = { Amount::of(spec.perTask), spec.tasks, spec.adjacency };
    job.declaredRunTime = spec.declaredRunTime;
    job.since = now;
    job.waitingFrom = now;
    job.workspace = m_workspaces.indexOf(spec.workspace);
    m_placed.resize(m_workspaces.size());
    job.kind = m_kinds.indexOf(spec.kind);
    job.urgency = spec.urgency;
    return index;
}

void Planner::removeJob(Index job)
{
    dequeue(job);
    vacate(job);
    if (m_reservation.job == job)
        m_reservation = {};
    m_unchecked.erase(job);
    m_failedOn.erase(job);
    m_jobIndex.erase(m_jobs[job].id);
    m_jobs[job] = {};
    m_unusedJobs.push_back(job);
}

void Planner::enqueue(Index index)
{
    auto& job = m_jobs[index];
    job.state = PlacementState::waiting;
    job.queueKey = queueKey(job.urgency, job.since, estimate(job));
    m_queue.emplace(job.queueKey, index);
    m_unchecked.insert(index);
}

void Planner::dequeue(Index job) { m_queue.erase({ m_jobs[job].queueKey, job }); }

}
