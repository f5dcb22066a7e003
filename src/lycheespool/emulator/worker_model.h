#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/task_key.h"
#include "lycheespool/emulator/task_start.h"
#include "lycheespool/emulator/task_status.h"
#include "lycheespool/emulator/worker_faults.h"
#include "lycheespool/placement/resources.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace lycheespool {

/**
 * @brief Emulated worker as pure state; time is an argument.
 *
 * A task that ended stays listed until it is stopped, so that an agent which restarts still learns its outcome.
 */
class WorkerModel {
public:
    /*! @brief Delay of usage reports; the platform reports with a delay as well. */
    static constexpr Duration usageLag = std::chrono::seconds { 10 };

    /**
     * @brief Constructs an idle worker.
     * @param capacity Capacity of the worker.
     */
    explicit WorkerModel(const Resources& capacity)
        : m_capacity { capacity }
    {
    }

    /**
     * @brief Starts a task; a repeated call for a running task changes nothing.
     * @param start The task.
     * @param now Present time.
     * @throws Error of kind conflict when the task has ended already, overloaded when it exceeds the free capacity.
     */
    void start(const TaskStart& start, TimePoint now);

    /**
     * @brief Renews the leases of all running tasks.
     * @param lease Time from now until they expire.
     * @param now Present time.
     */
    void renew(Duration lease, TimePoint now);

    /**
     * @brief Saves the progress of a running task.
     * @param key The task.
     * @param now Present time.
     * @return Progress that is saved.
     * @throws Error of kind notFound when the task does not run, unavailable when checkpoints fail.
     */
    [[nodiscard]] Duration checkpoint(const TaskKey& key, TimePoint now);

    /**
     * @brief Slows a running task down.
     * @param key The task.
     * @param speedPercent New speed, 1 to 100 percent of full speed.
     * @param now Present time.
     * @throws Error of kind notFound or invalidArgument.
     */
    void throttle(const TaskKey& key, std::uint32_t speedPercent, TimePoint now);

    /**
     * @brief Stops a task without a checkpoint and forgets it; does nothing when it is unknown.
     * @param key The task.
     * @param now Present time.
     */
    void stop(const TaskKey& key, TimePoint now);

    /**
     * @brief Lists all tasks, ended ones included.
     * @param now Present time.
     * @return Tasks in the order of their keys.
     */
    [[nodiscard]] std::vector<TaskStatus> list(TimePoint now);

    /**
     * @brief Switches faults.
     * @param faults The faults from now on.
     * @param now Present time.
     */
    void setFaults(const WorkerFaults& faults, TimePoint now);

    /**
     * @brief Returns the faults.
     * @return The present faults.
     */
    [[nodiscard]] const WorkerFaults& faults() const { return m_faults; }

private:
    struct Task {
        TaskStatus status;
        Duration runTime;
        TimePoint started;
        TimePoint advanced;
        TimePoint leaseEnd;
    };

    void advance(TimePoint now);
    void advance(Task& task, TimePoint now) const;
    void work(Task& task, TimePoint until) const;
    [[nodiscard]] Task& running(const TaskKey& key);
    [[nodiscard]] Resources freeCapacity() const;
    [[nodiscard]] Resources usageOf(const Task& task, TimePoint now) const;

    Resources m_capacity;
    WorkerFaults m_faults;
    std::map<TaskKey, Task> m_tasks;
};

}
