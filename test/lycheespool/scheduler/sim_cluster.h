#pragma once

#include "fake_orders.h"
#include "lycheespool/placement/first_fit.h"
#include "lycheespool/scheduler/job_request.h"
#include "lycheespool/scheduler/scheduler.h"
#include "sim_agent.h"
#include "sim_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lycheespool {

/*! @brief Simulated entry with a scheduler and a table connection of its own. */
struct SimEntry {
    using SchedulerType = Scheduler<FirstFit, SimTable, FakeOrders, SharedClock>;

    SimEntry(asio::io_context& context, const std::string& name, std::uint64_t incarnation, MemoryTable& rows,
        FakeOrders& orders, Metrics& metrics, SharedClock clock)
        : table { EmulatedTable { rows, faults } }
        , scheduler { context.get_executor(), { "main", EntryId { name }, Incarnation { incarnation } },
            [] { return std::make_unique<FirstFit>(); }, table, orders, metrics, clock }
    {
    }

    TableFaults faults;
    SimTable table;
    SchedulerType scheduler;
    bool paused { false };
    TimePoint lastRead {};
};

/*! @brief Simulated entries, agents and workers on one manual clock; checks invariants in every tick. */
class SimCluster {
public:
    static constexpr Duration tick = std::chrono::milliseconds { 500 };

    SimCluster(std::size_t entryCount, std::size_t workerCount)
    {
        clock.advance(std::chrono::hours { 1 });
        for (std::size_t i = 0; i < workerCount; ++i) {
            const auto id = fmt::format("w{}", i);
            agents.try_emplace(AgentId { id }, id, fmt::format("z{}", i / 4), SharedClock { &clock }, metrics);
        }
        for (std::size_t i = 0; i < entryCount; ++i)
            entries.push_back(std::make_unique<SimEntry>(
                context, fmt::format("e{}", i), i + 1, rows, orders, metrics, SharedClock { &clock }));
    }

    void run(Awaitable<> operation)
    {
        asio::co_spawn(context, std::move(operation), asio::detached);
        poll();
    }

    void poll()
    {
        context.restart();
        context.poll();
    }

    /*! @brief Advances the clock in ticks; in each tick, every agent and entry runs once and invariants are checked. */
    void advance(Duration length)
    {
        for (Duration done {}; done < length; done += tick) {
            clock.advance(tick);
            orders.notifyTimeAdvanced();
            poll();
            for (auto& [id, agent] : agents)
                stepAgent(id, agent);
            for (auto& entry : entries) {
                if (!entry->paused)
                    run(entry->scheduler.step(clock.now()));
            }
            checkInvariants();
        }
    }

    void submit(const std::string& id, std::uint32_t tasks, std::uint32_t seconds = 60)
    {
        const auto body = fmt::format(
            R"({{"tasks":{},"cores":4,"memoryMiB":1000,"accelerators":4,"runTimeSeconds":{}}})", tasks, seconds);
        const auto record = parseJobRequest(WorkspaceId { "ws" }, JobId { id }, "test", body);
        rows.commit(JobRows::submit(record));
    }

    void cancel(const std::string& id) { rows.commit(JobRows::cancel(rows.get(JobRows::jobKey(JobId { id })))); }

    [[nodiscard]] JobRecord record(const std::string& id) const
    {
        return JobRecord::decode(rows.get(JobRows::jobKey(JobId { id })).value);
    }

    /*! @brief Returns the tasks that currently run, as seen by the worker models and not by agents and leaders. */
    [[nodiscard]] std::vector<TaskStatus> running()
    {
        std::vector<TaskStatus> found;
        for (auto& [id, agent] : agents) {
            for (const auto& it : agent.model.list(clock.now())) {
                if (it.state == TaskState::running)
                    found.push_back(it);
            }
        }
        return found;
    }

    /*! @brief Returns the epoch of the leader, or 0 while there is no leader. */
    [[nodiscard]] Epoch leaderEpoch() const
    {
        for (const auto& it : entries) {
            if (!it->paused && it->scheduler.isLeader())
                return it->scheduler.newestEpoch();
        }
        return {};
    }

    SimAgent& agent(const std::string& id) { return agents.at(AgentId { id }); }

    /*! @brief Longest time for which only a part of a gang ran, under one leader and without faults of orders. */
    Duration longestPartial {};
    /*! @brief As longestPartial, counting only ticks in which every worker of the running part was reachable. */
    Duration longestReachablePartial {};
    /*! @brief Whether two attempts of a job ran at the same time at any tick. */
    bool ranTwice { false };

    asio::io_context context { 1 };
    ManualClock clock;
    Metrics metrics;
    MemoryTable rows;
    std::map<AgentId, SimAgent> agents;
    FakeOrders orders { context, agents, SharedClock { &clock } };
    std::vector<std::unique_ptr<SimEntry>> entries;

private:
    void stepAgent(const AgentId& id, SimAgent& agent)
    {
        if (!agent.up)
            return;
        run(agent.tasks->tick());
        for (auto& entry : entries) {
            if (!entry->faults.down && !entry->paused)
                entry->lastRead = clock.now();
            if (agent.partitioned || entry->paused)
                continue;
            if (agent.helloSentTo.insert(entry.get()).second)
                entry->scheduler.onHello(id, agent.hello(), clock.now());
            entry->scheduler.onHeartbeat(id, agent.heartbeat(), clock.now());
            agent.tasks->received(replyOf(*entry), clock.now());
        }
        run(agent.tasks->renewLeases());
    }

    [[nodiscard]] HeartbeatReply replyOf(const SimEntry& entry) const
    {
        HeartbeatReply reply;
        reply.epoch = entry.scheduler.newestEpoch();
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - entry.lastRead);
        reply.freshness.ageMs = static_cast<std::uint64_t>(age.count());
        return reply;
    }

    void checkInvariants()
    {
        std::map<JobId, std::set<Attempt>> attempts;
        std::map<JobId, std::uint32_t> runningOrDone;
        std::set<JobId> unreachable;
        for (auto& [id, agent] : agents) {
            for (const auto& it : agent.model.list(clock.now())) {
                const bool runs = it.state == TaskState::running;
                if (runs)
                    attempts[it.key.job].insert(it.key.attempt);
                if (runs || it.state == TaskState::done)
                    ++runningOrDone[it.key.job];
                if (runs && (!agent.isReachable() || agent.worker.unreachable))
                    unreachable.insert(it.key.job);
            }
        }
        if (leaderEpoch() != std::exchange(m_leader, leaderEpoch()) || m_leader == Epoch {} || !orders.faults.empty())
            m_partial = m_reachablePartial = {};
        std::erase_if(m_partial, [&](const auto& it) { return !attempts.contains(it.first); });
        std::erase_if(m_reachablePartial, [&](const auto& it) { return !m_partial.contains(it.first); });
        for (const auto& [job, running] : attempts) {
            ranTwice = ranTwice || running.size() > 1;
            const bool whole = runningOrDone[job] >= record(job.value()).spec.tasks;
            if (whole) {
                m_partial.erase(job);
                m_reachablePartial.erase(job);
                continue;
            }
            longestPartial = std::max(longestPartial, m_partial[job] += tick);
            if (!unreachable.contains(job))
                longestReachablePartial = std::max(longestReachablePartial, m_reachablePartial[job] += tick);
        }
    }

    std::map<JobId, Duration> m_partial;
    std::map<JobId, Duration> m_reachablePartial;
    Epoch m_leader;
};

}
