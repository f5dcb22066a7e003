#include "platform/client_api.h"
#include "platform/operator_codec.h"
#include "platform/settings.h"
#include "platform/store_client.h"

#include "lycheespool/cli/incarnation.h"
#include "lycheespool/cli/process_runner.h"
#include "lycheespool/cli/roles.h"
#include "lycheespool/cli/settings_parser.h"
#include "lycheespool/cluster/operator_watcher.h"
#include "lycheespool/cluster/settings_reloader.h"
#include "lycheespool/controller/decision_policy.h"
#include "lycheespool/controller/leader_host.h"
#include "lycheespool/controller/rpc_holder_probe.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/gateway/access_control.h"
#include "lycheespool/gateway/job_gateway.h"
#include "lycheespool/net/http_server.h"
#include "lycheespool/net/keep_running.h"
#include "lycheespool/net/rpc_server.h"

#include <optional>

namespace lycheespool {

namespace {

using Store = platform::StoreClient;
using Leader = LeaderHost<Store, RpcHolderProbe>;

// The load balancer checks readiness every second and stops sending new connections after two failed checks.
constexpr Duration balancerDetectionTime = std::chrono::milliseconds { 2200 };
// Drain timeout for requests in flight after that; clients wait at most about this long.
constexpr Duration drainTime = std::chrono::milliseconds { 2500 };

/*! @brief All parts of a gateway process. */
class GatewayProcess {
public:
    GatewayProcess(
        IoPool& pool, const NodeSettings& settings, const ControllerSettings& controllerSettings, Metrics& metrics)
        : m_settings { settings }
        , m_store { settings.store, metrics }
        , m_watcher { m_store, platform::operatorSource(), [this] { m_leader->onOperatorChange(); } }
        , m_gateway { m_store, RowNames {}, metrics, ControllerSettings::maxValueBytes(settings.rowBytes) }
        , m_relay { pool.context().get_executor(), settings.internal, settings.seeds, metrics }
        , m_access { m_watcher, settings.bounds.configApply, metrics }
        , m_api { m_gateway, m_access, m_relay }
        , m_probe { metrics }
        , m_incarnation { generateIncarnation().value() }
        , m_leader { std::make_shared<Leader>(pool.context().get_executor(), m_store, m_probe, m_watcher, RowNames {},
              LeaseRow { settings.node, m_incarnation, settings.internal.toString(), 0 }, controllerSettings, metrics) }
        , m_messages { pool, settings.internal, metrics,
            [this](const auto& source, Envelope envelope) { onMessage(source, std::move(envelope)); },
            [](const auto&) {} }
        , m_metrics { pool, settings.metrics, metrics,
            [&metrics](HttpRequest) -> Awaitable<HttpResponse> { co_return renderMetrics(metrics); } }
    {
        if (settings.clientAddress)
            m_front.emplace(pool, *settings.clientAddress, metrics,
                [this](HttpRequest request) { return m_api.handleOrRelay(std::move(request)); });
        if (settings.readinessAddress)
            m_ready.emplace(pool, *settings.readinessAddress, metrics,
                [this](HttpRequest) -> Awaitable<HttpResponse> { co_return answerReady(); });
        if (settings.control)
            m_control.emplace(pool, *settings.control, metrics, [](HttpRequest) -> Awaitable<HttpResponse> {
                HttpResponse response;
                response.status = 404;
                co_return response;
            });
        const auto executor = pool.context().get_executor();
        asio::co_spawn(executor, keepRunning("operator rows", [this] { return m_watcher.run(); }), asio::detached);
        asio::co_spawn(executor, keepRunning("job states", [this] { return m_gateway.run(); }), asio::detached);
        m_leader->start();
        m_messages.start();
        m_metrics.start();
        for (auto* const it : { &m_front, &m_ready, &m_control }) {
            if (*it)
                (*it)->start();
        }
    }

    /*! @brief Replaces the addresses that calls are relayed to. */
    void setSeeds(const std::vector<Address>& seeds) { m_relay.setPeers(seeds); }

    /*! @brief Replaces the policy of the leader's decisions. */
    void setPolicy(const DecisionPolicy& policy) { m_leader->setPolicy(policy); }

    [[nodiscard]] Awaitable<bool> drain()
    {
        m_isDraining = true;
        co_await m_leader->retire();
        const auto notice = std::min<Duration>(balancerDetectionTime, m_settings.bounds.stopGrace / 2);
        co_await sleepFor(notice);
        const auto rest = std::min<Duration>(drainTime, m_settings.bounds.stopGrace / 3);
        const bool isClean = !m_front || co_await m_front->drain(rest);
        co_return isClean;
    }

private:
    [[nodiscard]] static HttpResponse renderMetrics(const Metrics& metrics)
    {
        HttpResponse response;
        response.contentType = "text/plain; version=0.0.4";
        response.body = metrics.render();
        return response;
    }

