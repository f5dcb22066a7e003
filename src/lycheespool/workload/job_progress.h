#pragma once

#include "lycheespool/workload/job_request.h"
#include "lycheespool/workload/lifetime.h"
#include "lycheespool/workload/task_name.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheespool {

/*! @brief State of a job as clients see it. */
enum class WorkloadState : std::uint8_t { pending, running, completed, failed, cancelled };

/**
 * @brief Checks if a job has ended.
 * @param state The state.
 * @return True for completed, failed and cancelled jobs.
 */
[[nodiscard]] constexpr bool isEnded(WorkloadState state) { return state >= WorkloadState::completed; }

/*! @brief A run of a task that has been ordered and is not known to have ended. */
struct RunPlacement {
    Lifetime lifetime;
    /*! @brief Node whose agent forwards orders to the executor. */
    std::string node;
    std::uint64_t run { 0 };
    /*! @brief A list has shown the run after its start window, so it has not crashed its executor by starting. */
    bool wasAtWork { false };
    MSGPACK_DEFINE(lifetime, node, run, wasAtWork)
};

/*! @brief Progress of one task. */
struct TaskProgress {
    bool done { false };
    std::uint32_t failures { 0 };
    /*! @brief Number of the latest ordered run. */
    std::uint64_t lastRun { 0 };
    std::string checkpoint;
    std::vector<RunPlacement> placements;
    /*! @brief Executors that crashed as a run of the task started on them, and no run of another job did. */
    std::uint32_t crashes { 0 };
    /*! @brief Lifetimes of executors that ended under a run of the task; see CrashCounts. */
    std::uint32_t losses { 0 };
    /*! @brief Run of the latest counted failure of a gang member, for rows without failedRuns; 0 for none. */
    std::uint64_t lastFailedRun { 0 };
    /*! @brief Runs whose failure is counted: bit n stands for the run lastRun - n. */
    std::uint64_t failedRuns { 0 };
    MSGPACK_DEFINE(done, failures, lastRun, checkpoint, placements, crashes, losses, lastFailedRun, failedRuns)

    /**
     * @brief Sets the number of the latest run.
     * @param run The number; greater than lastRun.
     */
    void setLastRun(std::uint64_t run);

    /**
     * @brief Checks if the failure of a run is counted.
     * @param run Number of the run.
     * @return True if it is counted, or if the run is too old to tell.
     */
    [[nodiscard]] bool isFailureCounted(std::uint64_t run) const;

    /**
     * @brief Counts the failure of a run.
     * @param run Number of the run; at most lastRun.
     */
    void countFailure(std::uint64_t run);

    /*! @brief Returns true if failedRuns covers all failures; rows of earlier versions do not name their runs. */
    [[nodiscard]] bool knowsFailedRuns() const;
};

/*! @brief Header of a progress row, for readers that need only the state. */
struct ProgressHeader {
    std::uint8_t state { 0 };
    std::string queue;
    std::string workspace;
    std::int64_t endedUnixMs { 0 };
    MSGPACK_DEFINE(state, queue, workspace, endedUnixMs)
};

/*! @brief Mutable part of a job; after the insertion only the leader changes it. */
class JobProgress {
public:
    JobProgress() = default;

    /**
     * @brief Constructs the progress of a new job.
     * @param request The job.
     */
    explicit JobProgress(const JobRequest& request);

    WorkloadState state { WorkloadState::pending };
    std::int64_t endedUnixMs { 0 };

    /**
     * @brief Returns a task.
     * @param position Position in the job; must be valid.
     * @return The task.
     */
    [[nodiscard]] TaskProgress& at(const TaskPosition& position);
    /*! @copydoc at */
    [[nodiscard]] const TaskProgress& at(const TaskPosition& position) const;

    /**
     * @brief Finds a task.
     * @param position Position in the job.
     * @return The task, or null if the job has no such task.
     */
    [[nodiscard]] TaskProgress* find(const TaskPosition& position);

