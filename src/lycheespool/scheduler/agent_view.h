#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/core/task_key.h"
#include "lycheespool/placement/worker_spec.h"
#include "lycheespool/wire/messages.h"

#include <map>

namespace lycheespool {

/*! @brief What the scheduler knows of one worker's agent. */
class AgentView {
public:
    /**
     * @brief Takes the first message of an agent or of its new incarnation.
     * @param hello The message.
     * @param now Present time.
     */
    void greet(const Hello& hello, TimePoint now);

    /**
     * @brief Takes a heartbeat.
     * @param heartbeat The heartbeat.
     * @param now Present time.
     * @return False when it comes from another incarnation and was ignored.
     */
    bool hear(const Heartbeat& heartbeat, TimePoint now);

    /**
     * @brief Finds the report of a task.
     * @param key The task.
     * @return The report, null when the agent reported no such task.
     */
    [[nodiscard]] const TaskReport* find(const TaskKey& key) const;

    /**
     * @brief Gives the reports of all tasks.
     * @return Reports in the order of their keys.
     */
    [[nodiscard]] const std::map<TaskKey, TaskReport>& tasks() const { return m_tasks; }

    /**
     * @brief Gives the worker.
     * @return Worker as its agent described it.
     */
    [[nodiscard]] const WorkerSpec& spec() const { return m_spec; }

    /**
     * @brief Gives the incarnation that orders must name.
     * @return The incarnation.
     */
    [[nodiscard]] Incarnation incarnation() const { return m_incarnation; }

    /**
     * @brief Gives the time of the last sign of life.
     * @return Time of the last hello or heartbeat.
     */
    [[nodiscard]] TimePoint lastHeard() const { return m_lastHeard; }

    /**
     * @brief Gives the time of the last list of all tasks.
     * @return Time of the last complete heartbeat of this incarnation.
     */
    [[nodiscard]] TimePoint lastComplete() const { return m_lastComplete; }

    /**
     * @brief Tells whether this incarnation has listed all tasks of its worker.
     * @return True after its first complete heartbeat.
     */
    [[nodiscard]] bool isKnown() const { return m_known; }

    /**
     * @brief Tells whether the worker is leaving.
     * @return True when the last heartbeat said so.
     */
    [[nodiscard]] bool isDraining() const { return m_draining; }

    /*! @brief Whether the placement policy counts this worker. */
    bool joined { false };
    /*! @brief Whether the leader has given the worker up because of its silence; its next complete heartbeat ends this.
     */
    bool lost { false };
    bool connected { true };
    /*! @brief After a refused reservation, the worker is not offered to the policy until this time. */
    TimePoint suspendedUntil {};
    /*! @brief Time up to which the reports were searched for tasks that nobody wants. */
    TimePoint searched {};

private:
    WorkerSpec m_spec;
    Incarnation m_incarnation;
    TimePoint m_lastHeard;
    TimePoint m_lastComplete;
    bool m_known { false };
    bool m_draining { false };
    std::map<TaskKey, TaskReport> m_tasks;
};

}
