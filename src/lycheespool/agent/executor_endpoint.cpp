#include "lycheespool/agent/executor_endpoint.h"

#include "lycheespool/core/error.h"
#include "lycheespool/net/sleep.h"

namespace lycheespool {

ExecutorEndpoint::ExecutorEndpoint(ExecutorEndpointSettings settings, Metrics& metrics)
    : m_settings { std::move(settings) }
    , m_executor { m_settings.executor }
    , m_ledger { m_settings.incarnation }
    , m_accepted { metrics.counter("requests_accepted_total") }
    , m_refused { metrics.counter("requests_refused_total") }
{
}

Hello ExecutorEndpoint::hello() const
{
    Hello hello;
    hello.agent = m_settings.agent;
    hello.incarnation = m_settings.incarnation;
    hello.kind = EndpointKind::executor;
    hello.zone = m_settings.zone;
    hello.rack = m_settings.rack;
    hello.slots = m_settings.slots;
    return hello;
}

Heartbeat ExecutorEndpoint::heartbeat()
{
    Heartbeat heartbeat;
    heartbeat.incarnation = m_settings.incarnation;
    heartbeat.sequence = ++m_sequence;
    heartbeat.slotsFree = slotsFree();
    heartbeat.draining = m_draining;
    return heartbeat;
}

void ExecutorEndpoint::handle(const std::shared_ptr<RpcConnection>& connection, Envelope envelope)
{
    if (envelope.type == MessageType::inquire)
        return answerInquiry(*connection, envelope);
    if (envelope.type != MessageType::execute)
        return;
    auto request = envelope.as<Execute>();
    asio::co_spawn(
        connection->executor(), execute(connection, envelope.correlation, std::move(request)), asio::detached);
}

void ExecutorEndpoint::received(const HeartbeatReply&, TimePoint) { }

bool ExecutorEndpoint::mayAccept(const Execute& request) const
{
    return !m_draining && request.incarnation == m_settings.incarnation && m_busy < m_settings.slots;
}

Awaitable<> ExecutorEndpoint::execute(
    std::shared_ptr<RpcConnection> connection, std::uint64_t correlation, Execute request)
{
    ExecuteReply reply;
    reply.request = request.request;
    reply.incarnation = m_settings.incarnation;
    if (mayAccept(request)) {
        m_accepted.add();
        ++m_busy;
        co_await executeOnce(request, reply);
        --m_busy;
    } else {
        m_refused.add();
        reply.outcome = Outcome::notRun;
    }
    reply.slotsFree = slotsFree();
    connection->send(reply, correlation);
}

void ExecutorEndpoint::answerInquiry(RpcConnection& connection, const Envelope& envelope)
{
    const auto reply = m_ledger.inquire(envelope.as<Inquire>(), SteadyClock {}.now());
    connection.send(reply, envelope.correlation);
}

Awaitable<> ExecutorEndpoint::executeOnce(const Execute& request, ExecuteReply& reply)
{
    if (request.idempotent) {
        co_await forward(request, reply);
        co_return;
    }
    auto decision = m_ledger.begin(request.key, SteadyClock {}.now());
    if (!decision.run) {
        reply.outcome = decision.outcome;
        reply.status = decision.status;
        reply.body = std::move(decision.body);
        co_return;
    }
    co_await forward(request, reply);
    const auto now = SteadyClock {}.now();
    if (reply.outcome == Outcome::done)
        m_ledger.finish(request.key, reply.status, reply.body, now);
    else if (reply.outcome == Outcome::notRun)
        m_ledger.release(request.key);
    else
        m_ledger.abandon(request.key, now);
}

Awaitable<> ExecutorEndpoint::forward(const Execute& request, ExecuteReply& reply)
{
    HttpRequest message;
    message.method = "POST";
    message.path = "/v1/execute";
    message.body = request.body;
    if (!request.key.empty())
        message.fields.emplace_back("Idempotency-Key", request.key);
    const auto timeout = std::chrono::milliseconds { request.deadlineMs };
    try {
        auto response = co_await m_executor.send(std::move(message), timeout);
        // Status 503 means that the executor assigned no slot, which proves that the request did not run.
        reply.outcome = response.status == 503 ? Outcome::notRun : Outcome::done;
        reply.status = response.status;
        reply.body = std::move(response.body);
    } catch (const Error& error) {
        reply.outcome = error.kind() == ErrorKind::unavailable ? Outcome::notRun : Outcome::unknown;
    }
}

Awaitable<bool> ExecutorEndpoint::drain(Duration timeout)
{
    m_draining = true;
    const auto deadline = SteadyClock {}.now() + timeout;
    while (m_busy > 0 && SteadyClock {}.now() < deadline)
        co_await sleepFor(std::chrono::milliseconds { 5 });
    co_return m_busy == 0;
}

}
