#pragma once

#include "lycheespool/agent/endpoint.h"
#include "lycheespool/agent/worker_settings.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/asio.h"

#include <functional>
#include <memory>

namespace lycheespool {

/*! @brief The worker beside an agent; a model of Endpoint. */
class WorkerEndpoint {
public:
    /*! @brief Makes an extra heartbeat round trip to an entry and passes the reply to received(). */
    using FreshnessRequest = std::function<Awaitable<>()>;

    /**
     * @brief Makes the endpoint; start() must follow.
     * @param executor Executor of the agent's one thread.
     * @param settings Settings of the worker.
     * @param worker Address of the worker.
     * @param metrics Registry for the counters.
     */
    WorkerEndpoint(
        const asio::any_io_executor& executor, const WorkerSettings& settings, const Address& worker, Metrics& metrics);
    ~WorkerEndpoint();
    WorkerEndpoint(const WorkerEndpoint&) = delete;
    WorkerEndpoint& operator=(const WorkerEndpoint&) = delete;

    /*! @brief Adopts the tasks that the worker lists and keeps watching them. */
    void start();

    /*! @brief Stops watching; running tasks go on under their leases. */
    void stop();

    /**
     * @brief Sets the way to get a fresh proof before a start whose proof is too old.
     * @param request Awaited on the agent's thread; the order is refused when no fresh proof arrived by its end.
     */
    void setFreshnessRequest(FreshnessRequest request);

    /*! @brief Describes the worker. */
    [[nodiscard]] Hello hello();
    /*! @brief Reports all tasks of the worker. */
    [[nodiscard]] Heartbeat heartbeat();
    /**
     * @brief Carries out an order and answers it.
     * @param connection Connection on which it came.
     * @param envelope The message; other types than Order are counted and dropped.
     * @throws Error of kind malformedFrame.
     */
    void handle(const std::shared_ptr<RpcConnection>& connection, Envelope envelope);
    /**
     * @brief Takes the answer to a heartbeat and renews the leases.
     * @param reply The answer.
     * @param sent Time at which that heartbeat was sent.
     */
    void received(const HeartbeatReply& reply, TimePoint sent);
    /**
     * @brief Takes no new tasks, waits for the running ones, and checkpoints and stops those left at the timeout.
     * @param timeout Longest time to wait.
     * @return True when no task was left at the timeout.
     */
    [[nodiscard]] Awaitable<bool> drain(Duration timeout);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

static_assert(Endpoint<WorkerEndpoint>);

}
