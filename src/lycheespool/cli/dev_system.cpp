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
        : incarnation { drawIncarnation() }
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

DevSystem::DevSystem(IoPool& pool, const Address& http, std::size_t executors)
    : m_table { pool, loopback(), m_metrics }
    , m_entry { std::make_unique<EntryProcess>(pool, entrySettings(http, m_table.address()), m_metrics) }
{
    for (std::size_t i = 0; i < executors; ++i)
        m_executors.push_back(std::make_unique<ExecutorUnit>(pool, i, m_entry->rpcAddress()));
}

DevSystem::~DevSystem()
{
    for (const auto& it : m_executors)
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
}

Awaitable<bool> DevSystem::drain()
{
    const auto timeout = devDrainTimeout;
    bool clean = co_await m_entry->drain();
    for (const auto& it : m_executors) {
        auto agentDrained = asio::co_spawn(it->agentPool.context(), it->agent.drain(timeout), asio::use_awaitable);
        const bool agentClean = co_await std::move(agentDrained);
        const bool serviceClean = co_await it->service.drain(timeout);
        clean = clean && agentClean && serviceClean;
    }
    const bool tableClean = co_await m_table.drain(timeout);
    co_return clean&& tableClean;
}

}
