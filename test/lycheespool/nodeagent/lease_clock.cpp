#include "lycheespool/nodeagent/lease_clock.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {
constexpr TimePoint start { 100s };
}

TEST_CASE("no lease is asked for without a permit or without knowing the executor's clock")
{
    LeaseClock clock { 10s };
    CHECK_FALSE(clock.leaseEndMs(start));
    clock.permit(start, 7s);
    CHECK_FALSE(clock.leaseEndMs(start));
    clock.sample(5000, start);
    CHECK(clock.leaseEndMs(start) == 12000);
}

TEST_CASE("a lease never reaches beyond the permit, however late the sample is")
{
    LeaseClock clock { 10s };
    clock.permit(start, 7s);
    clock.sample(9000, start + 4s);
    CHECK(clock.leaseEndMs(start + 5s) == 12000);
    CHECK_FALSE(clock.leaseEndMs(start + 7s));
}

TEST_CASE("a lease is no longer than the executor accepts")
{
    LeaseClock clock { 3s };
    clock.permit(start, 7s);
    clock.sample(1000, start);
    CHECK(clock.leaseEndMs(start) == 4000);
}

TEST_CASE("an older permit does not shorten a newer one, and a new lifetime has its own clock")
{
    LeaseClock clock { 10s };
    clock.permit(start + 2s, 7s);
    clock.permit(start, 7s);
    CHECK(clock.isPermitted(start + 8s));
    clock.sample(1000, start);
    clock.reset();
    CHECK_FALSE(clock.leaseEndMs(start));
}

// Guards against an executor that is gone for good and whose runs are never given up, because its agent goes on to
// report.
TEST_CASE("the lease of an executor that does not answer is not extended until it answers again")
{
    LeaseClock clock { 10s };
    clock.permit(start, 7s);
    clock.sample(5000, start);
    clock.setAnswers(false);
    CHECK_FALSE(clock.isExtending());
    CHECK_FALSE(clock.leaseEndMs(start + 1s));
    clock.setAnswers(true);
    CHECK(clock.leaseEndMs(start + 1s) == 12000);
    clock.setAnswers(false);
    // The next lifetime has not failed to answer yet.
    clock.reset();
    CHECK(clock.isExtending());
}
