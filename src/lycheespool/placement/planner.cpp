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
    occupy(job, placementFrom(workers), PlacementState::running);
    m_jobs[job].startedAt = now;
    m_jobs[job].checkpointAt = now;
    m_jobs[job].interrupted = true;
    m_cellsOutdated = true;
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
    recordSuccess(job);
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
    m_jobs[job].waitingSince = now;
    enqueue(job);
}

void Planner::workerJoined(const WorkerSpec& spec, TimePoint)
{
    const auto known = m_topology.find(spec.id);
    if (known != noIndex && matchesSpec(known, spec))
        return;
    if (known != noIndex) {
        markAbsent(known);
        m_capacity.set(m_topology, known, SignedResources::unavailable());
    }
    const auto worker = m_topology.registerWorker(spec);
    m_capacity.set(m_topology, worker, m_topology.worker(worker).capacity);
    updateWorker(worker);
    m_cellsOutdated = true;
}

bool Planner::matchesSpec(Index index, const WorkerSpec& spec) const
{
    const auto& worker = m_topology.worker(index);
    if (!worker.present || worker.capacity != SignedResources::of(spec.capacity))
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
    markAbsent(worker);
}

void Planner::setZoneOutOfService(const ZoneId& id, bool outOfService, TimePoint now)
{
    const auto index = m_topology.zoneIndex(id);
    if (m_topology.zone(index).outOfService == outOfService)
        return;
    m_topology.zone(index).outOfService = outOfService;
    m_startLimiters.erase(index);
    if (!outOfService)
        m_startLimiters.emplace(index, ZoneStartLimiter { now });
    for (const auto rack : m_topology.zones()[index].racks) {
        for (const auto worker : m_topology.racks()[rack].workers)
            updateWorker(worker);
    }
    m_cellsOutdated = true;
}

Decisions Planner::plan(TimePoint now)
{
    m_decisions.clear();
    m_now = now;
    expireLostWorkers(now);
    advanceHealth(now);
    remapCells();
    failImpossibleJobs(now);
    drainZones(now);
    startClaims(now);
    placeProbes(now);
    placeWaiting(now);
    return std::exchange(m_decisions, {});
}

void Planner::setGuarantees(const Guarantees& guarantees, TimePoint)
{
    validateGuarantees(guarantees);
    std::vector<CellAllocations::Cell> cells;
    for (const auto& [id, shapes] : guarantees) {
        const auto workspace = m_workspaces.indexOf(id);
        m_placed.resize(m_workspaces.size());
        for (const auto& it : shapes) {
            const GangShape shape { SignedResources::of(it.perTask), it.tasks, it.adjacency };
            cells.insert(cells.end(), it.count, CellAllocations::Cell { workspace, shape, {} });
        }
    }
    for (Index cell = 0; cell < m_cellAllocations.cells().size(); ++cell)
        demoteJobsIn(cell);
    m_cellAllocations.replaceCells(m_topology, std::move(cells));
    for (Index workspace = 0; workspace < m_workspaces.size(); ++workspace)
        chargePlacedJobs(workspace);
    m_cellsOutdated = true;
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
        const auto match = std::ranges::find_if(found, [&](Shortfall& it) {
            bound.cell.count = it.cell.count;
            return it.workspace == bound.workspace && it.cell == bound.cell;
        });
        bound.cell.count = 1;
        if (match == found.end())
            found.push_back({ bound.workspace, bound.cell });
        else
            ++match->cell.count;
    }
    return found;
}

std::vector<BoundCell> Planner::boundCells()
{
    remapCells();
    std::vector<BoundCell> bound;
    for (const auto& cell : m_cellAllocations.cells()) {
        const auto& need = cell.shape.perTask;
        const Resources perTask { static_cast<std::uint32_t>(need.cores), static_cast<std::uint32_t>(need.memoryMiB),
            static_cast<std::uint32_t>(need.accelerators) };
        bound.push_back({ m_workspaces.name(cell.workspace), { cell.shape.adjacency, 1, perTask, cell.shape.tasks },
            assignmentFrom(cell.placement) });
    }
    return bound;
}

std::vector<JobStatus> Planner::jobs() const
{
    std::vector<JobStatus> all;
    for (const auto& [id, index] : m_jobIndex) {
        const auto& job = m_jobs[index];
        all.push_back(
            { id, m_workspaces.name(job.workspace), job.state, job.guaranteed, assignmentFrom(job.placement) });
    }
    std::ranges::sort(all, {}, &JobStatus::job);
    return all;
}

std::optional<Resources> Planner::freeCapacity(const WorkerId& id) const
{
    const auto worker = m_topology.find(id);
    if (worker == noIndex || !m_topology.worker(worker).present)
        return std::nullopt;
    const auto free = m_topology.worker(worker).capacity - m_loads[worker].used;
    const auto clip = [](std::int32_t n) { return static_cast<std::uint32_t>(std::max(n, 0)); };
    return Resources { clip(free.cores), clip(free.memoryMiB), clip(free.accelerators) };
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
    job.shape = { SignedResources::of(spec.perTask), spec.tasks, spec.adjacency };
    job.declaredRunTime = spec.declaredRunTime;
    job.queuedAt = now;
    job.waitingSince = now;
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
    job.queueKey = queueKey(job.urgency, job.queuedAt, estimate(job));
    m_queue.emplace(job.queueKey, index);
    m_unchecked.insert(index);
}

void Planner::dequeue(Index job) { m_queue.erase({ m_jobs[job].queueKey, job }); }

}
