#pragma once

#include "soak/soak_job.h"

#include "lycheespool/core/clock.h"
#include "lycheespool/workload/task_name.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheespool::soak {

/*! @brief Outcome of a request that submits a job. */
enum class SubmitOutcome : std::uint8_t {
    accepted,
    rejected,
    unknown,
};

/*! @brief A run as an executor observes it. */
struct ObservedRun {
    std::string executor;
    TaskName task;
    std::uint64_t run { 0 };

    friend auto operator<=>(const ObservedRun&, const ObservedRun&) = default;
};

/**
 * @brief Checks the invariants that clients and executors can observe during a soak run.
 *
 * It uses only what clients and executors send and receive, never the internal state of the processes. Runs on one
 * thread; times are passed in, so that tests need no clock.
 */
class InvariantChecker {
public:
    /** @name Events that clients observe. */
    /*!@{*/
    void onSubmit(const SoakJob& job);
    void onSubmitResult(const std::string& job, SubmitOutcome outcome, TimePoint now);
    void onCancelSent(const std::string& job);
    void onCancelAcknowledged(const std::string& job, TimePoint now);
    /*! @brief A gateway reported a state of the job. */
    void onStateReported(const std::string& job, std::string_view state);
    /*! @brief A gateway did not know the job; `sent` is when the call was sent. */
    void onNotFound(const std::string& job, TimePoint sent);
    /*! @brief A call was denied although its queue and key were always valid. */
    void onDenied(const std::string& job, unsigned status);
    /*!@}*/

    /** @name Events that executors observe. */
    /*!@{*/
    /*! @brief A run starts; `isLate` is set when the executor executes the command later than it received it. */
    void onStart(
        const ObservedRun& run, const std::string& payload, const std::string& checkpoint, bool isLate, TimePoint now);
    void onCapacityExceeded(const ObservedRun& run);
    void onEnd(const ObservedRun& run, std::string_view endReason);
    /*! @brief A task has saved a checkpoint that a later run may start from. */
    void onCheckpoint(const TaskName& task, const std::string& checkpoint);
    /*! @brief The leader has acknowledged the end of a run. */
    void onEndAcknowledged(const ObservedRun& run, std::string_view endReason);
    void onExecutorDown(const std::string& executor);
    void onExecutorUp(const std::string& executor, const std::string& zone);
    void onDrainAcknowledged(const std::string& executor, TimePoint now);
    /*!@}*/

    /** @name Actions of the operator. */
    /*!@{*/
    void onZoneEvacuated(const std::string& zone, TimePoint now);
    void onZoneRestored(const std::string& zone);
    /*!@}*/

    /*! @brief Records a violation that was detected elsewhere. */
    void fail(std::string violation);

    [[nodiscard]] const SoakJob* job(const std::string& id) const;
    /*! @brief Returns the final state that a client received, empty when there is none yet. */
    [[nodiscard]] std::string stateOf(const std::string& job) const { return m_jobs.at(job).finalState; }
    /*! @brief Returns accepted jobs that no client cancelled and for which no client received a final state. */
    [[nodiscard]] std::vector<std::string> unfinished() const;
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] std::size_t accepted() const;
    [[nodiscard]] std::size_t completed() const;
    [[nodiscard]] std::size_t starts() const { return m_starts; }

private:
    struct JobRecord {
        SoakJob job;
        unsigned pendingSubmits { 0 };
        unsigned unknownSubmits { 0 };
        std::optional<TimePoint> acceptedAt;
        std::optional<TimePoint> cancelledAt;
        bool isCancelSent { false };
        std::string finalState;
    };
    struct TaskRecord {
        std::set<ObservedRun> live;
        /*! @brief Runs that ended as done, and whether the task has been started again since. */
        std::map<ObservedRun, bool> done;
        bool isDoneAcknowledged { false };
        unsigned acknowledgedFailures { 0 };
        std::set<std::string> checkpoints;
    };
    struct ExecutorRecord {
        std::string zone;
        std::optional<TimePoint> drainedAt;
    };

    /*! @brief Returns the key of the record that the tasks of a gang share, or of a single task. */
    [[nodiscard]] TaskName unitOf(const TaskName& task) const;
    [[nodiscard]] bool isDone(const TaskName& task) const;
    void checkStepOrder(const JobRecord& job, const ObservedRun& run);

    std::map<std::string, JobRecord> m_jobs;
    std::map<TaskName, TaskRecord> m_tasks;
    std::map<std::string, ExecutorRecord> m_executors;
    std::map<std::string, TimePoint> m_evacuatedZones;
    std::vector<std::string> m_violations;
    std::size_t m_starts { 0 };
};

}
