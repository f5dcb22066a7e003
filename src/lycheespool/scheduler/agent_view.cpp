#include "lycheespool/scheduler/agent_view.h"

namespace lycheespool {

void AgentView::applyHello(const Hello& hello, TimePoint now)
{
    m_lastHeartbeatAt = now;
    connected = true;
    m_spec.id = WorkerId { hello.agent.value() };
    m_spec.zone = hello.zone;
    m_spec.rack = hello.rack;
    m_spec.capacity = Resources { hello.cores, hello.memoryMiB, hello.accelerators };
    if (m_incarnation == hello.incarnation)
        return;
    m_incarnation = hello.incarnation;
    m_hasTaskList = false;
    m_draining = false;
}

bool AgentView::applyHeartbeat(const Heartbeat& heartbeat, TimePoint now)
{
    if (heartbeat.incarnation != m_incarnation)
        return false;
    m_lastHeartbeatAt = now;
    m_draining = heartbeat.draining;
    if (heartbeat.complete) {
        m_hasTaskList = true;
        lost = false;
        m_lastCompleteHeartbeatAt = now;
        m_tasks.clear();
    }
    for (const auto& it : heartbeat.tasks)
        m_tasks.insert_or_assign(TaskKey { it.job, it.attempt, it.task }, it);
    return true;
}

const TaskReport* AgentView::find(const TaskKey& key) const
{
    const auto it = m_tasks.find(key);
    return it == m_tasks.end() ? nullptr : &it->second;
}

}
