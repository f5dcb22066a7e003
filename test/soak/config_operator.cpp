#include "soak/config_operator.h"

#include "soak/soak_bounds.h"

#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/net/sleep.h"

#include <fmt/format.h>

namespace lycheespool::soak {

namespace {

constexpr std::uint64_t shortestPauseMs = 100;
// Longer than the bound, so that a change that is missed is not covered by the next one.
constexpr std::uint64_t longestPauseMs = 5000;
constexpr Duration probeInterval = 40ms;
constexpr Duration probeTimeout = 3s;

}

ConfigOperator::ConfigOperator(IoPool& pool, Deployment& deployment, InvariantChecker& checker, std::uint64_t seed)
    : m_pool { pool }
    , m_deployment { deployment }
    , m_checker { checker }
    , m_random { seed }
{
    for (const auto& it : deployment.gateways)
        m_gateways.push_back(std::make_unique<HttpClient>(it.clientAddress));
}

std::uint64_t ConfigOperator::between(std::uint64_t low, std::uint64_t high)
{
    return std::uniform_int_distribution<std::uint64_t> { low, high }(m_random);
}

Awaitable<> ConfigOperator::run()
{
    m_configs.onSent(1);
    m_configs.onAcknowledged(1, BootClock {}.now());
    asio::co_spawn(m_pool.context(), probeLoop(), asio::detached);
    while (true) {
        const auto longest = between(0, 1) == 0 ? longestPauseMs : 4 * shortestPauseMs;
        co_await sleepFor(std::chrono::milliseconds { between(shortestPauseMs, longest) });
        const auto version = m_configs.newestSent() + 1;
        m_configs.onSent(version);
        co_await m_deployment.store.writeForOperator("config", configText(version));
        m_configs.onAcknowledged(version, BootClock {}.now());
    }
}

Awaitable<> ConfigOperator::probeLoop()
{
    while (true) {
        co_await sleepFor(probeInterval);
        const auto newest = m_configs.newestSent();
        const auto target = between(newest > probeLifetime + 2 ? newest - probeLifetime - 2 : 1, newest + 1);
        asio::co_spawn(
            m_pool.context(), probe(between(0, m_gateways.size() - 1), target, between(0, 1) == 0), asio::detached);
    }
}

Awaitable<> ConfigOperator::probe(std::size_t gateway, std::uint64_t target, bool isKeyProbe)
{
    const auto& process = m_deployment.gateways[gateway].process;
    ConfigProbe probe { process.name(), process.starts(), target, false, BootClock {}.now(), {} };
    HttpRequest request;
    request.method = "GET";
    request.path = isKeyProbe ? std::string { queuePath } : probePath(target);
    request.fields = { { "Host", queueHost },
        { "Authorization", "Bearer " + (isKeyProbe ? probeKey(target) : std::string { clientKey }) } };
    unsigned status = 0;
    try {
        const auto response = co_await m_gateways[gateway]->send(std::move(request), probeTimeout);
        status = response.status;
    } catch (const Error&) {
        co_return;
    }
    // A call that was sent again over a new connection may have been answered by the next process.
    if (process.starts() != probe.incarnation)
        co_return;
    probe.answered = BootClock {}.now();
    probe.isServed = status == 200;
    if (!probe.isServed && status != 401 && status != 404)
        co_return;
    if (const auto violation = m_configs.onProbe(probe))
        m_checker.fail(*violation);
}

}
