#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/placement/decision.h"
#include "lycheespool/placement/job_spec.h"
#include "lycheespool/placement/worker_spec.h"

#include <concepts>

namespace lycheespool {

/**
 * @brief Decides which gang runs on which workers. Uses no sockets, clock or threads; the caller passes the time.
 *
 * - `submit` queues a job; `adopt` registers a job that already runs (rebuild after a leader change).
 * - `cancel` and `finished` remove a job and free its capacity.
 * - `released` reports that a gang stopped (evicted, failed or its reservation was refused) and returns to the queue.
 * - `taskFailed` reports the worker on which a task failed; it is called before `released`.
 * - `workerJoined` and `workerLost` change the capacity. The caller releases the gangs of a lost worker.
 * - `setZoneOutOfService` takes a zone out of service or returns it.
 * - `plan` returns the decisions that are due.
 */
template <typename Type>
concept PlacementPolicy = requires(Type& policy, const JobSpec& spec, const JobId& job, const WorkerSpec& worker,
    const WorkerId& workerId, const ZoneId& zone, const Assignment& assignment, TimePoint now, bool outOfService)
{
    policy.submit(spec, now);
    policy.adopt(spec, assignment, now);
    policy.cancel(job, now);
    policy.finished(job, now);
    policy.released(job, now);
    policy.taskFailed(job, workerId, now);
    policy.workerJoined(worker, now);
    policy.workerLost(workerId, now);
    policy.setZoneOutOfService(zone, outOfService, now);
    {
        policy.plan(now)
        } -> std::same_as<Decisions>;
};

}
