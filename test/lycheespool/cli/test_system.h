#pragma once

#include "lycheespool/cli/child_process.h"
#include "lycheespool/net/http_client.h"
#include "lycheespool/net/io_pool.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheespool::test {

/*! @brief A small system of separate processes on its own loopback addresses. */
class TestSystem {
public:
    /*! @brief Starts the table, entries and executors with their agents; returns when all are connected. */
    TestSystem(std::size_t entries, std::size_t executors, const std::string& serviceTimeUs = "1000");

    /*! @brief Sends a request; throws Error when there is no response. */
    HttpResponse send(const Address& address, const std::string& method, const std::string& target,
        const std::string& body = {}, const std::vector<HttpField>& fields = {});

    /*! @brief Checks if a process answers a GET with status 200. */
    bool serves(const Address& address, const std::string& target);

    /*! @brief Waits until a condition holds; fails the test after a timeout that no healthy run reaches. */
    static void waitFor(const std::string& what, const std::function<bool()>& condition);

    /*! @brief Status of an entry. */
    nlohmann::json status(std::size_t entry);

    /*! @brief Executions counted by all emulated executors: total and keys that ran twice. */
    std::pair<std::uint64_t, std::uint64_t> executions();

    /*! @brief Starts a worker and its agent. */
    void startWorker(std::size_t index, const std::string& zone = "zone-a");

    /*! @brief Returns the leader among the first entries, if there is one. */
    std::optional<std::size_t> leaderOf(std::size_t entries);

    /*! @brief Number of running tasks on all workers. */
    std::size_t runningTasks();

    /*! @brief Number of tasks started on all workers since their start. */
    std::uint64_t startedTasks();

    /*! @brief Sets the injected faults of the table service. */
    void setTableFaults(const std::string& json);

    [[nodiscard]] Address entryAddress(std::size_t index) const { return { host(10 + index), 8080 }; }
    [[nodiscard]] Address workerAddress(std::size_t index) const { return { host(60 + index), 8100 }; }
    [[nodiscard]] Address executorAddress(std::size_t index) const { return { host(30 + index), 8100 }; }
    [[nodiscard]] ChildProcess& table() { return *m_table; }
    [[nodiscard]] ChildProcess& worker(std::size_t index) { return *m_workers[index]; }
    [[nodiscard]] ChildProcess& workerAgent(std::size_t index) { return *m_workerAgents[index]; }
    [[nodiscard]] ChildProcess& entry(std::size_t index) { return *m_entries[index]; }
    [[nodiscard]] ChildProcess& agent(std::size_t index) { return *m_agents[index]; }
    [[nodiscard]] ChildProcess& executor(std::size_t index) { return *m_executors[index]; }

    /*! @brief Restarts an entry with its previous addresses. */
    void startEntry(std::size_t index);

    /*! @brief Restarts the agent of an executor. */
    void startAgent(std::size_t index);

private:
    [[nodiscard]] std::string host(std::size_t last) const;
    /*! @brief RPC addresses of all entries, so that an agent can start while one of them is paused. */
    [[nodiscard]] std::string seeds() const;
    void startExecutor(std::size_t index, const std::string& serviceTimeUs);

    unsigned m_net;
    IoPool m_pool { 1 };
    std::unique_ptr<ChildProcess> m_table;
    std::vector<std::unique_ptr<ChildProcess>> m_entries;
    std::vector<std::unique_ptr<ChildProcess>> m_executors;
    std::vector<std::unique_ptr<ChildProcess>> m_agents;
    std::vector<std::unique_ptr<ChildProcess>> m_workers;
    std::vector<std::unique_ptr<ChildProcess>> m_workerAgents;
};

}
