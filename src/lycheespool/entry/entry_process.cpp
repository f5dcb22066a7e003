#include "lycheespool/entry/entry_process.h"

#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"
#include "lycheespool/document/cluster_capacity.h"
#include "lycheespool/document/freshness.h"
#include "lycheespool/entry/guarantees.h"
#include "lycheespool/entry/request_api.h"
#include "lycheespool/net/sleep.h"

#include <nlohmann/json.hpp>

#include <random>

namespace lycheespool {

namespace {

constexpr std::string_view workspacePrefix = "/v1/workspaces/";
constexpr std::string_view jobPrefix = "/v1/jobs/";
constexpr std::string_view documentPrefix = "/v1/document";
// Together with the heartbeat interval of agents, keeps the time until a change takes effect below 1 s; costs 2.5 table
// reads per second and entry.
constexpr Duration documentReadInterval = std::chrono::milliseconds { 400 };

SchedulerSettings schedulerSettings(const EntrySettings& settings)
{
    return { settings.domain, settings.id, settings.incarnation };
}

HttpResponse textResponse(std::string body)
{
    HttpResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::move(body);
    return response;
}

nlohmann::json describeDocument(const DocumentState& state, TimePoint now)
{
    auto zones = nlohmann::json::array();
    if (state.document) {
        for (const auto& it : state.document->zones.zones)
            zones.push_back({ { "zone", it.id.value() }, { "inService", it.inService }, { "reason", it.reason } });
    }
    return { { "revision", state.head.revision.value() }, { "fresh", state.isFresh(now) }, { "zones", zones } };
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
    , m_jobs { m_table }
    , m_scheduler { pool.context(), schedulerSettings(m_settings), m_table, m_agents, metrics }
    , m_rpc { pool, m_settings.rpc, metrics,
        [this](const auto& connection, Envelope envelope) { receive(connection, std::move(envelope)); },
        [this](const auto& connection) { removeAgent(connection); } }
    , m_http { pool, m_settings.http, metrics, [this](HttpRequest request) { return serve(std::move(request)); } }
    , m_registry { m_table, m_settings.id, m_rpc.address() }
    , m_watcher { m_table, m_document, metrics, m_clock }
    , m_documentApi { m_table, m_settings.id, editPolicy(), [this] { return readDocument(); } }
{
    addProcessGauges(metrics);
}

void EntryProcess::start()
{
    m_rpc.start();
    m_http.start();
    asio::co_spawn(m_pool.context(), m_registry.run(), asio::detached);
    asio::co_spawn(m_pool.context(), watchDocument(), asio::detached);
    m_scheduler.start();
    log(LogLevel::info, "entry {} serves clients on {} and agents on {}", m_settings.id.value(),
        httpAddress().toString(), rpcAddress().toString());
}

Awaitable<bool> EntryProcess::drain()
{
    m_draining = true;
    m_scheduler.stop();
    co_await m_registry.withdraw();
    const bool isComplete = co_await m_http.drain(m_settings.drainTimeout);
    m_requests.close();
    m_rpc.stop();
    co_return isComplete;
}

Awaitable<HttpResponse> EntryProcess::serve(HttpRequest request)
{
    if (request.path.starts_with(workspacePrefix))
        co_return co_await serveWorkspace(std::move(request));
    if (request.path.starts_with(jobPrefix))
        co_return co_await serveJob(std::move(request));
    if (request.path.starts_with(documentPrefix)) {
        auto rest = request.path.substr(documentPrefix.size());
        co_return co_await m_documentApi.serve(std::move(request), std::move(rest));
    }
    if (request.path == "/healthz")
        co_return textResponse("ok\n");
    if (request.path == "/readyz") {
        if (m_draining)
            throw Error { ErrorKind::unavailable, "this entry is draining", "use another entry" };
        co_return textResponse("ready\n");
    }
    if (request.path == "/metrics")
        co_return textResponse(m_metrics.render());
    if (request.path == "/v1/status")
        co_return co_await status();
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
    if (resource == "jobs" && request.method == "POST")
        co_return co_await m_jobs.submit(workspace, std::move(request));
    throw unknownPath(request);
}

Awaitable<HttpResponse> EntryProcess::serveJob(HttpRequest request)
{
    JobId id { request.path.substr(jobPrefix.size()) };
    if (request.method == "GET")
        co_return co_await m_jobs.show(std::move(id));
    if (request.method == "DELETE")
        co_return co_await m_jobs.cancel(std::move(id));
    throw unknownPath(request);
}

Awaitable<> EntryProcess::watchDocument()
{
    while (!m_draining) {
        const auto next = m_clock.now() + documentReadInterval;
        co_await readDocument();
        co_await sleepFor(next - m_clock.now());
    }
}

Awaitable<> EntryProcess::readDocument()
{
    try {
        const bool isNewer = co_await m_watcher.poll();
        if (isNewer)
            log(LogLevel::info, "document revision {} in effect", m_document.state()->head.revision.value());
    } catch (const Error& error) {
        m_metrics.counter("document_read_failures_total").add();
        if (error.kind() != ErrorKind::unavailable)
            log(LogLevel::error, "cannot use the document: {}", error.what());
    } catch (const std::exception& error) {
        // An exception that leaves this place would end watchDocument().
        m_metrics.counter("document_read_failures_total").add();
        log(LogLevel::error, "cannot read the document: {}", error.what());
    }
    asio::post(m_pool.context(), [this] { applyDocument(); });
}

void EntryProcess::applyDocument()
{
    const auto state = m_document.state();
    if (!state->document || state->head.revision <= m_appliedRevision)
        return;
    m_appliedRevision = state->head.revision;
    m_scheduler.setGuarantees(toGuarantees(*state->document));
    const auto zones = state->document->zonesOutOfService();
    m_requests.setZonesOut(ZoneSet { zones.begin(), zones.end() });
    m_scheduler.post([zones, revision = m_appliedRevision](
                         auto& scheduler) { scheduler.setZonesOut(zones, revision, SteadyClock {}.now()); });
}

EditPolicy EntryProcess::editPolicy()
{
    EditPolicy policy;
    policy.retryDelay = [](unsigned attempt) -> Duration {
        thread_local std::minstd_rand random { std::random_device {}() };
        std::uniform_int_distribution<int> milliseconds { 1, 20 };
        return std::chrono::milliseconds { milliseconds(random) * static_cast<int>(attempt) };
    };
    policy.capacity = [this](const Document& document) -> std::vector<ImpossibleGuarantee> {
        auto workers = m_agents.workers();
        // Without a connected worker the capacity is unknown, for example after a restart of the whole system.
        if (workers.empty())
            return {};
        return makeCapacityCheck(std::move(workers))(document);
    };
    return policy;
}

Freshness EntryProcess::freshness() const { return toFreshness(*m_document.state(), m_clock.now()); }

bool EntryProcess::mayRenewLeases() const
{
    // While the table is available, only the leader renews leases: it declares a worker lost by the heartbeats that it
    // receives itself, and a lease renewed by another entry would outlive that. Without the table no worker is declared
    // lost.
    return m_scheduler.isLeader() || !m_document.isFresh(m_clock.now());
}

Awaitable<HttpResponse> EntryProcess::status()
{
    auto scheduler = nlohmann::json();
    try {
        const auto key = leaderReportKey(m_settings.domain);
        const auto row = co_await m_table.get(key);
        if (row.exists())
            scheduler = nlohmann::json::parse(row.value, nullptr, false);
    } catch (const Error& error) {
        scheduler = std::string { "not known: " } + error.what();
    }
    auto executors = nlohmann::json::array();
    for (const auto& it : *m_membership.nodes().load()) {
        executors.push_back({ { "agent", it->agent.value() }, { "zone", it->zone.value() }, { "slots", it->slots },
            { "slotsFree", it->slotsFree.load() }, { "draining", it->draining.load() } });
    }
    HttpResponse response;
    response.body = nlohmann::json {
        { "entry", m_settings.id.value() }, { "entries", m_registry.entries()->addresses },
        { "tableDown", m_table.isDown() }, { "leader", m_scheduler.isLeader() }, { "scheduler", scheduler },
        { "document", describeDocument(*m_document.state(), m_clock.now()) }, { "executors", executors }
    }.dump(2);
    response.body += '\n';
    co_return response;
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
    else
        m_scheduler.post([hello](auto& scheduler) { scheduler.onHello(hello.agent, hello, SteadyClock {}.now()); });
    log(LogLevel::info, "agent {} in zone {} connected", hello.agent.value(), hello.zone.value());
    HelloReply reply;
    reply.renewsLeases = mayRenewLeases();
    reply.entry = m_settings.id;
    reply.entries = m_registry.entries()->addresses;
    reply.epoch = m_scheduler.newestEpoch();
    reply.freshness = freshness();
    connection->send(reply, envelope.correlation);
}

void EntryProcess::receiveHeartbeat(const std::shared_ptr<RpcConnection>& connection, const Envelope& envelope)
{
    const auto heartbeat = envelope.as<Heartbeat>();
    const auto hello = m_agents.find(connection.get());
    if (!hello)
        throw Error { ErrorKind::malformedFrame, "received a heartbeat before Hello", "send Hello first" };
    if (hello->kind == EndpointKind::executor) {
        m_membership.recordHeartbeat(hello->agent, heartbeat, SteadyClock {}.now());
    } else {
        m_scheduler.post([agent = hello->agent, heartbeat](
                             auto& scheduler) { scheduler.onHeartbeat(agent, heartbeat, SteadyClock {}.now()); });
    }
    HeartbeatReply reply;
    reply.renewsLeases = mayRenewLeases();
    reply.epoch = m_scheduler.newestEpoch();
    reply.freshness = freshness();
    const auto entries = m_registry.entries();
    reply.entriesDigest = entries->digest;
    if (heartbeat.entriesDigest != entries->digest)
        reply.entries = entries->addresses;
    connection->send(reply, envelope.correlation);
}

void EntryProcess::receiveGoodbye(const std::shared_ptr<RpcConnection>& connection, const Envelope& envelope)
{
    const auto goodbye = envelope.as<Goodbye>();
    const auto hello = m_agents.find(connection.get());
    GoodbyeReply reply;
    reply.known = hello && m_membership.markDraining(hello->agent, goodbye.incarnation);
    connection->send(reply, envelope.correlation);
}

void EntryProcess::removeAgent(const std::shared_ptr<RpcConnection>& connection)
{
    m_membership.disconnect(connection.get());
    const auto agent = m_agents.remove(connection.get());
    if (!agent)
        return;
    log(LogLevel::info, "agent {} disconnected", agent->value());
    m_scheduler.post([id = *agent](auto& scheduler) { scheduler.onDisconnected(id, SteadyClock {}.now()); });
}

}
