#include "platform/executor_api.h"
#include "platform/executor_client.h"
#include "platform/settings.h"
#include "platform/store_client.h"

#include "lycheespool/cli/process_runner.h"
#include "lycheespool/cli/roles.h"
#include "lycheespool/cluster/settings_reloader.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/net/http_server.h"
#include "lycheespool/net/keep_running.h"
#include "lycheespool/nodeagent/node_agent.h"
#include "lycheespool/nodeagent/verified_connections.h"

namespace lycheespool {

namespace {

// Drain timeout for calls from the executor that are in flight at a planned stop.
constexpr Duration drainTime = std::chrono::milliseconds { 500 };

using Connections = VerifiedConnections<platform::ExecutorClient>;
using Agent = NodeAgent<platform::StoreClient, Connections>;

HttpResponse renderMetrics(const Metrics& metrics)
{
    HttpResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = metrics.render();
    return response;
}

}

ExitCode runNodeAgent(const Args&)
{
    StopSignals signals;
    const auto settings = platform::readSettings();
    if (!settings.executor || !settings.control)
        throw Error { ErrorKind::invalidSetting, "no executor is configured on this VM",
            "run node-agent on the VMs of executors only" };
    startEventLog(settings.node);
    logEvent("started",
        { { "role", "node-agent" }, { "zone", settings.zone }, { "executor_address", settings.executor->toString() },
            { "store", settings.store.toString() } });
    Metrics metrics;
    addProcessGauges(metrics);
    ExitCode code = ExitCode::success;
    {
        // One thread: the VM has a fraction of a core, and the state needs no locks.
        IoPool pool { 1 };
        platform::StoreClient store { settings.store, metrics };
        platform::ExecutorClient client { *settings.executor };
        Connections executor { client, metrics };
        const auto agent
            = std::make_shared<Agent>(pool.context().get_executor(), settings, store, executor, RowNames {}, metrics);
        const platform::ExecutorEvents events {
            [agent](const ExecutorAnnouncement& it) { agent->onAnnouncement(it); },
            [agent](const std::string& it) { agent->onDeparture(it); },
        };
        HttpServer control { pool, *settings.control, metrics,
            [&events](HttpRequest request) -> Awaitable<HttpResponse> {
                co_return platform::handleExecutorRequest(request, events);
            } };
        HttpServer status { pool, settings.metrics, metrics,
            [&metrics](HttpRequest) -> Awaitable<HttpResponse> { co_return renderMetrics(metrics); } };
        agent->start();
        control.start();
        status.start();
        SettingsReloader reload { settings, platform::readSettings,
            [agent](const std::vector<Address>& seeds) { agent->setSeeds(seeds); } };
        asio::co_spawn(pool.context(), keepRunning("settings", [&reload] { return reload.run(); }), asio::detached);
        code = runUntilSignal(
            signals, pool, [&] { return control.drain(drainTime); },
            [&] { asio::post(pool.context(), [&reload] { reload.check(true); }); });
    }
    logEvent("stopped", { { "role", "node-agent" }, { "code", static_cast<int>(code) } });
    stopEventLog();
    return code;
}

}
