#pragma once

#include "lycheespool/core/metrics.h"
#include "lycheespool/document/document_cache.h"
#include "lycheespool/document/document_watcher.h"
#include "lycheespool/entry/agent_directory.h"
#include "lycheespool/entry/document_api.h"
#include "lycheespool/entry/entry_registry.h"
#include "lycheespool/entry/entry_settings.h"
#include "lycheespool/entry/job_api.h"
#include "lycheespool/entry/scheduler_host.h"
#include "lycheespool/net/http_server.h"
#include "lycheespool/net/rpc_server.h"
#include "lycheespool/request/membership.h"
#include "lycheespool/request/request_path.h"
#include "lycheespool/store/http_table.h"

#include <atomic>

namespace lycheespool {

/*! @brief An entry: HTTP for clients and operators, RPC for agents. */
class EntryProcess {
public:
    /**
     * @brief Creates an entry and binds its addresses.
     * @param pool Threads; the first one runs control work.
     * @param settings Settings.
     * @param metrics Registry for counters.
     */
    EntryProcess(IoPool& pool, EntrySettings settings, Metrics& metrics);

    /*! @brief Starts serving clients and agents. */
    void start();

    /**
     * @brief Stops accepting, finishes the requests in flight, withdraws the registration.
     * @return True when all requests in flight finished.
     */
    [[nodiscard]] Awaitable<bool> drain();

    /**
     * @brief Returns the bound address for clients.
     * @return Address with the actual port.
     */
    [[nodiscard]] Address httpAddress() const { return m_http.address(); }

    /**
     * @brief Returns the bound address for agents.
     * @return Address with the actual port.
     */
    [[nodiscard]] Address rpcAddress() const { return m_rpc.address(); }

private:
    [[nodiscard]] Awaitable<HttpResponse> serve(HttpRequest request);
    [[nodiscard]] Awaitable<HttpResponse> serveWorkspace(HttpRequest request);
    [[nodiscard]] Awaitable<HttpResponse> serveJob(HttpRequest request);
    [[nodiscard]] Awaitable<HttpResponse> status();
    [[nodiscard]] Awaitable<> watchDocument();
    [[nodiscard]] Awaitable<> readDocument();
    void applyDocument();
    [[nodiscard]] EditPolicy editPolicy();
    [[nodiscard]] Freshness freshness() const;
    [[nodiscard]] bool mayRenewLeases() const;
    void receive(const std::shared_ptr<RpcConnection>& connection, Envelope envelope);
    void receiveHello(const std::shared_ptr<RpcConnection>& connection, const Envelope& envelope);
    void receiveHeartbeat(const std::shared_ptr<RpcConnection>& connection, const Envelope& envelope);
    void receiveGoodbye(const std::shared_ptr<RpcConnection>& connection, const Envelope& envelope);
    void removeAgent(const std::shared_ptr<RpcConnection>& connection);

    IoPool& m_pool;
    EntrySettings m_settings;
    Metrics& m_metrics;
    HttpTable m_table;
    Membership m_membership;
    AgentDirectory m_agents;
    RequestPath<HttpTable> m_requests;
    JobApi<HttpTable> m_jobs;
    SchedulerHost<HttpTable> m_scheduler;
    RpcServer m_rpc;
    HttpServer m_http;
    EntryRegistry<HttpTable> m_registry;
    DocumentCache m_document;
    SteadyClock m_clock;
    DocumentWatcher<HttpTable> m_watcher;
    DocumentApi<HttpTable> m_documentApi;
    /*! @brief Revision that request path and scheduler use; accessed only on the control thread. */
    Revision m_appliedRevision;
    std::atomic<bool> m_draining { false };
};

}
