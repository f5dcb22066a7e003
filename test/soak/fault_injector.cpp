#include "soak/fault_injector.h"

#include "soak/soak_bounds.h"

#include "lycheespool/core/boot_clock.h"
#include "lycheespool/net/sleep.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <csignal>
#include <utility>

namespace lycheespool::soak {

namespace {

constexpr std::int64_t shortestGapMs = 200;
constexpr std::int64_t longestGapMs = 1500;
constexpr std::int64_t shortestFaultMs = 200;
constexpr std::int64_t longestFaultMs = 5000;
constexpr double affectedShare = 0.3;
constexpr double failureShare = 0.3;

}

FaultInjector::FaultInjector(IoPool& pool, Deployment& deployment, InvariantChecker& checker, std::uint64_t seed)
    : m_pool { pool }
    , m_deployment { deployment }
    , m_checker { checker }
    , m_random { seed }
    , m_started { BootClock {}.now() }
{
    addStoreActions();
    addLinkActions();
    addProcessActions();
    addExecutorActions();
    addOperatorActions();
}

std::size_t FaultInjector::randomIndex(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t> { 0, count - 1 }(m_random);
}

Deployment::Gateway& FaultInjector::randomGateway()
{
    return m_deployment.gateways[randomIndex(m_deployment.gateways.size())];
}

Deployment::Node& FaultInjector::randomNode() { return m_deployment.nodes[randomIndex(m_deployment.nodes.size())]; }

void FaultInjector::note(const std::string& text)
{
    const std::chrono::duration<double> at = BootClock {}.now() - m_started;
    m_journal.push_back(fmt::format("{:7.3f} s  {}", at.count(), text));
}

void FaultInjector::schedule(Duration time, std::function<void()> then)
{
    asio::co_spawn(m_pool.context(), callAfter(time, std::move(then)), asio::detached);
}

Awaitable<> FaultInjector::callAfter(Duration time, std::function<void()> then)
{
    co_await sleepFor(time);
    then();
}

void FaultInjector::addStoreActions()
{
    auto& store = m_deployment.store;
    const auto add = [&](const char* name, auto set) {
        m_actions.push_back({ fmt::format("store {}", name), [this, &store, set](Duration time) {
                                 set(store.faults);
                                 schedule(time, [&store] { store.faults = {}; });
                             } });
    };
    add("down", [](StoreFaults& it) { it.isDown = true; });
    add("silent", [](StoreFaults& it) { it.isSilent = true; });
    add("slow", [](StoreFaults& it) { it.delay = 300ms; });
    add("loses responses", [](StoreFaults& it) { it.lostResponses = affectedShare; });
    add("commits late", [](StoreFaults& it) { it.lateWrites = affectedShare; });
    m_actions.push_back({ "store drops its history", [&store](Duration) { store.compact(); } });
}

void FaultInjector::injectLinkFault(FaultProxy& proxy, const std::string& name, Duration time)
{
    constexpr std::array states { LinkState::delayed, LinkState::silent, LinkState::oneWay, LinkState::stalled,
        LinkState::refusing };
    constexpr std::array words { "delayed", "silent", "one way", "stalled", "refusing" };
    const auto state = randomIndex(states.size());
    note(fmt::format("  link of {} {}", name, words.at(state)));
    proxy.setState(states.at(state));
    schedule(time, [&proxy] { proxy.setState(LinkState::open); });
}

void FaultInjector::addLinkActions()
{
    m_actions.push_back({ "link gateway to store", [this](Duration time) {
                             auto& it = randomGateway();
                             injectLinkFault(*it.store, it.process.name(), time);
                         } });
    m_actions.push_back({ "link agent to store", [this](Duration time) {
                             auto& it = randomNode();
                             injectLinkFault(*it.store, it.process.name(), time);
                         } });
    m_actions.push_back({ "link agent to executor", [this](Duration time) {
                             auto& it = randomNode();
                             injectLinkFault(*it.link, it.process.name(), time);
                         } });
    m_actions.push_back({ "link agents to gateway", [this](Duration time) {
                             auto& it = randomGateway();
                             injectLinkFault(*it.messages, it.process.name(), time);
                         } });
    m_actions.push_back({ "link clients to gateway", [this](Duration time) {
                             auto& it = randomGateway();
                             injectLinkFault(*it.front, it.process.name(), time);
                         } });
    m_actions.push_back({ "reset all connections of a gateway", [this](Duration) {
                             auto& it = randomGateway();
                             it.front->resetAll();
                             it.messages->resetAll();
                             it.store->resetAll();
                         } });
}

void FaultInjector::addProcessActions()
{
    const auto randomProcess = [this]() -> SupervisedProcess& {
        return randomIndex(2) == 0 ? randomGateway().process : randomNode().process;
    };
    const auto send = [this, randomProcess](const char* name, int number) {
        m_actions.push_back({ name, [this, randomProcess, number](Duration) {
                                 auto& it = randomProcess();
                                 note("  " + it.name());
                                 it.signal(number);
                             } });
    };
    send("kill a process", SIGKILL);
    send("stop a process", SIGTERM);
    m_actions.push_back({ "pause a process", [this, randomProcess](Duration time) {
                             auto& it = randomProcess();
                             note("  " + it.name());
                             it.signal(SIGSTOP);
                             schedule(time, [&it] { it.signal(SIGCONT); });
                         } });
    m_actions.push_back({ "kill all gateways", [this](Duration) {
                             for (auto& it : m_deployment.gateways)
                                 it.process.signal(SIGKILL);
                         } });
    m_actions.push_back({ "change settings of a gateway", [this](Duration) {
                             auto& it = randomGateway();
                             m_deployment.rewriteSettings(it.process, it.settings, randomIndex(zoneCount));
                             if (randomIndex(2) == 0)
                                 it.process.signal(SIGHUP);
                         } });
    m_actions.push_back({ "break settings of an agent", [this](Duration time) {
                             auto& it = randomNode();
                             it.process.breakSettings();
                             it.process.signal(SIGHUP);
                             schedule(std::min<Duration>(time, 1s),
                                 [this, &it] { m_deployment.rewriteSettings(it.process, it.settings, 0); });
                         } });
}

void FaultInjector::addExecutorActions()
{
    const auto add = [this](const char* name, auto set) {
        m_actions.push_back({ name, [this, set](Duration time) {
                                 auto& it = randomNode();
                                 note("  " + it.process.name());
                                 set(it.executor->faults);
                                 schedule(time, [&it] { it.executor->faults = {}; });
                             } });
    };
    add("executor executes commands late", [](ExecutorFaults& it) { it.lateCommands = affectedShare; });
    add("executor loses responses", [](ExecutorFaults& it) { it.lostResponses = affectedShare; });
    add("executor fails tasks", [](ExecutorFaults& it) { it.failures = failureShare; });
    add("executor is unhealthy", [](ExecutorFaults& it) { it.isUnhealthy = true; });
    m_actions.push_back({ "executor crashes", [this](Duration time) {
                             auto& it = randomNode();
                             const bool keepsId = randomIndex(2) == 0;
                             const bool isClockSetBack = randomIndex(4) == 0;
                             note(fmt::format("  {}, {} id{}", it.process.name(), keepsId ? "same" : "new",
                                 isClockSetBack ? ", clock set back" : ""));
                             it.executor->crash();
                             schedule(time, [&it, keepsId, isClockSetBack] {
                                 if (!it.executor->isUp())
                                     it.executor->start(keepsId, isClockSetBack);
                             });
                         } });
    m_actions.push_back({ "agent restarts and first gets another announcement", [this](Duration) {
                             auto& it = randomNode();
                             const auto kind = static_cast<OtherLifetime>(randomIndex(4));
                             note(fmt::format("  {}, kind {}", it.process.name(), static_cast<int>(kind)));
                             it.process.signal(SIGKILL);
                             asio::co_spawn(m_pool.context(), it.executor->announceOther(kind), asio::detached);
                         } });
    m_actions.push_back({ "departure of a former lifetime arrives late", [this](Duration) {
                             auto& it = randomNode();
                             note("  " + it.process.name());
                             asio::co_spawn(m_pool.context(), it.executor->departLate(), asio::detached);
                         } });
    m_actions.push_back({ "executor drains", [this](Duration) {
                             auto& it = randomNode();
                             note("  " + it.process.name());
                             it.executor->drain();
                             // Longer than the drain plus the time-out for its acknowledgement.
                             schedule(12s, [&it] {
                                 if (!it.executor->isUp())
                                     it.executor->start(false);
                             });
                         } });
}

void FaultInjector::addOperatorActions()
{
    m_actions.push_back({ "evacuate a zone", [this](Duration time) {
                             const auto zone = zoneOf(randomIndex(zoneCount));
                             note("  " + zone);
                             const auto key = "evacuate/" + zone;
                             asio::co_spawn(m_pool.context(),
                                 m_deployment.store.writeForOperator(key, std::string { "{}" }), asio::detached);
                             m_checker.onZoneEvacuated(zone, BootClock {}.now());
                             schedule(time + evacuationBound, [this, zone, key] {
                                 asio::co_spawn(m_pool.context(),
                                     m_deployment.store.writeForOperator(key, std::nullopt), asio::detached);
                                 m_checker.onZoneRestored(zone);
                             });
                         } });
}

Awaitable<> FaultInjector::run(Duration length)
{
    const auto until = BootClock {}.now() + length;
    std::uniform_int_distribution<std::int64_t> gap { shortestGapMs, longestGapMs };
    std::uniform_int_distribution<std::int64_t> faultTime { shortestFaultMs, longestFaultMs };
    while (BootClock {}.now() < until) {
        co_await sleepFor(std::chrono::milliseconds { gap(m_random) });
        const auto& action = m_actions[randomIndex(m_actions.size())];
        const std::chrono::milliseconds time { faultTime(m_random) };
        note(fmt::format("{}, {} ms", action.name, time.count()));
        action.start(time);
    }
}

}
