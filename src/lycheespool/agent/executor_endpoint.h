#pragma once

#include "lycheespool/agent/endpoint.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/net/http_client.h"
#include "lycheespool/request/execution_ledger.h"

#include <cstdint>
#include <memory>

namespace lycheespool {

/*! @brief Settings of the agent of an executor. */
struct ExecutorEndpointSettings {
    AgentId agent;
    Incarnation incarnation;
    ZoneId zone;
    RackId rack;
    std::uint32_t slots { 8 };
    Address executor;
};

/*! @brief Forwards requests to the slots of the agent's executor; a model of Endpoint. */
class ExecutorEndpoint {
public:
    /**
     * @brief Creates the endpoint.
     * @param settings Settings of the agent.
     * @param metrics Metrics registry.
     */
    ExecutorEndpoint(ExecutorEndpointSettings settings, Metrics& metrics);

    /*! @copydoc Endpoint */
    [[nodiscard]] Hello hello() const;
    [[nodiscard]] Heartbeat heartbeat();
    void handle(const std::shared_ptr<RpcConnection>& connection, Envelope envelope);
    void received(const HeartbeatReply& reply, TimePoint sent);
    [[nodiscard]] Awaitable<bool> drain(Duration timeout);

private:
    [[nodiscard]] Awaitable<> execute(
        std::shared_ptr<RpcConnection> connection, std::uint64_t correlation, Execute request);
    [[nodiscard]] Awaitable<> executeOnce(const Execute& request, ExecuteReply& reply);
    [[nodiscard]] Awaitable<> forward(const Execute& request, ExecuteReply& reply);
    void answerInquiry(RpcConnection& connection, const Envelope& envelope);
    [[nodiscard]] bool mayAccept(const Execute& request) const;
    [[nodiscard]] std::uint32_t slotsFree() const { return m_settings.slots - m_busy; }

    ExecutorEndpointSettings m_settings;
    HttpClient m_executor;
    ExecutionLedger m_ledger;
    std::uint32_t m_busy { 0 };
    std::uint64_t m_sequence { 0 };
    bool m_draining { false };
    Counter& m_accepted;
    Counter& m_refused;
};

static_assert(Endpoint<ExecutorEndpoint>);

}
