#include "lycheespool/emulator/worker_model.h"

#include "lycheespool/core/error.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheespool {

void WorkerModel::start(const TaskStart& start, TimePoint now)
{
    advance(now);
    if (const auto it = m_tasks.find(start.key); it != m_tasks.end()) {
        if (it->second.status.state == TaskState::running)
            return;
        throw Error { ErrorKind::conflict, "the task has ended already", "start a new attempt of the job" };
    }
    if (!start.size.fitsInto(freeCapacity()))
        throw Error { ErrorKind::overloaded, "the task exceeds the free capacity of the worker",
            "stop other tasks first" };
    Task task { {}, start.runTime, now, now, now + start.lease };
    task.status.key = start.key;
    task.status.size = start.size;
    task.status.progress = start.progress;
    task.status.checkpoint = start.progress;
    if (m_faults.failTasks) {
        task.status.state = TaskState::failed;
        task.status.detail = "task exited with status 1";
    }
    m_tasks.emplace(start.key, std::move(task));
}

void WorkerModel::renew(Duration lease, TimePoint now)
{
    advance(now);
    for (auto& [key, task] : m_tasks)
        task.leaseEnd = std::max(task.leaseEnd, now + lease);
}

Duration WorkerModel::checkpoint(const TaskKey& key, TimePoint now)
{
    advance(now);
    auto& status = running(key).status;
    if (m_faults.failCheckpoints)
        throw Error { ErrorKind::unavailable, "the checkpoint could not be stored", "retry the checkpoint later" };
    status.checkpoint = status.progress;
    return status.checkpoint;
}

void WorkerModel::throttle(const TaskKey& key, std::uint32_t speedPercent, TimePoint now)
{
    if (speedPercent < 1 || speedPercent > 100)
        throw Error { ErrorKind::invalidArgument, fmt::format("speed of {}% is out of range", speedPercent),
            "use 1 to 100" };
    advance(now);
    running(key).status.speedPercent = speedPercent;
}

void WorkerModel::stop(const TaskKey& key, TimePoint now)
{
    advance(now);
    m_tasks.erase(key);
}

std::vector<TaskStatus> WorkerModel::list(TimePoint now)
{
    advance(now);
    std::vector<TaskStatus> tasks;
    for (const auto& [key, task] : m_tasks) {
        tasks.push_back(task.status);
        tasks.back().usage = usageOf(task, now);
    }
    return tasks;
}

void WorkerModel::setFaults(const WorkerFaults& faults, TimePoint now)
{
    advance(now);
    m_faults = faults;
}

void WorkerModel::advance(TimePoint now)
{
    for (auto& [key, task] : m_tasks)
        advance(task, now);
}

void WorkerModel::advance(Task& task, TimePoint now) const
{
    if (task.status.state != TaskState::running)
        return;
    work(task, std::min(now, task.leaseEnd));
    if (task.status.progress >= task.runTime) {
        task.status.progress = task.runTime;
        task.status.state = TaskState::done;
    } else if (now >= task.leaseEnd) {
        task.status.state = TaskState::stopped;
        task.status.detail = "lease expired";
        if (!m_faults.failCheckpoints)
            task.status.checkpoint = task.status.progress;
    }
}

void WorkerModel::work(Task& task, TimePoint until) const
{
    if (until <= task.advanced)
        return;
    if (!m_faults.frozen)
        task.status.progress += (until - task.advanced) * task.status.speedPercent / 100;
    task.advanced = until;
}

WorkerModel::Task& WorkerModel::running(const TaskKey& key)
{
    const auto it = m_tasks.find(key);
    if (it == m_tasks.end() || it->second.status.state != TaskState::running)
        throw Error { ErrorKind::notFound, "the task does not run on this worker", "list the tasks of the worker" };
    return it->second;
}

Resources WorkerModel::freeCapacity() const
{
    auto free = m_capacity;
    for (const auto& [key, task] : m_tasks) {
        if (task.status.state == TaskState::running)
            free -= task.status.size;
    }
    return free;
}

Resources WorkerModel::usageOf(const Task& task, TimePoint now) const
{
    if (task.status.state != TaskState::running || now - task.started < usageLag)
        return {};
    const auto& size = task.status.size;
    const auto percent = m_faults.usagePercent;
    return { size.cores * percent / 100, size.memoryMiB * percent / 100, size.accelerators };
}

}
