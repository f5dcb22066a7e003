#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/placement/decision.h"
#include "lycheespool/placement/job_spec.h"
#include "lycheespool/placement/worker_spec.h"

#include <concepts>

namespace lycheespool {

/**
 * @brief Decides which gang runs where. No sockets, clock or threads inside; time is an argument.
 *
 * - `submit` queues a job; `adopt` takes over a job that runs already (rebuild after a change of the leader).
 * - `cancel` and `finished` remove a job and free its capacity.
 * - `released` says that a gang stopped (evicted, failed or its reservation was refused) and goes back to the queue.
 * - `taskFailed` says which worker's task failed before `released`.
 * - `workerJoined` and `workerLost` change the capacity. A lost worker's gangs are released by the caller.
 * - `setZoneOutOfService` takes a zone out of service or returns it.
 * - `plan` gives the decisions that are due.
 */
template <typename Type>
concept PlacementPolicy = requires(Type& policy, const JobSpec& spec, const JobId& job, const WorkerSpec& worker,
    const WorkerId& workerId, const ZoneId& zone, const Assignment& assignment, TimePoint now, bool out)
{
    policy.submit(spec, now);
    policy.adopt(spec, assignment, now);
    policy.cancel(job, now);
    policy.finished(job, now);
    policy.released(job, now);
    policy.taskFailed(job, workerId, now);
    policy.workerJoined(worker, now);
    policy.workerLost(workerId, now);
    policy.setZoneOutOfService(zone, out, now);
    {
        policy.plan(now)
        } -> std::same_as<Decisions>;
};

}
