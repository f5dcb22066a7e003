#include "lycheespool/dispatch/retry_timing.h"

#include <doctest/doctest.h>

using namespace lycheespool;

// Guards against a wait for evidence that makes urgent work late.
TEST_CASE("a retry waits for a share of its slack at most")
{
    const RetryLimits limits { 400, 1500 };
    RankInput work;
    work.objectiveMs = 20000;
    work.remainingMs = 6000;
    CHECK(retryTiming(work, limits).delay == std::chrono::milliseconds { 400 });
    CHECK(retryTiming(work, limits).provenWait == std::chrono::milliseconds { 1500 });
    work.ageMs = 13000;
    CHECK(retryTiming(work, limits).delay == std::chrono::milliseconds { 250 });
    CHECK(retryTiming(work, limits).provenWait == std::chrono::milliseconds { 500 });
    work.ageMs = 15000;
    CHECK(retryTiming(work, limits).delay == Duration {});
    CHECK(retryTiming(work, limits).provenWait == Duration {});
}
