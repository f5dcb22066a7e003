#include "lycheespool/nodeagent/lease_clock.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {
constexpr TimePoint start { 100s };
}

TEST_CASE("no lease is requested without a permit or without a sample of the executor's clock")
{
    LeaseClock clock { 10s };
    CHECK_FALSE(clock.leaseEndMs(start));
    clock.recordPermit(start, 7s);
    CHECK_FALSE(clock.leaseEndMs(start));
    clock.recordSample(5000, start);
    CHECK(clock.leaseEndMs(start) == 12000);
}

TEST_CASE("a lease never outlasts the permit, regardless of when the clock was sampled")
{
    LeaseClock clock { 10s };
    clock.recordPermit(start, 7s);
    clock.recordSample(9000, start + 4s);
    CHECK(clock.leaseEndMs(start + 5s) == 12000);
    CHECK_FALSE(clock.leaseEndMs(start + 7s));
}

TEST_CASE("a lease does not exceed the longest one that the executor accepts")
{
    LeaseClock clock { 3s };
    clock.recordPermit(start, 7s);
    clock.recordSample(1000, start);
    CHECK(clock.leaseEndMs(start) == 4000);
}

TEST_CASE("an older permit does not shorten a newer one, and a new lifetime discards the clock sample")
{
    LeaseClock clock { 10s };
    clock.recordPermit(start + 2s, 7s);
    clock.recordPermit(start, 7s);
    CHECK(clock.isPermitted(start + 8s));
    clock.recordSample(1000, start);
    clock.reset();
    CHECK_FALSE(clock.leaseEndMs(start));
}

// Guards against runs that are never declared lost although their executor has failed permanently: its agent keeps
// sending reports.
TEST_CASE("the lease of an unresponsive executor is not extended until it responds again")
{
    LeaseClock clock { 10s };
    clock.recordPermit(start, 7s);
    clock.recordSample(5000, start);
    clock.setResponding(false);
    CHECK_FALSE(clock.isExtending());
    CHECK_FALSE(clock.leaseEndMs(start + 1s));
    clock.setResponding(true);
    CHECK(clock.leaseEndMs(start + 1s) == 12000);
    clock.setResponding(false);
    clock.reset();
    CHECK(clock.isResponding());
    CHECK_FALSE(clock.isExtending());
}

// Guards against runs that are never declared lost because their agent, and not their executor, extends the lease.
TEST_CASE("no lease is extended before the executor of this lifetime has answered and got a permit")
{
    LeaseClock clock { 10s };
    CHECK_FALSE(clock.isExtending());
    clock.recordPermit(start, 7s);
    CHECK_FALSE(clock.isExtending());
    clock.recordSample(5000, start);
    CHECK(clock.isExtending());
    clock.reset();
    CHECK_FALSE(clock.isPermitted(start));
    clock.recordSample(10, start);
    CHECK(clock.isExtending());
    CHECK_FALSE(clock.leaseEndMs(start));
}
