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

/*! @brief How a gateway answered the call that hands a job in. */
enum class AttemptOutcome : std::uint8_t {
    accepted,
    rejected,
    unknown,
};

/*! @brief A run as an executor sees it. */
struct RunSeen {
    std::string executor;
    TaskName task;
    std::uint64_t run { 0 };

    friend auto operator<=>(const RunSeen&, const RunSeen&) = default;
};

/**
 * @brief Checks the promises that callers and executors can see, while a soak runs.
 *
 * It knows only what clients and executors were told and told others, never the state of the processes. Lives on one
 * thread; times are passed in, so that tests need no clock.
 */
class Referee {
public:
    /** @name What clients see. */
    /*!@{*/
    void onAttempt(const SoakJob& job);
    void onAttemptEnd(const std::string& job, AttemptOutcome outcome, TimePoint now);
    void onCancelSent(const std::string& job);
    void onCancelAcknowledged(const std::string& job, TimePoint now);
    /*! @brief A state was shown; `sent` is when the call was sent. */
    void onShown(const std::string& job, std::string_view state);
    void onNotFound(const std::string& job, TimePoint sent);
    /*! @brief A call was denied although its queue and key were always there. */
    void onDenied(const std::string& job, unsigned status);
    /*!@}*/

    /** @name What executors see. */
    /*!@{*/
    /*! @brief An order starts a run; `isLate` when the executor carries it out later than it received it. */
    void onStart(
        const RunSeen& run, const std::string& payload, const std::string& checkpoint, bool isLate, TimePoint now);
    void onOverload(const RunSeen& run);
    void onEnd(const RunSeen& run, std::string_view how);
    /*! @brief A task has saved its progress under a name that a later run may start from. */
    void onCheckpoint(const TaskName& task, const std::string& checkpoint);
    /*! @brief The leader has taken note of an end. */
    void onEndNoted(const RunSeen& run, std::string_view how);
    void onExecutorDown(const std::string& executor);
    void onExecutorUp(const std::string& executor, const std::string& zone);
    void onDrainAcknowledged(const std::string& executor, TimePoint now);
    /*!@}*/

    /** @name What the operator does. */
    /*!@{*/
    void onZoneOut(const std::string& zone, TimePoint now);
    void onZoneBack(const std::string& zone);
    /*!@}*/

    /*! @brief Records a broken promise that was seen elsewhere. */
    void fail(std::string violation);

    [[nodiscard]] const SoakJob* job(const std::string& id) const;
    /*! @brief Final state that a caller saw, empty when there is none yet. */
    [[nodiscard]] std::string stateOf(const std::string& job) const { return m_jobs.at(job).finalState; }
    /*! @brief Accepted jobs that nobody cancelled and no caller saw ended. */
    [[nodiscard]] std::vector<std::string> unfinished() const;
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] std::size_t accepted() const;
    [[nodiscard]] std::size_t completed() const;
    [[nodiscard]] std::size_t starts() const { return m_starts; }

private:
    struct JobSeen {
        SoakJob job;
        unsigned pendingAttempts { 0 };
        unsigned unknownAttempts { 0 };
        std::optional<TimePoint> acceptedAt;
        std::optional<TimePoint> cancelledAt;
        bool isCancelSent { false };
        std::string finalState;
    };
    struct TaskSeen {
        std::set<RunSeen> live;
        /*! @brief Runs that ended as done, and whether the task was started again since. */
        std::map<RunSeen, bool> done;
        bool isDoneNoted { false };
        unsigned failuresNoted { 0 };
        std::set<std::string> checkpoints;
    };
    struct ExecutorSeen {
        std::string zone;
        std::optional<TimePoint> drainedAt;
    };

    /*! @brief Key of the state that the tasks of a gang share, or of a single task. */
    [[nodiscard]] TaskName unitOf(const TaskName& task) const;
    [[nodiscard]] bool isDone(const TaskName& task) const;
    void checkOrder(const JobSeen& job, const RunSeen& run);

    std::map<std::string, JobSeen> m_jobs;
    std::map<TaskName, TaskSeen> m_tasks;
    std::map<std::string, ExecutorSeen> m_executors;
    std::map<std::string, TimePoint> m_zonesOut;
    std::vector<std::string> m_violations;
    std::size_t m_starts { 0 };
};

}
