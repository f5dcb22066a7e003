#pragma once

#include "lycheespool/core/metrics.h"
#include "lycheespool/emulator/worker_model.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/http_server.h"

#include <memory>

namespace lycheespool {

/**
 * @brief Emulated worker over HTTP/JSON; a model of the platform's task interface.
 *
 * `PUT /v1/tasks/<job>/<attempt>/<task>` starts, `POST .../checkpoint` and `POST .../throttle` act on a running task,
 * `DELETE` stops and forgets it, `GET /v1/tasks` lists, `GET /v1/executions` counts the starts, `POST /v1/leases`
 * renews, `POST /v1/faults` switches faults.
 */
class WorkerService {
public:
    /**
     * @brief Binds the address.
     * @param pool Threads to use.
     * @param address Address to listen on; port 0 picks a free one.
     * @param capacity Capacity of the worker.
     * @param metrics Registry for the counters.
     * @throws Error of kind invalidSetting when the address cannot be bound.
     */
    WorkerService(IoPool& pool, const Address& address, const Resources& capacity, Metrics& metrics);
    ~WorkerService();
    WorkerService(const WorkerService&) = delete;
    WorkerService& operator=(const WorkerService&) = delete;

    /**
     * @brief Returns the bound address.
     * @return Address with the real port.
     */
    [[nodiscard]] Address address() const;

    /*! @brief Starts to accept connections. */
    void start();

    /**
     * @brief Stops accepting and lets requests in flight finish.
     * @param timeout Longest time to wait for requests in flight.
     * @return True when none was left.
     */
    [[nodiscard]] Awaitable<bool> drain(Duration timeout);

private:
    struct State;
    std::shared_ptr<State> m_state;
    HttpServer m_server;
};

}
