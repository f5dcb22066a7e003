#include "lycheespool/gateway/retry_advice.h"

#include <doctest/doctest.h>

#include <random>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

/*! @brief What the callers of one kind of work got over many outages, as shares. */
struct CallerResult {
    double inTime { 0 };
    double accepted { 0 };
};

/*! @brief Plays callers that arrive during outages of 1 to 9 s, make four attempts, and wait as long as they say. */
template <typename Advice>
CallerResult play(Duration patience, Duration objective, Duration work, Advice advice)
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
            const auto left = std::chrono::duration_cast<Duration>(arrived + patience - now);
            const auto next = now + advice(RetrySituation { objective, left, true });
            if (next > arrived + patience)
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

constexpr auto advised = [](const RetrySituation& it) { return adviseRetry(it); };
constexpr auto eachSecond = [](const RetrySituation&) { return 1s; };
constexpr auto eachThirdSecond = [](const RetrySituation&) { return 3s; };

}

// Guards against a time to come back that lies beyond the caller's patience, after which it makes no further attempt.
TEST_CASE("patient work of a caller that waits three seconds comes back within them")
{
    const auto result = play(3s, 26s, 9s, advised);
    CHECK(result.accepted >= play(3s, 26s, 1s, eachSecond).accepted);
    CHECK(result.accepted > play(3s, 26s, 9s, eachThirdSecond).accepted);
}

// Guards against attempts that are used up long before the caller gives up.
TEST_CASE("patient work of a caller that waits long is accepted more often than with attempts a second apart")
{
    const auto result = play(20s, 26s, 9s, advised);
    CHECK(result.accepted > play(20s, 26s, 9s, eachSecond).accepted);
    CHECK(result.inTime == doctest::Approx(result.accepted));
}

TEST_CASE("urgent work comes back as soon as the header can say, and so does a single attempt that was turned away")
{
    CHECK(play(20s, 4s, 2500ms, advised).inTime >= play(20s, 4s, 2500ms, eachThirdSecond).inTime);
    CHECK(adviseRetry({ 4s, 20s, true }) == 1s);
    CHECK(adviseRetry({ 26s, 20s, false }) == 1s);
}
