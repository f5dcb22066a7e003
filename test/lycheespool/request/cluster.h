#pragma once

#include "delayed_table.h"
#include "fake_agents.h"
#include "lycheespool/request/request_path.h"

#include <fmt/format.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Simulation of entries that share one table and the same agents, in virtual time on one thread. */
template <typename Policy>
class Cluster {
public:
    using Path = RequestPath<DelayedTable, FakeAgents, Policy, ManualTiming>;

    struct Entry {
        Entry(std::size_t index, MemoryTable& rows, const FakeAgents& agents, const ManualTiming& timing)
            : table { rows, faults, timing, static_cast<unsigned>(index) }
            , path { EntryId { fmt::format("entry-{}", index) }, ZoneId { "zone-a" }, table, membership, metrics,
                agents, timing }
        {
        }
        Metrics metrics;
        Membership membership;
        TableFaults faults;
        DelayedTable table;
        Path path;
    };

    Cluster(std::size_t entryCount, std::size_t agentCount)
    {
        for (std::size_t i = 0; i < entryCount; ++i)
            entries.push_back(std::make_unique<Entry>(i, rows, agents, timing));
        for (std::size_t i = 0; i < agentCount; ++i)
            restart(i);
    }

    /*! @brief An answer and the virtual time at which the client received it. */
    struct Answered {
        ClientAnswer answer;
        TimePoint at;
    };
    using Answers = std::vector<Answered>;

    ~Cluster()
    {
        // Waiting requests hold timers of the context, which is destroyed before the entries.
        for (const auto& it : entries)
            it->path.close();
    }
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    static AgentId agentName(std::size_t index) { return AgentId { fmt::format("agent-{}", index) }; }

    /*! @brief Starts an agent with an empty ledger and announces its new incarnation to every entry. */
    void restart(std::size_t index)
    {
        Hello hello;
        hello.agent = agentName(index);
        hello.incarnation = Incarnation { ++m_lastIncarnation };
        hello.zone = ZoneId { "zone-a" };
        hello.slots = 8;
        agents.start(hello.agent, hello.incarnation);
        for (const auto& it : entries)
            it->membership.join(hello, nullptr, timing.now());
    }

    /*! @brief Starts a request; its answer is appended to the list. */
    void submit(std::size_t entry, ClientRequest request, Answers& answers)
    {
        asio::co_spawn(context, collect(entry, std::move(request), answers), asio::detached);
    }

    /*! @brief Executes one request and runs the simulation until no work is left. */
    ClientAnswer execute(std::size_t entry, ClientRequest request)
    {
        Answers answers;
        submit(entry, std::move(request), answers);
        run();
        return answers.at(0).answer;
    }

    /*! @brief Runs all ready work, then advances the clock to the next timer; returns false if there is no timer. */
    bool step()
    {
        context.restart();
        context.poll();
        const bool moved = timing.advanceToNext();
        for (const auto& entry : entries) {
            for (const auto& node : *entry->membership.nodes().load())
                node->lastHeartbeatAt = timing.now().time_since_epoch().count();
        }
        return moved;
    }

    void run()
    {
        // Bounded, because retries of row writes to a table that stays down would advance the clock indefinitely.
        const auto end = timing.now() + std::chrono::minutes { 1 };
        while (timing.now() < end && step()) { }
    }

    ManualTiming timing;
    FakeAgents agents { timing };
    MemoryTable rows;
    std::vector<std::unique_ptr<Entry>> entries;
    asio::io_context context;

private:
    Awaitable<> collect(std::size_t entry, ClientRequest request, Answers& answers)
    {
        auto answer = co_await entries[entry]->path.execute(std::move(request));
        answers.push_back({ std::move(answer), timing.now() });
    }

    std::uint64_t m_lastIncarnation { 0 };
};

/*! @brief Cluster with the default policy and fixed random numbers. */
using TestCluster = Cluster<PowerOfTwo<std::minstd_rand>>;

inline ClientRequest nonIdempotentRequest(const std::string& key, const std::string& body = "body")
{
    ClientRequest request;
    request.workspace = WorkspaceId { "w" };
    request.key = RequestKey { key };
    request.idempotent = false;
    request.body = body;
    return request;
}

}
