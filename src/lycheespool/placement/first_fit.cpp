#include "lycheespool/placement/first_fit.h"

#include <algorithm>
#include <utility>

namespace lycheespool {

void FirstFit::submit(const JobSpec& spec, TimePoint)
{
    if (m_jobs.try_emplace(spec.id, JobState { spec, {} }).second)
        m_queue.push_back(spec.id);
}

void FirstFit::adopt(const JobSpec& spec, const Assignment& workers, TimePoint)
{
    const auto [it, inserted] = m_jobs.try_emplace(spec.id, JobState { spec, {} });
    if (!inserted)
        std::erase(m_queue, spec.id);
    deallocate(it->second);
    allocate(it->second, workers);
}

void FirstFit::cancel(const JobId& job, TimePoint) { remove(job); }

void FirstFit::finished(const JobId& job, TimePoint) { remove(job); }

void FirstFit::released(const JobId& job, TimePoint)
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return;
    deallocate(it->second);
    if (std::ranges::find(m_queue, job) == m_queue.end())
        m_queue.push_back(job);
}

void FirstFit::taskFailed(const JobId&, const WorkerId&, TimePoint) { }

void FirstFit::workerJoined(const WorkerSpec& worker, TimePoint)
{
    m_workers.try_emplace(worker.id, WorkerState { worker, worker.capacity });
}

void FirstFit::workerLost(const WorkerId& worker, TimePoint) { m_workers.erase(worker); }

void FirstFit::setZoneOutOfService(const ZoneId& zone, bool outOfService, TimePoint)
{
    if (outOfService)
        m_zonesOutOfService.insert(zone);
    else
        m_zonesOutOfService.erase(zone);
}

Decisions FirstFit::plan(TimePoint)
{
    Decisions decisions;
    while (!m_queue.empty()) {
        auto& job = m_jobs.at(m_queue.front());
        auto workers = findWorkers(job.spec);
        if (workers.empty())
            break;
        decisions.emplace_back(StartGang { job.spec.id, workers });
        allocate(job, std::move(workers));
        m_queue.pop_front();
    }
    return decisions;
}

Assignment FirstFit::findWorkers(const JobSpec& spec) const
{
    std::set<std::pair<ZoneId, RackId>> groups;
    for (const auto& [id, worker] : m_workers) {
        if (!m_zonesOutOfService.contains(worker.spec.zone))
            groups.emplace(worker.spec.zone, spec.adjacency == Adjacency::zone ? RackId {} : worker.spec.rack);
    }
    for (const auto& [zone, rack] : groups) {
        auto workers = findWorkersIn(spec, zone, spec.adjacency == Adjacency::zone ? nullptr : &rack);
        if (!workers.empty())
            return workers;
    }
    return {};
}

Assignment FirstFit::findWorkersIn(const JobSpec& spec, const ZoneId& zone, const RackId* rack) const
{
    Assignment workers;
    for (const auto& [id, worker] : m_workers) {
        if (worker.spec.zone != zone || (rack && worker.spec.rack != *rack))
            continue;
        if (spec.adjacency == Adjacency::worker)
            workers.clear();
        auto free = worker.free;
        while (workers.size() < spec.tasks && spec.perTask.fitsInto(free)) {
            free -= spec.perTask;
            workers.push_back(id);
        }
        if (workers.size() == spec.tasks)
            return workers;
    }
    return {};
}

void FirstFit::allocate(JobState& job, Assignment workers)
{
    job.workers = std::move(workers);
    for (const auto& it : job.workers) {
        const auto worker = m_workers.find(it);
        if (worker != m_workers.end())
            worker->second.free -= job.spec.perTask;
    }
}

void FirstFit::deallocate(JobState& job)
{
    for (const auto& it : std::exchange(job.workers, {})) {
        const auto worker = m_workers.find(it);
        if (worker != m_workers.end())
            worker->second.free += job.spec.perTask;
    }
}

void FirstFit::remove(const JobId& job)
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return;
    deallocate(it->second);
    std::erase(m_queue, job);
    m_jobs.erase(it);
}

}
