#include "soak/deployment.h"

#include "soak/config_checker.h"
#include "soak/emulator_faults.h"
#include "soak/soak_bounds.h"

#include "lycheespool/core/boot_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <unistd.h>

namespace lycheespool::soak {

namespace {

constexpr std::uint16_t frontPort = 8521;
constexpr std::uint16_t readyPort = 8523;
constexpr std::uint16_t controlPort = 8526;
constexpr std::uint16_t messagePort = 7000;
constexpr std::uint16_t storePort = 8090;
constexpr std::uint16_t agentStorePort = 8091;
constexpr std::uint16_t executorPort = 8080;
// Ports of the proxies; a proxy listens on the address of its gateway or node.
constexpr std::uint16_t proxyPort = 9000;
constexpr std::uint16_t storeProxyPort = 9001;
constexpr std::uint16_t messageProxyPort = 9002;
constexpr std::size_t storeHost = 9;
constexpr std::size_t firstGatewayHost = 10;
constexpr std::size_t firstNodeHost = 40;
constexpr std::size_t racks = 2;
const ResourceVector executorCapacity { 16000, 32768, 8 };
// A process that starts has read its settings after this time.
constexpr Duration longestStart = 1s;
// Exit code of a process whose settings are not valid.
constexpr int invalidSettingsCode = 2;

nlohmann::json routeOf(const std::string& name, const std::string& path)
{
    return { { "name", name }, { "host", queueHost }, { "pathPrefix", path }, { "service", "service-a" },
        { "priority", 0 }, { "maxAttempts", maxAttempts }, { "stretch", 1.5 }, { "targetLatencyMs", 1000 } };
}

}

std::string probePath(std::uint64_t version) { return fmt::format("/added-{}/", version); }

std::string probeKey(std::uint64_t version) { return fmt::format("key-{}", version); }

std::string configText(std::uint64_t version)
{
    auto routes = nlohmann::json::array({ routeOf("queue-a", queuePath) });
    auto keys = nlohmann::json::array({ clientKey });
    for (auto added = version < probeLifetime ? 1 : version - probeLifetime + 1; added <= version; ++added) {
        routes.push_back(routeOf(fmt::format("added-{}", added), probePath(added)));
        keys.push_back(probeKey(added));
    }
    return nlohmann::json {
        { "version", version },
        { "routes", std::move(routes) },
        { "services", { { { "name", "service-a" }, { "enforcesCapacity", false } } } },
        { "tenants",
            { { { "name", "tenant-a" }, { "apiKeys", std::move(keys) }, { "guaranteed", { { "gpu", 4 } } } } } },
    }
        .dump();
}

std::string zoneOf(std::size_t index) { return fmt::format("zone-{}", index % zoneCount); }

SupervisedProcess::SupervisedProcess(std::string name, std::string role, std::filesystem::path directory)
    : m_name { std::move(name) }
    , m_role { std::move(role) }
    , m_directory { std::move(directory) }
{
}

void SupervisedProcess::start()
{
    m_process = std::make_unique<test::ChildProcess>(std::vector<std::string> { m_role },
        test::ChildOptions { { "LYCHEESPOOL_SETTINGS=" + settingsPath().string() }, m_directory / (m_name + ".log") });
    ++m_starts;
    m_isEndExpected = false;
    m_wasPaused = false;
    m_killAt = TimePoint::max();
    m_startedAt = BootClock {}.now();
    m_mayRefuseSettings = m_hasBrokenSettings;
}

void SupervisedProcess::writeSettings(const std::string& text)
{
    m_hasBrokenSettings = false;
    std::ofstream { settingsPath() } << text;
}

void SupervisedProcess::breakSettings()
{
    writeSettings("{");
    m_hasBrokenSettings = true;
    m_mayRefuseSettings = m_mayRefuseSettings || BootClock {}.now() < m_startedAt + longestStart;
}

void SupervisedProcess::signal(int number)
{
    if (number == SIGKILL || number == SIGTERM)
        m_isEndExpected = true;
    if (number == SIGSTOP)
        m_wasPaused = true;
    if (number == SIGTERM)
        m_killAt = std::min(m_killAt, BootClock {}.now() + stopGrace);
    if (m_process)
        m_process->signal(number);
}

void SupervisedProcess::restartIfExited(InvariantChecker& checker)
{
    // The last attempt to start the process failed.
    if (!m_process)
        return start();
    if (BootClock {}.now() > m_killAt) {
        if (!m_wasPaused)
            checker.fail(fmt::format("{} did not exit after SIGTERM", m_name));
        m_process->signal(SIGKILL);
        m_killAt = TimePoint::max();
    }
    const auto code = m_process->poll();
    if (!code)
        return;
    const bool refusedSettings = m_mayRefuseSettings && *code == invalidSettingsCode;
    if (!m_isEndExpected && !refusedSettings)
        checker.fail(fmt::format("{} exited unexpectedly with {}", m_name, *code));
    m_process.reset();
    start();
}

void SupervisedProcess::stop()
{
    // The destructor ends the process and waits for it.
    m_process.reset();
}

Deployment::Deployment(IoPool& pool, const DeploymentSettings& settings, InvariantChecker& checker)
    : store { pool, addressOf(storeHost, storePort), addressOf(storeHost, agentStorePort), settings.seed }
    , m_pool { pool }
    , m_settings { settings }
    , m_checker { checker }
{
    for (std::size_t i = 0; i < settings.gateways; ++i)
        addGateway(i);
    for (std::size_t i = 0; i < settings.executors; ++i)
        addNode(i);
}

Address Deployment::addressOf(std::size_t host, std::uint16_t port)
{
    // Concurrent soak runs use separate loopback networks.
    const auto net = static_cast<unsigned>(::getpid());
    return { fmt::format("127.{}.{}.{}", 1 + net / 256 % 250, net % 256, host), port };
}

nlohmann::json Deployment::commonSettings(
    const std::string& name, const std::string& zone, const std::string& ip, const Address& storeAddress) const
{
    return { { "node", name }, { "zone", zone }, { "ip", ip }, { "internalPorts", { messagePort, messagePort + 15 } },
        { "platform", { { "addr", storeAddress.toString() } } }, { "service", "service-a" },
        { "bounds",
            { { "maxHoldMs", toMs(maxLease) }, { "stopTimeoutMs", toMs(stopTime) },
                { "gangTimeoutMs", toMs(gangAssembly) }, { "restoreMs", toMs(restoreTime) },
                { "checkpointS", toMs(checkpointInterval) / 1000 }, { "configApplyMs", toMs(configApplyBound) },
                { "cancel_ms", toMs(cancelBound) }, { "graceS", toMs(stopGrace) / 1000 },
                { "status_s", toMs(statusRetention) / 1000 }, { "remoteFactor", 3 } } } };
}

void Deployment::addGateway(std::size_t index)
{
    const auto host = firstGatewayHost + index;
    const auto name = fmt::format("gateway-{}", index);
    const auto front = addressOf(host, frontPort);
    Gateway gateway { { name, "gateway", m_settings.directory }, nullptr, nullptr, nullptr, addressOf(host, proxyPort),
        {} };
    gateway.front = std::make_unique<FaultProxy>(m_pool.context(), gateway.clientAddress, front);
    gateway.store = std::make_unique<FaultProxy>(
        m_pool.context(), addressOf(host, storeProxyPort), addressOf(storeHost, storePort));
    gateway.messages = std::make_unique<FaultProxy>(
        m_pool.context(), addressOf(host, messageProxyPort), addressOf(host, messagePort));
    store.setLeaderProxy(addressOf(host, messagePort), addressOf(host, messageProxyPort));
    gateway.settings = commonSettings(name, zoneOf(index), front.host, addressOf(host, storeProxyPort));
    gateway.settings["listen"] = { { "front", front.toString() }, { "ready", addressOf(host, readyPort).toString() },
        { "control", addressOf(host, controlPort).toString() } };
    gateways.push_back(std::move(gateway));
}

void Deployment::addNode(std::size_t index)
{
    const auto host = firstNodeHost + index;
    const auto name = fmt::format("node-{}", index);
    const auto control = addressOf(host, controlPort);
    Node node { { name, "node-agent", m_settings.directory }, nullptr, nullptr, nullptr, zoneOf(index), {} };
    const auto executorAddress = addressOf(host, executorPort);
    node.executor = std::make_unique<ExecutorEmulator>(m_pool,
        ExecutorLocation { name, node.zone, fmt::format("r{}-{}", index % zoneCount, index / zoneCount % racks),
            executorAddress, control, executorCapacity },
        m_checker, m_gangs, m_settings.seed * 1000 + index);
    node.link = std::make_unique<FaultProxy>(m_pool.context(), addressOf(host, proxyPort), executorAddress);
    node.store = std::make_unique<FaultProxy>(
        m_pool.context(), addressOf(host, storeProxyPort), addressOf(storeHost, agentStorePort));
    node.settings = commonSettings(name, node.zone, control.host, addressOf(host, storeProxyPort));
    node.settings["listen"] = { { "control", control.toString() } };
    node.settings["app"] = addressOf(host, proxyPort).toString();
    nodes.push_back(std::move(node));
}

void Deployment::rewriteSettings(SupervisedProcess& process, nlohmann::json settings, std::size_t firstSeed) const
{
    nlohmann::json seeds = nlohmann::json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(gateways.size(), 3); ++i)
        seeds.push_back(addressOf(firstGatewayHost + (firstSeed + i) % gateways.size(), controlPort).toString());
    settings["seeds"] = std::move(seeds);
    process.writeSettings(settings.dump());
}

Awaitable<> Deployment::start()
{
    co_await store.writeForOperator("config", configText(1));
    for (auto& it : gateways) {
        rewriteSettings(it.process, it.settings, 0);
        it.process.start();
    }
    for (auto& it : nodes) {
        rewriteSettings(it.process, it.settings, 0);
        it.process.start();
        it.executor->start(false);
    }
}

void Deployment::clearFaults()
{
    store.faults = {};
    for (auto& it : gateways) {
        it.front->setState(LinkState::open);
        it.messages->setState(LinkState::open);
        it.store->setState(LinkState::open);
        it.process.signal(SIGCONT);
    }
    for (auto& it : nodes) {
        it.link->setState(LinkState::open);
        it.store->setState(LinkState::open);
        it.process.signal(SIGCONT);
        it.executor->faults = {};
        if (!it.executor->isUp())
            it.executor->start(false);
    }
}

void Deployment::restartIfExited()
{
    for (auto& it : gateways)
        it.process.restartIfExited(m_checker);
    for (auto& it : nodes)
        it.process.restartIfExited(m_checker);
}

void Deployment::stop()
{
    for (auto& it : gateways)
        it.process.stop();
    for (auto& it : nodes)
        it.process.stop();
}

}
