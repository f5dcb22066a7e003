#pragma once

#include "lycheespool/agent/agent_process.h"
#include "lycheespool/agent/executor_endpoint.h"
#include "lycheespool/agent/worker_endpoint.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/emulator/executor_service.h"
#include "lycheespool/emulator/table_service.h"
#include "lycheespool/emulator/worker_service.h"
#include "lycheespool/entry/entry_process.h"

#include <memory>
#include <vector>

namespace lycheespool {

/*! @brief A small complete system in one process: table service, one entry, executors in three zones and workers in
 * one, with agents. */
class DevSystem {
public:
    /**
     * @brief Creates the system; all addresses but the HTTP address are free loopback ports.
     * @param pool Threads to use.
     * @param http Address for clients and operators.
     * @param executors Number of executors.
     * @param workers Number of workers.
     */
    DevSystem(IoPool& pool, const Address& http, std::size_t executors, std::size_t workers);

    ~DevSystem();
    DevSystem(const DevSystem&) = delete;
    DevSystem& operator=(const DevSystem&) = delete;

    /*! @brief Starts all services and agents. */
    void start();

    /**
     * @brief Drains and stops all parts in the order of a planned stop.
     * @return True if all work in flight was finished.
     */
    [[nodiscard]] Awaitable<bool> drain();

private:
    struct ExecutorUnit;
    struct WorkerUnit;

    Metrics m_metrics;
    TableService m_table;
    std::unique_ptr<EntryProcess> m_entry;
    std::vector<std::unique_ptr<ExecutorUnit>> m_executors;
    std::vector<std::unique_ptr<WorkerUnit>> m_workers;
};

}
