#pragma once

#include "lycheespool/agent/endpoint.h"
#include "lycheespool/agent/worker_settings.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/asio.h"

#include <functional>
#include <memory>

namespace lycheespool {

/*! @brief Endpoint of an agent whose service is a worker; a model of Endpoint. */
class WorkerEndpoint {
public:
    /*! @brief Exchanges an additional heartbeat with an entry and passes the reply to received(). */
    using FreshnessRequest = std::function<Awaitable<>()>;

    /**
     * @brief Creates the endpoint; start() must be called next.
     * @param executor Asio executor of the agent's only thread.
     * @param settings Settings of the worker.
     * @param worker Address of the worker.
     * @param metrics Metrics registry.
     */
    WorkerEndpoint(
        const asio::any_io_executor& executor, const WorkerSettings& settings, const Address& worker, Metrics& metrics);
    ~WorkerEndpoint();
    WorkerEndpoint(const WorkerEndpoint&) = delete;
    WorkerEndpoint& operator=(const WorkerEndpoint&) = delete;

    /*! @brief Adopts the tasks that the worker lists and monitors them. */
    void start();

    /*! @brief Stops monitoring; running tasks continue until their leases expire. */
    void stop();

    /**
     * @brief Sets the function that requests a fresh proof before a start if the present one does not suffice.
     * @param request Awaited on the agent's thread; the order is refused if no fresh proof has arrived when it
     * completes.
     */
    void setFreshnessRequest(FreshnessRequest request);

    /*! @brief Describes the worker. */
    [[nodiscard]] Hello hello();
    /*! @brief Reports all tasks of the worker. */
    [[nodiscard]] Heartbeat heartbeat();
    /**
     * @brief Executes an order and sends the reply.
     * @param connection Connection on which it was received.
     * @param envelope The message; types other than Order are counted and dropped.
     * @throws Error of kind malformedFrame.
     */
    void handle(const std::shared_ptr<RpcConnection>& connection, Envelope envelope);
    /**
     * @brief Processes the reply to a heartbeat and renews the leases.
     * @param reply The reply.
     * @param sent Time at which that heartbeat was sent.
     */
    void received(const HeartbeatReply& reply, TimePoint sent);
    /**
     * @brief Refuses new tasks, waits for the running ones, and checkpoints and stops those that remain at the timeout.
     * @param timeout Maximum time to wait.
     * @return True if no task remained at the timeout.
     */
    [[nodiscard]] Awaitable<bool> drain(Duration timeout);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

static_assert(Endpoint<WorkerEndpoint>);

}
