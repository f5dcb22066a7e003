#include "soak/chaos.h"

#include "soak/soak_bounds.h"

#include "lycheespool/core/boot_clock.h"
#include "lycheespool/net/sleep.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <utility>

namespace lycheespool::soak {

namespace {

constexpr std::int64_t shortestGapMs = 200;
constexpr std::int64_t longestGapMs = 1500;
constexpr std::int64_t shortestFaultMs = 200;
constexpr std::int64_t longestFaultMs = 5000;
constexpr double lostShare = 0.3;
constexpr double failureShare = 0.3;

}

Chaos::Chaos(IoPool& pool, Deployment& deployment, Referee& referee, std::uint64_t seed)
    : m_pool { pool }
    , m_deployment { deployment }
    , m_referee { referee }
    , m_random { seed }
    , m_started { BootClock {}.now() }
{
    addStoreActions();
    addLinkActions();
    addProcessActions();
    addExecutorActions();
    addOperatorActions();
}

std::size_t Chaos::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t> { 0, count - 1 }(m_random);
}

Deployment::Gateway& Chaos::gateway() { return m_deployment.gateways[pick(m_deployment.gateways.size())]; }

Deployment::Node& Chaos::node() { return m_deployment.nodes[pick(m_deployment.nodes.size())]; }

void Chaos::note(const std::string& text)
{
    const std::chrono::duration<double> at = BootClock {}.now() - m_started;
    m_journal.push_back(fmt::format("{:7.3f} s  {}", at.count(), text));
}

void Chaos::later(Duration time, std::function<void()> then)
{
    asio::co_spawn(m_pool.context(), callLater(time, std::move(then)), asio::detached);
}

Awaitable<> Chaos::callLater(Duration time, std::function<void()> then)
{
    co_await sleepFor(time);
    then();
}

void Chaos::addStoreActions()
{
    auto& store = m_deployment.store;
    const auto add = [&](const char* name, auto set) {
        m_actions.push_back({ fmt::format("store {}", name), [this, &store, set](Duration time) {
                                 set(store.faults);
                                 later(time, [&store] { store.faults = {}; });
                             } });
    };
    add("down", [](StoreFaults& it) { it.isDown = true; });
    add("silent", [](StoreFaults& it) { it.isSilent = true; });
    add("slow", [](StoreFaults& it) { it.delay = 300ms; });
    add("loses answers", [](StoreFaults& it) { it.lostAnswers = lostShare; });
    add("writes late", [](StoreFaults& it) { it.lateWrites = lostShare; });
    m_actions.push_back({ "store drops its history", [&store](Duration) { store.compact(); } });
}

void Chaos::disturbLink(FaultProxy& proxy, const std::string& name, Duration time)
{
    constexpr std::array states { LinkState::delayed, LinkState::silent, LinkState::oneWay, LinkState::refusing };
    constexpr std::array words { "delayed", "silent", "one way", "refusing" };
    const auto state = pick(states.size());
    note(fmt::format("  link of {} {}", name, words.at(state)));
    proxy.setState(states.at(state));
    later(time, [&proxy] { proxy.setState(LinkState::open); });
}

void Chaos::addLinkActions()
{
    m_actions.push_back({ "link gateway to store", [this](Duration time) {
                             auto& it = gateway();
                             disturbLink(*it.store, it.member.name(), time);
                         } });
    m_actions.push_back({ "link agent to store", [this](Duration time) {
                             auto& it = node();
                             disturbLink(*it.store, it.member.name(), time);
                         } });
    m_actions.push_back({ "link agent to executor", [this](Duration time) {
                             auto& it = node();
                             disturbLink(*it.link, it.member.name(), time);
                         } });
    m_actions.push_back({ "link clients to gateway", [this](Duration time) {
                             auto& it = gateway();
                             disturbLink(*it.front, it.member.name(), time);
                         } });
    m_actions.push_back({ "reset all connections of a gateway", [this](Duration) {
                             auto& it = gateway();
                             it.front->resetAll();
                             it.store->resetAll();
                         } });
}

