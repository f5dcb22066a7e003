#include "lycheespool/store/circuit_breaker.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

// Guards against a stopped service that is flooded with attempts, and against one that is never tried again.
TEST_CASE("an open breaker lets one probe through per interval")
{
    CircuitBreaker breaker;
    const TimePoint now {};
    for (unsigned i = 0; i < CircuitBreaker::failuresToOpen; ++i) {
        CHECK(breaker.allow(now));
        breaker.fail(now);
    }
    CHECK_FALSE(breaker.allow(now + 999ms));
    CHECK(breaker.allow(now + 1s));
    CHECK_FALSE(breaker.allow(now + 1500ms));
    breaker.succeed();
    CHECK(breaker.allow(now + 1500ms));
}
