#include "soak/clients.h"

#include "soak/soak_bounds.h"

#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/net/sleep.h"

#include <charconv>
#include <chrono>
#include <optional>

namespace lycheespool::soak {

namespace {

constexpr Duration callTimeout = 3s;
constexpr std::int64_t shortestPauseMs = 50;
constexpr std::int64_t longestPauseMs = 450;
constexpr Duration pollInterval = 700ms;
constexpr int maxSubmitAttempts = 6;
constexpr int maxCancels = 20;
// One job in this many is cancelled, or submitted again after it was accepted.
constexpr std::int64_t cancelledOneIn = 8;
constexpr std::int64_t repeatedOneIn = 8;

bool isFinal(const std::string& state) { return state == "completed" || state == "failed" || state == "cancelled"; }

Duration retryAfter(const HttpResponse& response)
{
    const auto text = response.field("Retry-After");
    int seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds { seconds };
}

std::string stateIn(const HttpResponse& response)
{
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    return json.is_object() ? json.value("state", std::string {}) : std::string {};
}

}

Clients::Clients(IoPool& pool, Deployment& deployment, InvariantChecker& checker, std::uint64_t seed)
    : m_pool { pool }
    , m_checker { checker }
    , m_random { seed }
{
    for (const auto& it : deployment.gateways)
        m_gateways.push_back(std::make_unique<HttpClient>(it.clientAddress));
}

std::int64_t Clients::between(std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t> { low, high }(m_random);
}

Awaitable<HttpResponse> Clients::call(std::string method, std::string job, std::string body)
{
    ++m_calls;
    HttpRequest request;
    request.method = std::move(method);
    request.path = queuePath + job;
    request.fields = { { "Host", queueHost }, { "Authorization", std::string { "Bearer " } + clientKey },
        { "Content-Type", "application/json" },
        { "X-Request-Deadline",
            std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(callTimeout).count()) } };
    request.body = std::move(body);
    auto& gateway = *m_gateways[static_cast<std::size_t>(between(0, static_cast<std::int64_t>(m_gateways.size()) - 1))];
    auto response = co_await gateway.send(std::move(request), callTimeout);
    if (response.status == 401 || response.status == 404)
        m_checker.onDenied(job, response.status);
    if (response.status < 500)
        ++m_served;
    co_return response;
}

Awaitable<> Clients::run()
{
    while (!m_isStopped) {
        auto job = generateJob(m_random, m_nextJob++);
        asio::co_spawn(m_pool.context(), trackJob(std::move(job)), asio::detached);
        co_await sleepFor(std::chrono::milliseconds { between(shortestPauseMs, longestPauseMs) });
    }
}

Awaitable<SubmitOutcome> Clients::submitOnce(SoakJob job, Duration& pause)
{
    pause = std::chrono::milliseconds { shortestPauseMs };
    m_checker.onSubmit(job);
    auto outcome = SubmitOutcome::unknown;
    try {
        const auto response = co_await call("POST", job.id, job.body());
        if (response.status == 200)
            outcome = SubmitOutcome::accepted;
        else if (response.status == 429 || response.status == 503)
            outcome = SubmitOutcome::rejected;
        pause = std::max(pause, retryAfter(response));
    } catch (const Error& error) {
        // Without a connection, the gateway has not read the request.
        if (error.kind() == ErrorKind::unavailable)
            outcome = SubmitOutcome::rejected;
    }
    m_checker.onSubmitResult(job.id, outcome, BootClock {}.now());
    co_return outcome;
}

Awaitable<bool> Clients::submit(SoakJob job)
{
    for (int i = 0; i < maxSubmitAttempts; ++i) {
        Duration pause {};
        const auto outcome = co_await submitOnce(job, pause);
        if (outcome == SubmitOutcome::accepted)
            co_return true;
        co_await sleepFor(pause);
    }
    co_return false;
}

Awaitable<> Clients::cancel(std::string job)
{
    m_checker.onCancelSent(job);
    for (int i = 0; i < maxCancels; ++i) {
        try {
            const auto response = co_await call("DELETE", job, {});
            if (response.status == 200 || response.status == 410) {
                m_checker.onCancelAcknowledged(job, BootClock {}.now());
                co_return;
            }
        } catch (const Error&) {
            // The next attempt selects a gateway at random again.
        }
        co_await sleepFor(pollInterval);
    }
}

Awaitable<> Clients::pollState(std::string job)
{
    const auto sent = BootClock {}.now();
    std::optional<HttpResponse> response;
    try {
        response = co_await call("GET", job, {});
    } catch (const Error&) {
        co_return;
    }
    if (response->status == 410)
        m_checker.onNotFound(job, sent);
    else if (response->status == 200)
        m_checker.onStateReported(job, stateIn(*response));
}

Awaitable<> Clients::trackJob(SoakJob job)
{
    const auto id = job.id;
    const bool isCancelled = between(1, cancelledOneIn) == 1;
    const bool isRepeated = between(1, repeatedOneIn) == 1;
    const bool isAccepted = co_await submit(job);
    if (!isAccepted)
        co_return;
    if (isCancelled) {
        co_await sleepFor(std::chrono::milliseconds { between(0, 2500) });
        co_await cancel(id);
    }
    if (isRepeated) {
        co_await sleepFor(pollInterval);
        Duration pause {};
        (void)co_await submitOnce(job, pause);
    }
    while (!isFinal(m_checker.stateOf(id))) {
        co_await sleepFor(pollInterval);
        co_await pollState(id);
    }
}

}
