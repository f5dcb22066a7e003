#include "lycheespool/gateway/retry_after.h"

#include <doctest/doctest.h>

#include <random>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

/*! @brief Shares of the callers of one kind of work whose work was accepted, and ended in time, over many outages. */
struct CallerResult {
    double inTime { 0 };
    double accepted { 0 };
};

/*! @brief Simulates callers that arrive during outages of 1 to 9 s, make up to four attempts and give up after their
 * limit. */
template <typename Advice>
CallerResult simulate(Duration maxWait, Duration objective, Duration work, Advice advice)
{
    constexpr int callers = 20000;
    constexpr int attempts = 4;
    std::mt19937_64 random { 20261204 };
    std::uniform_real_distribution<double> share { 0, 1 };
    CallerResult result;
    for (int i = 0; i < callers; ++i) {
        const std::chrono::duration<double> outage { 1 + 8 * share(random) };
        const auto arrived = outage * share(random);
        auto now = arrived;
        for (int attempt = 1; attempt < attempts && now < outage; ++attempt) {
            const auto left = std::chrono::duration_cast<Duration>(arrived + maxWait - now);
            const auto next = now + advice(RetryContext { objective, left, true });
            if (next > arrived + maxWait)
                break;
            now = next;
        }
        if (now < outage)
            continue;
        result.accepted += 1.0 / callers;
        if (now - arrived + work <= objective)
            result.inTime += 1.0 / callers;
    }
    return result;
}

constexpr auto chosen = [](const RetryContext& it) { return chooseRetryAfter(it); };
constexpr auto eachSecond = [](const RetryContext&) { return 1s; };
constexpr auto eachThirdSecond = [](const RetryContext&) { return 3s; };

}

// Guards against a retry delay beyond the caller's time limit, after which it makes no further attempt.
TEST_CASE("delay-tolerant work of a caller that waits three seconds is retried within them")
{
    const auto result = simulate(3s, 26s, 9s, chosen);
    CHECK(result.accepted >= simulate(3s, 26s, 1s, eachSecond).accepted);
    CHECK(result.accepted > simulate(3s, 26s, 9s, eachThirdSecond).accepted);
}

// Guards against attempts that are used up long before the caller gives up.
TEST_CASE("delay-tolerant work of a caller that waits long is accepted more often than with attempts one second apart")
{
    const auto result = simulate(20s, 26s, 9s, chosen);
    CHECK(result.accepted > simulate(20s, 26s, 9s, eachSecond).accepted);
    CHECK(result.inTime == doctest::Approx(result.accepted));
}

TEST_CASE("urgent work and a single refused attempt are retried after one second, the shortest delay of the header")
{
    CHECK(simulate(20s, 4s, 2500ms, chosen).inTime >= simulate(20s, 4s, 2500ms, eachThirdSecond).inTime);
    CHECK(chooseRetryAfter({ 4s, 20s, true }) == 1s);
    CHECK(chooseRetryAfter({ 26s, 20s, false }) == 1s);
}
