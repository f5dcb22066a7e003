#pragma once

#include "lycheespool/emulator/worker_api.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/http_client.h"

#include <chrono>
#include <string>

namespace lycheespool {

/*! @brief Client of a worker's task interface over HTTP; a model of WorkerApi. */
class WorkerClient {
public:
    /**
     * @brief Longest time for one operation.
     *
     * A start may take effect this long after its freshness proof was checked, so it stays within the 1 s that the
     * design allows for an effect already under way.
     */
    static constexpr Duration timeout = std::chrono::seconds { 1 };

    /**
     * @brief Constructs a client; connects on first use.
     * @param address Address of the worker.
     */
    explicit WorkerClient(const Address& address)
        : m_client { address }
    {
    }

    /*! @copydoc WorkerModel::start */
    [[nodiscard]] Awaitable<> start(TaskStart start);
    /*! @copydoc WorkerModel::renew */
    [[nodiscard]] Awaitable<> renew(Duration lease);
    /*! @copydoc WorkerModel::checkpoint */
    [[nodiscard]] Awaitable<Duration> checkpoint(TaskKey key);
    /*! @copydoc WorkerModel::throttle */
    [[nodiscard]] Awaitable<> throttle(TaskKey key, std::uint32_t speedPercent);
    /*! @copydoc WorkerModel::stop */
    [[nodiscard]] Awaitable<> stop(TaskKey key);
    /*! @copydoc WorkerModel::list */
    [[nodiscard]] Awaitable<TaskStatuses> list();

private:
    [[nodiscard]] Awaitable<std::string> send(HttpRequest request);

    HttpClient m_client;
};

static_assert(WorkerApi<WorkerClient>);

}
