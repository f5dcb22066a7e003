#include "lycheespool/cli/test_system.h"

#include "lycheespool/core/error.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>
#include <unistd.h>

namespace lycheespool::test {

namespace {

constexpr std::array zones { "zone-a", "zone-b", "zone-c" };
constexpr Duration requestTimeout = std::chrono::seconds { 60 };
constexpr Duration waitLimit = std::chrono::seconds { 120 };

/*! @brief Returns a loopback network for a new system; systems of all test programs use different ones. */
unsigned nextNetwork()
{
    static std::atomic<unsigned> next { 0 };
    return static_cast<unsigned>(::getpid()) * 16U + next.fetch_add(1);
}

}

TestSystem::TestSystem(std::size_t entries, std::size_t executors, const std::string& serviceTimeUs)
    : m_net { nextNetwork() }
{
    m_table = std::make_unique<ChildProcess>(std::vector<std::string> { "table", "--http", host(9) + ":8090" });
    m_entries.resize(entries);
    m_agents.resize(executors);
    for (std::size_t i = 0; i < entries; ++i)
        startEntry(i);
    for (std::size_t i = 0; i < executors; ++i) {
        startExecutor(i, serviceTimeUs);
        startAgent(i);
    }
    // An agent joins even if its executor does not serve yet, and requests are refused until the executor serves.
    for (std::size_t i = 0; i < executors; ++i)
        waitFor("the executor serves", [&] { return serves(executorAddress(i), "/v1/executions"); });
    for (std::size_t i = 0; i < entries; ++i)
        waitFor("all executors joined and the document is fresh", [&] {
            const auto seen = status(i);
            return seen["executors"].size() == executors && seen["document"]["fresh"].get<bool>();
        });
}

std::string TestSystem::host(std::size_t last) const
{
    return fmt::format("127.{}.{}.{}", 1 + m_net / 256 % 250, m_net % 256, last);
}

std::string TestSystem::seeds() const
{
    std::string list;
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        list += (i > 0 ? "," : "") + host(10 + i) + ":8081";
    return list;
}

void TestSystem::startEntry(std::size_t index)
{
    m_entries[index]
        = std::make_unique<ChildProcess>(std::vector<std::string> { "entry", "--id", fmt::format("entry-{}", index + 1),
            "--zone", zones[index % zones.size()], "--http", entryAddress(index).toString(), "--rpc",
            host(10 + index) + ":8081", "--table", host(9) + ":8090", "--threads", "2" });
}

void TestSystem::startExecutor(std::size_t index, const std::string& serviceTimeUs)
{
    m_executors.push_back(std::make_unique<ChildProcess>(std::vector<std::string> {
        "executor", "--http", executorAddress(index).toString(), "--service-time-us", serviceTimeUs }));
}

void TestSystem::startAgent(std::size_t index)
{
    m_agents[index] = std::make_unique<ChildProcess>(std::vector<std::string> { "agent", "--id",
        fmt::format("executor-{}", index + 1), "--zone", zones[index % zones.size()], "--http",
        host(30 + index) + ":8082", "--endpoint", executorAddress(index).toString(), "--entries", seeds() });
}

HttpResponse TestSystem::send(const Address& address, const std::string& method, const std::string& target,
    const std::string& body, const std::vector<HttpField>& fields)
{
    HttpRequest request;
    request.method = method;
    request.path = target;
    request.body = body;
    request.fields = fields;
    HttpClient client { address };
    return asio::co_spawn(m_pool.context(), client.send(std::move(request), requestTimeout), asio::use_future).get();
}

bool TestSystem::serves(const Address& address, const std::string& target)
{
    try {
        return send(address, "GET", target).status == 200;
    } catch (const Error&) {
        return false;
    }
}

void TestSystem::waitFor(const std::string& what, const std::function<bool()>& condition)
{
    const auto deadline = SteadyClock {}.now() + waitLimit;
    const auto holds = [&] {
        try {
            return condition();
        } catch (const Error&) {
            return false;
        }
    };
    while (!holds()) {
        if (SteadyClock {}.now() > deadline)
            FAIL("timed out waiting for: " << what);
        std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
    }
}

nlohmann::json TestSystem::status(std::size_t entry)
{
    return nlohmann::json::parse(send(entryAddress(entry), "GET", "/v1/status").body);
}

std::pair<std::uint64_t, std::uint64_t> TestSystem::executions()
{
    std::uint64_t total = 0;
    std::uint64_t duplicates = 0;
    for (std::size_t i = 0; i < m_executors.size(); ++i) {
        const auto report = nlohmann::json::parse(send(executorAddress(i), "GET", "/v1/executions").body);
        total += report["total"].get<std::uint64_t>();
        duplicates += report["duplicates"].get<std::uint64_t>();
    }
    return { total, duplicates };
}

void TestSystem::startWorker(std::size_t index, const std::string& zone)
{
    const auto address = workerAddress(index).toString();
    m_workers.push_back(std::make_unique<ChildProcess>(std::vector<std::string> { "worker", "--http", address }));
    m_workerAgents.push_back(std::make_unique<ChildProcess>(std::vector<std::string> { "agent", "--kind", "worker",
        "--id", fmt::format("worker-{}", index + 1), "--zone", zone, "--rack", fmt::format("rack-{}", index / 3),
        "--http", host(60 + index) + ":8082", "--endpoint", address, "--entries", seeds() }));
    waitFor("the worker serves", [&] { return serves(workerAddress(index), "/v1/tasks"); });
    // A signal sent before the agent handles signals would end it by the default action.
    waitFor("the agent of the worker serves", [&] { return serves({ host(60 + index), 8082 }, "/healthz"); });
}

std::optional<std::size_t> TestSystem::leaderOf(std::size_t entries)
{
    for (std::size_t i = 0; i < entries; ++i) {
        if (status(i)["leader"].get<bool>())
            return i;
    }
    return std::nullopt;
}

std::size_t TestSystem::runningTasks()
{
    std::size_t running = 0;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        const auto tasks = nlohmann::json::parse(send(workerAddress(i), "GET", "/v1/tasks").body);
        running += static_cast<std::size_t>(
            std::ranges::count_if(tasks, [](const auto& it) { return it.at("state") == "running"; }));
    }
    return running;
}

std::uint64_t TestSystem::startedTasks()
{
    std::uint64_t started = 0;
    for (std::size_t i = 0; i < m_workers.size(); ++i)
        started += nlohmann::json::parse(send(workerAddress(i), "GET", "/v1/executions").body)["total"]
                       .get<std::uint64_t>();
    return started;
}

void TestSystem::setTableFaults(const std::string& json) { (void)send({ host(9), 8090 }, "POST", "/v1/faults", json); }

}