    [[nodiscard]] HttpResponse answerReady()
    {
        HttpResponse response;
        const bool isReady = !m_isDraining && m_access.isCurrent() && m_gateway.isStoreReachable();
        response.status = isReady ? 200 : 503;
        return response;
    }

    void onMessage(const std::shared_ptr<RpcConnection>& source, Envelope envelope)
    {
        try {
            if (envelope.type == MessageType::nodeReport)
                source->send(m_leader->onReport(source, envelope.as<NodeReport>()), envelope.correlation);
            else if (envelope.type == MessageType::leaseInquiry)
                source->send(m_leader->onInquiry(envelope.as<LeaseInquiry>(), m_incarnation), envelope.correlation);
            else if (envelope.type == MessageType::clientCall)
                handleRelayed(source, envelope.as<ClientCall>(), envelope.correlation);
        } catch (const Error& error) {
            logEvent("message_unreadable", { { "reason", error.what() } });
            source->close();
        }
    }

    void handleRelayed(const std::shared_ptr<RpcConnection>& source, ClientCall call, std::uint64_t correlation)
    {
        asio::co_spawn(
            source->executor(),
            [this, source, correlation, call = std::move(call)]() mutable -> Awaitable<> {
                const auto reply = co_await m_api.handleRelayed(std::move(call));
                source->send(reply, correlation);
            },
            asio::detached);
    }

    NodeSettings m_settings;
    Store m_store;
    OperatorWatcher<Store> m_watcher;
    JobGateway<Store> m_gateway;
    PeerRelay m_relay;
    AccessControl<OperatorWatcher<Store>> m_access;
    platform::ClientApi<Store> m_api;
    RpcHolderProbe m_probe;
    std::uint64_t m_incarnation;
    std::shared_ptr<Leader> m_leader;
    RpcServer m_messages;
    HttpServer m_metrics;
    std::optional<HttpServer> m_front;
    std::optional<HttpServer> m_ready;
    std::optional<HttpServer> m_control;
    bool m_isDraining { false };
};

/*! @brief Reads the policy file again; an invalid file leaves the previous policy in effect. */
void reloadPolicy(const std::string& policyFile, GatewayProcess& process)
{
    if (policyFile.empty())
        return;
    try {
        process.setPolicy(readDecisionPolicy(policyFile));
        logEvent("policy_reloaded", { { "file", policyFile } });
    } catch (const Error& error) {
        logEvent("policy_reload_failed", { { "reason", error.what() }, { "remedy", error.remedy() } });
    }
}

}

ExitCode runGateway(const Args& args)
{
    StopSignals signals;
    SettingsParser parser { "gateway",
        "Serves clients on the users' platform; one gateway leads. Addresses come from the settings file of the "
        "platform, decisions from the policy file. Keys of the policy file:\n"
            + describeDecisionPolicy() };
    parser.addText("policy", "TOML file with the policy of the leader's decisions, read again at SIGHUP", "");
    parser.parse(args);
    const auto policyFile = parser.text("policy");
    const auto policy = policyFile.empty() ? DecisionPolicy {} : readDecisionPolicy(policyFile);
    const auto settings = platform::readSettings();
    auto controllerSettings = ControllerSettings::from(settings);
    controllerSettings.policy = policy;
    startEventLog(settings.node);
    logEvent("started",
        { { "role", "gateway" }, { "zone", settings.zone }, { "store", settings.store.toString() },
            { "policy", policyFile } });
    Metrics metrics;
    addProcessGauges(metrics);
    ExitCode code = ExitCode::success;
    {
        // One thread: the VM has a fraction of a core, and the state needs no locks.
        IoPool pool { 1 };
        GatewayProcess process { pool, settings, controllerSettings, metrics };
        SettingsReloader reload { settings, platform::readSettings,
            [&process](const std::vector<Address>& seeds) { process.setSeeds(seeds); } };
        asio::co_spawn(pool.context(), keepRunning("settings", [&reload] { return reload.run(); }), asio::detached);
        code = runUntilSignal(
            signals, pool, [&] { return process.drain(); },
            [&] {
                asio::post(pool.context(), [&] {
                    reload.check(true);
                    reloadPolicy(policyFile, process);
                });
            });
    }
    logEvent("stopped", { { "role", "gateway" }, { "code", static_cast<int>(code) } });
    stopEventLog();
    return code;
}

}
