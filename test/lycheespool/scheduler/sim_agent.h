#pragma once

#include "lycheespool/agent/worker_tasks.h"
#include "lycheespool/emulator/direct_worker.h"

#include <memory>
#include <set>
#include <string>

namespace lycheespool {

/*! @brief Simulated agent and worker without a network; the worker keeps its state when the agent restarts. */
struct SimAgent {
    using Tasks = WorkerTasks<DirectWorker, SharedClock>;

    SimAgent(const std::string& id, const std::string& zone, SharedClock sharedClock, Metrics& metricsRegistry)
        : clock { sharedClock }
        , metrics { metricsRegistry }
        , worker { model, sharedClock }
        , settings { AgentId { id }, Incarnation { 1 }, ZoneId { zone }, RackId { zone + "-r" }, { 60, 128000, 8 } }
        , tasks { std::make_unique<Tasks>(settings, worker, metrics, clock) }
    {
    }

    [[nodiscard]] bool isReachable() const { return up && !partitioned; }

    void restart()
    {
        settings.incarnation = Incarnation { settings.incarnation.value() + 1 };
        tasks = std::make_unique<Tasks>(settings, worker, metrics, clock);
        helloSentTo.clear();
        up = true;
    }

    [[nodiscard]] Hello hello() const
    {
        Hello hello;
        hello.agent = settings.agent;
        hello.incarnation = settings.incarnation;
        hello.kind = EndpointKind::worker;
        hello.zone = settings.zone;
        hello.rack = settings.rack;
        hello.cores = settings.capacity.cores;
        hello.memoryMiB = settings.capacity.memoryMiB;
        hello.accelerators = settings.capacity.accelerators;
        return hello;
    }

    [[nodiscard]] Heartbeat heartbeat() const
    {
        Heartbeat heartbeat;
        heartbeat.incarnation = settings.incarnation;
        heartbeat.draining = tasks->isDraining();
        heartbeat.tasks = tasks->reports();
        heartbeat.complete = tasks->isComplete();
        return heartbeat;
    }

    SharedClock clock;
    Metrics& metrics;
    WorkerModel model { { 60, 128000, 8 } };
    DirectWorker worker;
    WorkerSettings settings;
    std::unique_ptr<Tasks> tasks;
    bool up { true };
    bool partitioned { false };
    /*! @brief Entries that have received this incarnation's hello. */
    std::set<const void*> helloSentTo;
};

}
