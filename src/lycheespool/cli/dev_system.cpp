#include "lycheespool/cli/dev_system.h"

#include "lycheespool/cli/incarnation.h"

#include <array>
#include <string>

namespace lycheespool {

namespace {

constexpr std::array zones { "zone-a", "zone-b", "zone-c" };
constexpr Duration devDrainTimeout = std::chrono::seconds { 5 };

Address loopback() { return { "127.0.0.1", 0 }; }

EntrySettings entrySettings(const Address& http, const Address& table)
{
    EntrySettings settings;
    settings.id = EntryId { "entry-1" };
    settings.incarnation = generateIncarnation();
    settings.zone = ZoneId { zones[0] };
    settings.http = http;
    settings.rpc = loopback();
    settings.table = table;
    settings.drainTimeout = devDrainTimeout;
    return settings;
}

ExecutorServiceSettings serviceSettings()
{
    ExecutorServiceSettings settings;
    settings.address = loopback();
    settings.serviceTime = std::chrono::milliseconds { 1 };
    return settings;
}

ExecutorEndpointSettings endpointSettings(std::size_t index, Incarnation incarnation, const Address& executor)
{
    ExecutorEndpointSettings settings;
    settings.agent = AgentId { "executor-" + std::to_string(index + 1) };
    settings.incarnation = incarnation;
    settings.zone = ZoneId { zones[index % zones.size()] };
    settings.executor = executor;
    return settings;
}

WorkerSettings workerSettings(std::size_t index, Incarnation incarnation)
{
    // All workers are in one zone, so that a gang can span all of them.
    return { AgentId { "worker-" + std::to_string(index + 1) }, incarnation, ZoneId { zones[0] },
        RackId { "rack-" + std::to_string(index / 3 + 1) }, { 60, 131072, 8 } };
}

AgentSettings agentSettings(Incarnation incarnation, const Address& entry)
{
    AgentSettings settings;
    settings.incarnation = incarnation;
    settings.entries = { entry };
    settings.http = loopback();
    return settings;
}

}

/*! @brief An emulated executor and its agent, with one thread for the agent. */
struct DevSystem::ExecutorUnit {
    ExecutorUnit(IoPool& servicePool, std::size_t index, const Address& entry)
        : incarnation { generateIncarnation() }
        , agentPool { 1 }
        , service { servicePool, serviceSettings(), metrics }
        , endpoint { endpointSettings(index, incarnation, service.address()), metrics }
        , agent { agentPool, agentSettings(incarnation, entry), endpoint, metrics }
    {
    }

    Metrics metrics;
    Incarnation incarnation;
    IoPool agentPool;
    ExecutorService service;
    ExecutorEndpoint endpoint;
    AgentProcess<ExecutorEndpoint> agent;
};

/*! @brief An emulated worker and its agent, with one thread for the agent. */
struct DevSystem::WorkerUnit {
    WorkerUnit(IoPool& servicePool, std::size_t index, const Address& entry)
        : settings { workerSettings(index, generateIncarnation()) }
        , agentPool { 1 }
        , service { servicePool, loopback(), settings.capacity, metrics }
        , endpoint { agentPool.context().get_executor(), settings, service.address(), metrics }
        , agent { agentPool, agentSettings(settings.incarnation, entry), endpoint, metrics }
    {
    }

    void start()
    {
        service.start();
        endpoint.setFreshnessRequest([this]() -> Awaitable<> { (void)co_await agent.refresh(); });
        endpoint.start();
        agent.start();
    }

    Metrics metrics;
    WorkerSettings settings;
    IoPool agentPool;
    WorkerService service;
    WorkerEndpoint endpoint;
    AgentProcess<WorkerEndpoint> agent;
};

DevSystem::DevSystem(IoPool& pool, const Address& http, std::size_t executors, std::size_t workers)
    : m_table { pool, loopback(), m_metrics }
    , m_entry { std::make_unique<EntryProcess>(pool, entrySettings(http, m_table.address()), m_metrics) }
{
    for (std::size_t i = 0; i < executors; ++i)
        m_executors.push_back(std::make_unique<ExecutorUnit>(pool, i, m_entry->rpcAddress()));
    for (std::size_t i = 0; i < workers; ++i)
        m_workers.push_back(std::make_unique<WorkerUnit>(pool, i, m_entry->rpcAddress()));
}

DevSystem::~DevSystem()
{
    for (const auto& it : m_executors)
        it->agentPool.stop();
    for (const auto& it : m_workers)
        it->agentPool.stop();
}

void DevSystem::start()
{
    m_table.start();
    m_entry->start();
    for (const auto& it : m_executors) {
        it->service.start();
        it->agent.start();
    }
    for (const auto& it : m_workers)
        it->start();
}

namespace {

template <typename Unit>
Awaitable<bool> drainUnit(Unit& unit, Duration timeout)
{
    auto agentDrained = asio::co_spawn(unit.agentPool.context(), unit.agent.drain(timeout), asio::use_awaitable);
    const bool agentClean = co_await std::move(agentDrained);
    const bool serviceClean = co_await unit.service.drain(timeout);
    co_return agentClean&& serviceClean;
}

}

Awaitable<bool> DevSystem::drain()
{
    const auto timeout = devDrainTimeout;
    bool clean = co_await m_entry->drain();
    for (const auto& it : m_executors) {
        const bool unitClean = co_await drainUnit(*it, timeout);
        clean = clean && unitClean;
    }
    for (const auto& it : m_workers) {
        const bool unitClean = co_await drainUnit(*it, timeout);
        it->endpoint.stop();
        clean = clean && unitClean;
    }
    const bool tableClean = co_await m_table.drain(timeout);
    co_return clean&& tableClean;
}

}
