#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/core/task_key.h"
#include "lycheespool/scheduler/job_record.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief What the leader does with a gang at present. */
enum class GangPhase : std::uint8_t {
    /*! @brief The placement policy has it in its queue, or will get it at retryAt. */
    waiting,
    starting,
    running,
    /*! @brief Stop orders are repeated until each worker has confirmed or lost its lease. */
    stopping,
    /*! @brief Nothing is left but the write of its final state. */
    ended,
};

/*! @brief Task numbers of a gang by worker. */
using GangMembers = std::map<WorkerId, std::vector<std::uint32_t>>;

/*! @brief A job that has not ended, as the leader holds it in memory. */
struct ManagedJob {
    /*! @brief What the row says, or will say once `dirty` is false. */
    JobRecord record;
    /*! @brief Version of the row seen last. */
    std::uint64_t version { 0 };
    bool dirty { false };
    /*! @brief The row has to be read again before it is written. */
    bool reload { false };
    /*! @brief An operation on the job is under way. */
    bool busy { false };
    GangPhase phase { GangPhase::waiting };
    /*! @brief Running by its row, but its workers have not all reported since the takeover. */
    bool recovering { false };
    bool inPolicy { false };
    /*! @brief Highest attempt that was reserved; an agent refuses one that was given up. */
    Attempt tried;
    TimePoint startedAt {};
    TimePoint lastCheckpoint {};
    /*! @brief The policy has set capacity aside; after a refused start until retryAt. */
    bool placed { false };
    TimePoint retryAt {};
    /*! @brief Workers that the policy chose for the start under way. */
    Assignment assigned;
    /*! @brief State after stopping. */
    JobState next { JobState::queued };
    std::string reason;
    /*! @brief Time until which a checkpoint is tried before the gang is stopped. */
    TimePoint checkpointUntil {};
    std::set<WorkerId> unstopped;

    /**
     * @brief Names one task of the present attempt.
     * @param task Number of the task.
     * @return Its key.
     */
    [[nodiscard]] TaskKey key(std::uint32_t task) const { return { record.spec.id, record.attempt, task }; }

    /**
     * @brief Groups tasks by worker.
     * @param workers Worker of each task.
     * @return Task numbers by worker.
     */
    [[nodiscard]] static GangMembers membersOf(const Assignment& workers)
    {
        GangMembers members;
        for (std::uint32_t i = 0; i < workers.size(); ++i)
            members[workers[i]].push_back(i);
        return members;
    }
};

}
