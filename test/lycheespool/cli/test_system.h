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

/*! @brief A small system of separate processes on loopback addresses of its own. */
class TestSystem {
public:
    /*! @brief Starts the table, entries and executors with their agents; returns when all know each other. */
    TestSystem(std::size_t entries, std::size_t executors, const std::string& serviceTimeUs = "1000");

    /*! @brief Sends a request; throws Error when there is no answer. */
    HttpResponse send(const Address& address, const std::string& method, const std::string& target,
        const std::string& body = {}, const std::vector<HttpField>& fields = {});

    /*! @brief Tells whether a process answers a GET with status 200. */
    bool serves(const Address& address, const std::string& target);

    /*! @brief Waits until a condition holds; fails the test after a time that no healthy run needs. */
    static void waitFor(const std::string& what, const std::function<bool()>& condition);

    /*! @brief Status of an entry. */
    nlohmann::json status(std::size_t entry);

    /*! @brief Executions that all emulated executors counted: total and keys that ran twice. */
    std::pair<std::uint64_t, std::uint64_t> executions();

    /*! @brief Starts a worker and its agent. */
    void startWorker(std::size_t index, const std::string& zone = "zone-a");

    /*! @brief Entry that leads among the first ones. */
    std::optional<std::size_t> leaderOf(std::size_t entries);

    /*! @brief Tasks that run on all workers. */
    std::size_t runningTasks();

    /*! @brief Tasks that were started on all workers since the beginning. */
    std::uint64_t startedTasks();

    /*! @brief Switches faults of the table service. */
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

    /*! @brief Starts an entry again under its old addresses. */
    void startEntry(std::size_t index);

    /*! @brief Starts the agent of an executor again. */
    void startAgent(std::size_t index);

private:
    [[nodiscard]] std::string host(std::size_t last) const;
    /*! @brief RPC addresses of all entries, so that an agent starts also while one of them is paused. */
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
