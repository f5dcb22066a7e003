#include "lycheespool/gateway/retry_advice.h"

#include <doctest/doctest.h>

#include <random>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

constexpr int attempts = 4;

/*! @brief What the callers of one kind of work got over many outages, as shares. */
struct CallerResult {
    double inTime { 0 };
    double accepted { 0 };
};

/*! @brief Plays callers that arrive during outages of 1 to 9 s and come back when they are told to. */
template <typename Advice>
CallerResult play(Duration objective, Duration work, Advice advice)
{
    constexpr int callers = 20000;
    std::mt19937_64 random { 20261204 };
    std::uniform_real_distribution<double> share { 0, 1 };
    CallerResult result;
    for (int i = 0; i < callers; ++i) {
        const std::chrono::duration<double> outage { 1 + 8 * share(random) };
        const auto arrived = outage * share(random);
        auto now = arrived;
        for (int attempt = 0; attempt < attempts && now < outage; ++attempt) {
            if (attempt + 1 == attempts)
                break;
            now += advice(RetrySituation { objective, std::chrono::duration_cast<Duration>(now) });
        }
        if (now < outage)
            continue;
        result.accepted += 1.0 / callers;
        if (now - arrived + work <= objective)
            result.inTime += 1.0 / callers;
    }
    return result;
}

constexpr auto advised = [](const RetrySituation& it) { return adviseRetry(it); };
constexpr auto eachSecond = [](const RetrySituation&) { return 1s; };
constexpr auto eachOtherSecond = [](const RetrySituation&) { return 2s; };

}

// Guards against patient work that has used up its attempts while it could still be in time.
TEST_CASE("patient work is accepted and in time more often than with attempts one or two seconds apart")
{
    const auto result = play(26s, 9s, advised);
    CHECK(result.accepted > play(26s, 9s, eachSecond).accepted);
    CHECK(result.accepted > play(26s, 9s, eachOtherSecond).accepted);
    CHECK(result.inTime == doctest::Approx(result.accepted));
}

TEST_CASE("urgent work is accepted more often than each second, and in time more often than each other second")
{
    const auto result = play(4s, 2500ms, advised);
    CHECK(result.accepted > play(4s, 2500ms, eachSecond).accepted);
    CHECK(result.inTime >= play(4s, 2500ms, eachOtherSecond).inTime);
}

TEST_CASE("a single attempt that was turned away is repeated after a second")
{
    CHECK(adviseRetry({ 26s, {} }) == 1s);
    CHECK(adviseRetry({ 4s, {} }) == 1s);
}
