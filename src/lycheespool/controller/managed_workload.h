#pragma once

#include "lycheespool/controller/live_run.h"
#include "lycheespool/core/clock.h"
#include "lycheespool/dispatch/node_speeds.h"
#include "lycheespool/workload/job_progress.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief State of the tasks of one step in one occurrence. */
struct StepRound {
    /*! @brief Tasks that are not done. */
    std::uint32_t open { 0 };
    /*! @brief Runs that have not certainly ended. */
    std::uint32_t live { 0 };
    /*! @brief Open tasks without a run. */
    std::set<std::uint32_t> waiting;
    /*! @brief Number of failed runs of the gang. */
    std::uint32_t gangFailures { 0 };
    /*! @brief Run number of the last counted failure of the gang. */
    std::uint64_t lastFailedRun { 0 };
    /*! @brief When the latest failed run of a task was reported, by index; the whole gang has one entry, 0. */
    std::map<std::uint32_t, TimePoint> failedAt;
    /*! @brief Uninterrupted completed runs; passed to the node speeds when the step is complete. */
    std::vector<NodeRun> runs;
    /*! @brief Unix time since which the step has been ready and has lacked only capacity, ms; nothing while not ready.
     */
    std::optional<std::int64_t> readySinceMs;
};

/*! @brief A job in the leader's memory. */
struct ManagedWorkload {
    std::string id;
    JobRow row;
    JobProgress progress;
    std::vector<StepRound> rounds;
    /*! @brief Incremented with each change of the progress. */
    std::uint64_t revision { 1 };
    std::uint64_t storedRevision { 0 };
    /*! @brief Revision that the store refused for good; 0 if it accepted the latest write. */
    std::uint64_t refusedRevision { 0 };
    /*! @brief No task starts before this time, since the store refused the row. */
    TimePoint heldUntil {};
    /*! @brief Version of the progress row. */
    std::uint64_t rowVersion { 0 };
    /*! @brief Version of the row that the entry wrote when it accepted the job; that row never changes. */
    std::uint64_t jobRowVersion { 0 };
    /*! @brief Nodes on which tasks of the job failed. */
    std::set<std::string> failedNodes;
    /*! @brief Runs of finished tasks that their executors may still begin. Before each has begun or cannot begin any
     * more, the job is not completed and its ends are not acknowledged. */
    std::set<RunKey> unsettledStarts;
    /*! @brief A start of a task was planned, in this term or before; an executor may have refused it. */
    bool wasPlanned { false };

    [[nodiscard]] StepRound& round(std::uint32_t occurrence, std::uint32_t step)
    {
        return rounds[occurrence * row.request.steps.size() + step];
    }
};

}