void Chaos::addProcessActions()
{
    const auto member = [this]() -> Member& { return pick(2) == 0 ? gateway().member : node().member; };
    const auto send = [this, member](const char* name, int number) {
        m_actions.push_back({ name, [this, member, number](Duration) {
                                 auto& it = member();
                                 note("  " + it.name());
                                 it.signal(number);
                             } });
    };
    send("kill a process", SIGKILL);
    send("stop a process", SIGTERM);
    m_actions.push_back({ "pause a process", [this, member](Duration time) {
                             auto& it = member();
                             note("  " + it.name());
                             it.signal(SIGSTOP);
                             later(time, [&it] { it.signal(SIGCONT); });
                         } });
    m_actions.push_back({ "kill all gateways", [this](Duration) {
                             for (auto& it : m_deployment.gateways)
                                 it.member.signal(SIGKILL);
                         } });
    m_actions.push_back({ "change settings of a gateway", [this](Duration) {
                             auto& it = gateway();
                             m_deployment.rewriteSettings(it.member, it.settings, pick(zoneCount));
                             if (pick(2) == 0)
                                 it.member.signal(SIGHUP);
                         } });
    m_actions.push_back({ "break settings of an agent", [this](Duration time) {
                             auto& it = node();
                             std::ofstream { it.member.settingsPath() } << "{";
                             it.member.signal(SIGHUP);
                             later(std::min<Duration>(time, 1s),
                                 [this, &it] { m_deployment.rewriteSettings(it.member, it.settings, 0); });
                         } });
}

void Chaos::addExecutorActions()
{
    const auto add = [this](const char* name, auto set) {
        m_actions.push_back({ name, [this, set](Duration time) {
                                 auto& it = node();
                                 note("  " + it.member.name());
                                 set(it.executor->faults);
                                 later(time, [&it] { it.executor->faults = {}; });
                             } });
    };
    add("executor carries orders out late", [](ExecutorFaults& it) { it.lateOrders = lostShare; });
    add("executor loses answers", [](ExecutorFaults& it) { it.lostAnswers = lostShare; });
    add("executor fails tasks", [](ExecutorFaults& it) { it.failures = failureShare; });
    add("executor is unhealthy", [](ExecutorFaults& it) { it.isUnhealthy = true; });
    m_actions.push_back({ "executor crashes", [this](Duration time) {
                             auto& it = node();
                             const bool keepsId = pick(2) == 0;
                             note(fmt::format("  {}, {} id", it.member.name(), keepsId ? "same" : "new"));
                             it.executor->crash();
                             later(time, [&it, keepsId] {
                                 if (!it.executor->isUp())
                                     it.executor->start(keepsId);
                             });
                         } });
    m_actions.push_back({ "executor drains", [this](Duration) {
                             auto& it = node();
                             note("  " + it.member.name());
                             it.executor->drain();
                             // Longer than the drain and the patience without an acknowledgement.
                             later(12s, [&it] {
                                 if (!it.executor->isUp())
                                     it.executor->start(false);
                             });
                         } });
}

void Chaos::addOperatorActions()
{
    m_actions.push_back({ "zone out", [this](Duration time) {
                             const auto zone = zoneOf(pick(zoneCount));
                             note("  " + zone);
                             const auto key = "evacuate/" + zone;
                             asio::co_spawn(m_pool.context(),
                                 m_deployment.store.writeForOperator(key, std::string { "{}" }), asio::detached);
                             m_referee.onZoneOut(zone, BootClock {}.now());
                             later(time + evacuationBound, [this, zone, key] {
                                 asio::co_spawn(m_pool.context(),
                                     m_deployment.store.writeForOperator(key, std::nullopt), asio::detached);
                                 m_referee.onZoneBack(zone);
                             });
                         } });
}

Awaitable<> Chaos::run(Duration length)
{
    const auto until = BootClock {}.now() + length;
    std::uniform_int_distribution<std::int64_t> gap { shortestGapMs, longestGapMs };
    std::uniform_int_distribution<std::int64_t> faultTime { shortestFaultMs, longestFaultMs };
    while (BootClock {}.now() < until) {
        co_await sleepFor(std::chrono::milliseconds { gap(m_random) });
        const auto& action = m_actions[pick(m_actions.size())];
        const std::chrono::milliseconds time { faultTime(m_random) };
        note(fmt::format("{}, {} ms", action.name, time.count()));
        action.start(time);
    }
}

}
