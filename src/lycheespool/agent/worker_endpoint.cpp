#include "lycheespool/agent/worker_endpoint.h"

#include "lycheespool/agent/worker_tasks.h"
#include "lycheespool/emulator/worker_client.h"
#include "lycheespool/net/sleep.h"

#include <utility>

namespace lycheespool {

namespace {

// Bounds the delay until the end of a task is reported; costs one short request to a process on the same machine.
constexpr Duration tickInterval = std::chrono::milliseconds { 500 };
constexpr Duration drainPollInterval = std::chrono::milliseconds { 50 };

}

struct WorkerEndpoint::State {
    State(const asio::any_io_executor& ownExecutor, const WorkerSettings& workerSettings, const Address& address,
        Metrics& metrics)
        : executor { ownExecutor }
        , settings { workerSettings }
        , client { address }
        , tasks { workerSettings, client, metrics }
        , unexpected { metrics.counter("agent_messages_unexpected_total") }
    {
    }

    asio::any_io_executor executor;
    WorkerSettings settings;
    WorkerClient client;
    WorkerTasks<WorkerClient> tasks;
    Counter& unexpected;
    std::uint64_t sequence { 0 };
    bool stopped { false };
};

WorkerEndpoint::WorkerEndpoint(
    const asio::any_io_executor& executor, const WorkerSettings& settings, const Address& worker, Metrics& metrics)
    : m_state { std::make_shared<State>(executor, settings, worker, metrics) }
{
}

WorkerEndpoint::~WorkerEndpoint() { stop(); }

void WorkerEndpoint::start()
{
    asio::co_spawn(
        m_state->executor,
        [state = m_state]() -> Awaitable<> {
            while (!state->stopped) {
                co_await state->tasks.tick();
                co_await sleepFor(tickInterval);
            }
        },
        asio::detached);
}

void WorkerEndpoint::stop() { m_state->stopped = true; }

void WorkerEndpoint::setFreshnessRequest(FreshnessRequest request)
{
    m_state->tasks.setFreshnessRequest(std::move(request));
}

Hello WorkerEndpoint::hello()
{
    const auto& settings = m_state->settings;
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

Heartbeat WorkerEndpoint::heartbeat()
{
    Heartbeat heartbeat;
    heartbeat.incarnation = m_state->settings.incarnation;
    heartbeat.sequence = ++m_state->sequence;
    heartbeat.draining = m_state->tasks.isDraining();
    heartbeat.tasks = m_state->tasks.reports();
    heartbeat.complete = m_state->tasks.isComplete();
    return heartbeat;
}

void WorkerEndpoint::handle(const std::shared_ptr<RpcConnection>& connection, Envelope envelope)
{
    if (envelope.type != Order::type) {
        m_state->unexpected.add();
        return;
    }
    asio::co_spawn(
        m_state->executor,
        [state = m_state, connection, order = envelope.as<Order>(),
            correlation = envelope.correlation]() -> Awaitable<> {
            const auto reply = co_await state->tasks.execute(order);
            connection->send(reply, correlation);
        },
        asio::detached);
}

void WorkerEndpoint::received(const HeartbeatReply& reply, TimePoint sent)
{
    m_state->tasks.received(reply, sent);
    asio::co_spawn(
        m_state->executor, [state = m_state]() -> Awaitable<> { co_await state->tasks.renewLeases(); }, asio::detached);
}

Awaitable<bool> WorkerEndpoint::drain(Duration timeout)
{
    const auto state = m_state;
    state->tasks.startDrain();
    const auto deadline = SteadyClock {}.now() + timeout;
    while (state->tasks.running() > 0 && SteadyClock {}.now() < deadline)
        co_await sleepFor(drainPollInterval);
    const bool clean = state->tasks.running() == 0;
    if (!clean) {
        std::string reason { "the worker is draining" };
        co_await state->tasks.stopAll(std::move(reason));
    }
    co_return clean;
}

}
