#include "lycheespool/entry/entry_process.h"

#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"
#include "lycheespool/entry/request_api.h"

#include <nlohmann/json.hpp>

namespace lycheespool {

namespace {

constexpr std::string_view workspacePrefix = "/v1/workspaces/";

HttpResponse text(std::string body)
{
    HttpResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::move(body);
    return response;
}

Error unknownPath(const HttpRequest& request)
{
    return { ErrorKind::notFound, "no resource for " + request.method + " " + request.path,
        "see docs/api.md for the calls" };
}

}

EntryProcess::EntryProcess(IoPool& pool, EntrySettings settings, Metrics& metrics)
    : m_pool { pool }
    , m_settings { std::move(settings) }
    , m_metrics { metrics }
    , m_table { m_settings.table, metrics }
    , m_requests { m_settings.id, m_settings.zone, m_table, m_membership, metrics }
    , m_rpc { pool, m_settings.rpc, metrics,
        [this](const auto& connection, Envelope envelope) { receive(connection, std::move(envelope)); },
        [this](const auto& connection) { forget(connection); } }
    , m_http { pool, m_settings.http, metrics, [this](HttpRequest request) { return serve(std::move(request)); } }
    , m_registry { m_table, m_settings.id, m_rpc.address() }
{
    addProcessGauges(metrics);
}

void EntryProcess::start()
{
    m_rpc.start();
    m_http.start();
    asio::co_spawn(m_pool.context(), m_registry.run(), asio::detached);
    log(LogLevel::info, "entry {} serves clients on {} and agents on {}", m_settings.id.value(),
        httpAddress().toString(), rpcAddress().toString());
}

Awaitable<bool> EntryProcess::drain()
{
    m_draining = true;
    co_await m_registry.withdraw();
    const bool clean = co_await m_http.drain(m_settings.drainTimeout);
    m_rpc.stop();
    co_return clean;
}

Awaitable<HttpResponse> EntryProcess::serve(HttpRequest request)
{
    if (request.path.starts_with(workspacePrefix))
        co_return co_await serveWorkspace(std::move(request));
    if (request.path == "/healthz")
        co_return text("ok\n");
    if (request.path == "/readyz") {
        if (m_draining)
            throw Error { ErrorKind::unavailable, "this entry is draining", "use another entry" };
        co_return text("ready\n");
    }
    if (request.path == "/metrics")
        co_return text(m_metrics.render());
    if (request.path == "/v1/status")
        co_return status();
    throw unknownPath(request);
}

Awaitable<HttpResponse> EntryProcess::serveWorkspace(HttpRequest request)
{
    const auto rest = request.path.substr(workspacePrefix.size());
    const auto slash = rest.find('/');
    const auto workspace = rest.substr(0, slash);
    const auto resource = slash == std::string::npos ? std::string {} : rest.substr(slash + 1);
    if (resource == "requests" && request.method == "POST") {
        auto clientRequest = readClientRequest(std::move(request), workspace);
        auto answer = co_await m_requests.execute(std::move(clientRequest));
        co_return writeClientAnswer(std::move(answer));
    }
    throw unknownPath(request);
}

HttpResponse EntryProcess::status() const
{
    auto executors = nlohmann::json::array();
    for (const auto& it : *m_membership.nodes().load()) {
        executors.push_back({ { "agent", it->agent.value() }, { "zone", it->zone.value() }, { "slots", it->slots },
            { "slotsFree", it->slotsFree.load() }, { "draining", it->draining.load() } });
    }
    HttpResponse response;
    response.body = nlohmann::json {
        { "entry", m_settings.id.value() }, { "entries", m_registry.entries() }, { "tableDown", m_table.isDown() },
        { "executors", executors }
    }.dump(2);
    response.body += '\n';
    return response;
}

void EntryProcess::receive(const std::shared_ptr<RpcConnection>& connection, Envelope envelope)
{
    switch (envelope.type) {
    case MessageType::hello:
        return receiveHello(connection, envelope);
    case MessageType::heartbeat:
        return receiveHeartbeat(connection, envelope);
    case MessageType::goodbye:
        return receiveGoodbye(connection, envelope);
    default:
        throw Error { ErrorKind::malformedFrame, "unexpected message type",
            "check that both processes run the same version of lycheespool" };
    }
}

void EntryProcess::receiveHello(const std::shared_ptr<RpcConnection>& connection, const Envelope& envelope)
{
    const auto hello = envelope.as<Hello>();
    m_agents.add(hello, connection);
    if (hello.kind == EndpointKind::executor)
        m_membership.join(hello, connection, SteadyClock {}.now());
    log(LogLevel::info, "agent {} joined from zone {}", hello.agent.value(), hello.zone.value());
    HelloReply reply;
    reply.entry = m_settings.id;
    reply.entries = m_registry.entries();
    connection->send(reply, envelope.correlation);
}

void EntryProcess::receiveHeartbeat(const std::shared_ptr<RpcConnection>& connection, const Envelope& envelope)
{
    const auto heartbeat = envelope.as<Heartbeat>();
    const auto hello = m_agents.find(connection.get());
    if (!hello)
        throw Error { ErrorKind::malformedFrame, "heartbeat before the announcement", "send Hello first" };
    m_membership.report(hello->agent, heartbeat, SteadyClock {}.now());
    HeartbeatReply reply;
    reply.entries = m_registry.entries();
    connection->send(reply, envelope.correlation);
}

void EntryProcess::receiveGoodbye(const std::shared_ptr<RpcConnection>& connection, const Envelope& envelope)
{
    const auto goodbye = envelope.as<Goodbye>();
    const auto hello = m_agents.find(connection.get());
    GoodbyeReply reply;
    reply.known = hello && m_membership.leave(hello->agent, goodbye.incarnation);
    connection->send(reply, envelope.correlation);
}

void EntryProcess::forget(const std::shared_ptr<RpcConnection>& connection)
{
    m_membership.disconnect(connection.get());
    if (const auto agent = m_agents.remove(connection.get()))
        log(LogLevel::info, "agent {} disconnected", agent->value());
}

}
