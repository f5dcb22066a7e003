#pragma once

#include "lycheespool/placement/placement_policy.h"

#include <deque>
#include <map>
#include <set>

namespace lycheespool {

/**
 * @brief FIFO queue with first-fit placement: the baseline for measuring other policies.
 *
 * The job at the head of the queue blocks the jobs behind it. Does not support guarantees or evictions.
 */
class FirstFit {
public:
    /*! @copydoc PlacementPolicy */
    void submit(const JobSpec& spec, TimePoint now);
    void adopt(const JobSpec& spec, const Assignment& workers, TimePoint now);
    void cancel(const JobId& job, TimePoint now);
    void finished(const JobId& job, TimePoint now);
    void released(const JobId& job, TimePoint now);
    void taskFailed(const JobId& job, const WorkerId& worker, TimePoint now);
    void workerJoined(const WorkerSpec& worker, TimePoint now);
    void workerLost(const WorkerId& worker, TimePoint now);
    void setZoneOutOfService(const ZoneId& zone, bool outOfService, TimePoint now);
    [[nodiscard]] Decisions plan(TimePoint now);

private:
    struct WorkerState {
        WorkerSpec spec;
        Resources free;
    };

    struct JobState {
        JobSpec spec;
        Assignment workers;
    };

    [[nodiscard]] Assignment findWorkers(const JobSpec& spec) const;
    [[nodiscard]] Assignment findWorkersIn(const JobSpec& spec, const ZoneId& zone, const RackId* rack) const;
    void allocate(JobState& job, Assignment workers);
    void deallocate(JobState& job);
    void remove(const JobId& job);

    std::map<WorkerId, WorkerState> m_workers;
    std::map<JobId, JobState> m_jobs;
    std::deque<JobId> m_queue;
    std::set<ZoneId> m_zonesOutOfService;
};

static_assert(PlacementPolicy<FirstFit>);

}
