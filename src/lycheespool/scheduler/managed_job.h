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

/*! @brief Phase of a gang at the leader. */
enum class GangPhase : std::uint8_t {
    /*! @brief Queued in the placement policy, or to be submitted to it at retryAt. */
    waiting,
    starting,
    running,
    /*! @brief Stop orders are repeated until each worker has confirmed the stop or is lost. */
    stopping,
    /*! @brief Only the final state remains to be written. */
    ended,
};

/*! @brief Task numbers of a gang by worker. */
using GangMembers = std::map<WorkerId, std::vector<std::uint32_t>>;

/*! @brief In-memory state of a job that has not ended, at the leader. */
struct ManagedJob {
    /*! @brief Content of the row; while `dirty` is true, content that is still to be written. */
    JobRecord record;
    /*! @brief Last known version of the row. */
    std::uint64_t version { 0 };
    bool dirty { false };
    /*! @brief The row must be read again before it is written. */
    bool reload { false };
    /*! @brief An operation on the job is in progress. */
    bool busy { false };
    GangPhase phase { GangPhase::waiting };
    /*! @brief The row names workers, but not all of them have reported and been added since the takeover. */
    bool recovering { false };
    bool inPolicy { false };
    /*! @brief Highest attempt that was reserved; an agent refuses an attempt that was abandoned. */
    Attempt highestAttempt;
    TimePoint startedAt {};
    TimePoint lastCheckpoint {};
    /*! @brief The policy has allocated capacity to the job; after a refused start, it keeps it until retryAt. */
    bool placed { false };
    TimePoint retryAt {};
    /*! @brief Workers that the policy chose for the start in progress. */
    Assignment assigned;
    /*! @brief State to enter after stopping. */
    JobState stateAfterStop { JobState::queued };
    std::string stopReason;
    /*! @brief Time until which a checkpoint is attempted before the gang is stopped. */
    TimePoint checkpointDeadline {};
    /*! @brief Workers that have not confirmed the stop. */
    std::set<WorkerId> workersToStop;

    /**
     * @brief Returns the key of a task of the current attempt.
     * @param task Number of the task.
     * @return The key.
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