    /**
     * @brief Counts the tasks of a step that are not done.
     * @param occurrence Number of the occurrence.
     * @param step Number of the step.
     * @return Number of tasks.
     */
    [[nodiscard]] std::uint32_t countOpenTasks(std::uint32_t occurrence, std::uint32_t step) const;

    /**
     * @brief Encodes the progress for its row.
     * @param queue Queue of the job.
     * @param workspace Workspace of the job.
     * @param maxBytes Maximum size, bytes. Checkpoints are left out of a larger row; a later leader starts these tasks
     * from the beginning.
     * @return Bytes; more than maxBytes only if the row is too large without any checkpoint.
     */
    [[nodiscard]] std::string encode(const std::string& queue, const std::string& workspace,
        std::size_t maxBytes = std::numeric_limits<std::size_t>::max()) const;

    /**
     * @brief Returns the maximum size that a task with a placement adds to a row.
     * @param executorBytes Size of the executor's id, bytes.
     * @param nodeBytes Size of the node's name, bytes.
     * @param checkpointBytes Size of the checkpoint, bytes.
     * @return Size, bytes.
     */
    [[nodiscard]] static std::size_t maxTaskBytes(
        std::size_t executorBytes, std::size_t nodeBytes, std::size_t checkpointBytes);

    /**
     * @brief Returns the maximum size of a row in which no task has been started.
     * @param queue Queue of the job.
     * @param workspace Workspace of the job.
     * @return Size, bytes.
     */
    [[nodiscard]] std::size_t maxFixedBytes(const std::string& queue, const std::string& workspace) const;

    /*! @brief Number of tasks over all occurrences. */
    [[nodiscard]] std::size_t taskCount() const { return m_tasks.size(); }

    /*! @brief Number of tasks that a row describes beyond their bit: started and not done, or with a placement. */
    [[nodiscard]] std::size_t countStoredTasks() const;

    /**
     * @brief Decodes a row.
     * @param request The job.
     * @param bytes Output of encode().
     * @return The progress.
     * @throws Error of kind malformedFrame.
     */
    [[nodiscard]] static JobProgress decode(const JobRequest& request, std::string_view bytes);

    /**
     * @brief Decodes only the header of a row.
     * @param bytes Output of encode().
     * @return The header.
     * @throws Error of kind malformedFrame.
     */
    [[nodiscard]] static ProgressHeader decodeHeader(std::string_view bytes);

    /**
     * @brief Calls a function for each task.
     * @tparam Function Callable as `void(const TaskPosition&, TaskProgress&)`.
     * @param function The function.
     */
    template <typename Function>
    void forEach(Function function)
    {
        for (std::uint32_t k = 0; k < m_occurrences; ++k) {
            for (std::uint32_t s = 0; s + 1 < m_offsets.size(); ++s) {
                for (std::uint32_t i = 0; i < m_offsets[s + 1] - m_offsets[s]; ++i) {
                    const TaskPosition position { k, s, i };
                    function(position, at(position));
                }
            }
        }
    }

private:
    [[nodiscard]] std::size_t indexOf(const TaskPosition& position) const;

    std::uint32_t m_occurrences { 0 };
    /*! @brief Index of the first task of each step in an occurrence, followed by the number of tasks. */
    std::vector<std::uint32_t> m_offsets { 0 };
    std::vector<TaskProgress> m_tasks;
};

/**
 * @brief Encodes a value with msgpack.
 * @tparam Value Type with MSGPACK_DEFINE.
 * @param value The value.
 * @return Bytes.
 */
template <typename Value>
[[nodiscard]] std::string packValue(const Value& value)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, value);
    return { buf.data(), buf.size() };
}

/**
 * @brief Decodes a value that packValue() wrote.
 * @tparam Value Type with MSGPACK_DEFINE.
 * @param bytes The bytes.
 * @return The value.
 * @throws Error of kind malformedFrame.
 */
template <typename Value>
[[nodiscard]] Value unpackValue(std::string_view bytes);

namespace detail {
[[noreturn]] void throwDecodeError(const char* reason);
}

template <typename Value>
Value unpackValue(std::string_view bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<Value>();
    } catch (const std::exception& error) {
        detail::throwDecodeError(error.what());
    }
}

}
