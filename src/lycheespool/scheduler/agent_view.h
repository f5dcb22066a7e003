#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/core/task_key.h"
#include "lycheespool/placement/worker_spec.h"
#include "lycheespool/wire/messages.h"

#include <map>

namespace lycheespool {

/*! @brief State of one worker and its agent, as reported by the agent. */
class AgentView {
public:
    /**
     * @brief Processes the first message of an agent or of its new incarnation.
     * @param hello The message.
     * @param now Current time.
     */
    void applyHello(const Hello& hello, TimePoint now);

    /**
     * @brief Processes a heartbeat.
     * @param heartbeat The heartbeat.
     * @param now Current time.
     * @return False if it came from another incarnation and was ignored.
     */
    bool applyHeartbeat(const Heartbeat& heartbeat, TimePoint now);

    /**
     * @brief Finds the report of a task.
     * @param key The task.
     * @return The report, or null if the agent reported no such task.
     */
    [[nodiscard]] const TaskReport* find(const TaskKey& key) const;

    /**
     * @brief Returns the reports of all tasks.
     * @return Reports ordered by key.
     */
    [[nodiscard]] const std::map<TaskKey, TaskReport>& tasks() const { return m_tasks; }

    /**
     * @brief Returns the worker.
     * @return Worker as described in the agent's last hello.
     */
    [[nodiscard]] const WorkerSpec& spec() const { return m_spec; }

    /**
     * @brief Returns the incarnation that orders must carry.
     * @return The incarnation.
     */
    [[nodiscard]] Incarnation incarnation() const { return m_incarnation; }

    /**
     * @brief Returns the time of the last message; a hello counts as a heartbeat.
     * @return Time of the last hello or heartbeat.
     */
    [[nodiscard]] TimePoint lastHeartbeatAt() const { return m_lastHeartbeatAt; }

    /**
     * @brief Returns the time of the last heartbeat that listed all tasks.
     * @return Time of the last complete heartbeat.
     */
    [[nodiscard]] TimePoint lastCompleteHeartbeatAt() const { return m_lastCompleteHeartbeatAt; }

    /**
     * @brief Checks if this incarnation has listed all tasks of its worker.
     * @return True after its first complete heartbeat.
     */
    [[nodiscard]] bool hasTaskList() const { return m_hasTaskList; }

    /**
     * @brief Checks if the worker is draining.
     * @return True if the last heartbeat reported it.
     */
    [[nodiscard]] bool isDraining() const { return m_draining; }

    /*! @brief Whether the worker has been added to the placement policy. */
    bool joined { false };
    /*! @brief Whether the leader declared the worker lost; the next complete heartbeat clears this. */
    bool lost { false };
    bool connected { true };
    /*! @brief After a refused reservation, the worker is not added to the policy until this time. */
    TimePoint suspendedUntil {};
    /*! @brief Time of the last complete heartbeat whose reports were checked for unexpected tasks. */
    TimePoint tasksCheckedAt {};

private:
    WorkerSpec m_spec;
    Incarnation m_incarnation;
    TimePoint m_lastHeartbeatAt;
    TimePoint m_lastCompleteHeartbeatAt;
    bool m_hasTaskList { false };
    bool m_draining { false };
    std::map<TaskKey, TaskReport> m_tasks;
};

}
