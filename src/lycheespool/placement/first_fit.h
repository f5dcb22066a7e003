#pragma once

#include "lycheespool/placement/placement_policy.h"

#include <deque>
#include <map>
#include <set>

namespace lycheespool {

/**
 * @brief First in, first out with first fit by count: the baseline that other policies are measured against.
 *
 * The job at the head of the queue blocks the ones behind it. Guarantees and evictions are not known to it.
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
    void setZoneOutOfService(const ZoneId& zone, bool out, TimePoint now);
    [[nodiscard]] Decisions plan(TimePoint now);

private:
    struct WorkerState {
        WorkerSpec spec;
        Resources free;
    };

    struct PlacementState {
        JobSpec spec;
        Assignment workers;
    };

    [[nodiscard]] Assignment findRoom(const JobSpec& spec) const;
    [[nodiscard]] Assignment findRoomIn(const JobSpec& spec, const ZoneId& zone, const RackId* rack) const;
    void occupy(PlacementState& job, Assignment workers);
    void vacate(PlacementState& job);
    void remove(const JobId& job);

    std::map<WorkerId, WorkerState> m_workers;
    std::map<JobId, PlacementState> m_jobs;
    std::deque<JobId> m_queue;
    std::set<ZoneId> m_zonesOut;
};

static_assert(PlacementPolicy<FirstFit>);

}
