#include "lycheespool/dispatch/preemption.h"

#include <doctest/doctest.h>

using namespace lycheespool;

namespace {

constexpr PreemptionLimits limits {};

/*! @brief An urgent gang of 2.5 s with an objective of 4 s and forecasts that may be wrong by a factor of 1.6. */
PreemptionInput urgent(std::int64_t ageMs) { return { 0, ageMs, 4000, 2500, 1.6, 100 }; }

}

// Guards against urgent gangs that wait until the forecast leaves no slack and then end late.
TEST_CASE("urgent work with little slack preempts other work immediately")
{
    const auto rule = preemptionFor(urgent(10), limits);
    CHECK(rule.mayEvict);
    CHECK(rule.budget == doctest::Approx(100 * limits.budget));
}

TEST_CASE("work that is late by its forecast may still preempt, and work that is certainly late does not")
{
    CHECK(preemptionFor(urgent(1600), limits).mayEvict);
    CHECK_FALSE(preemptionFor(urgent(2500), limits).mayEvict);
}

TEST_CASE("urgent work with ample slack waits for free capacity, and other queues preempt nothing")
{
    CHECK_FALSE(preemptionFor({ 0, 10, 30000, 8500, 1.3, 100 }, limits).mayEvict);
    CHECK_FALSE(preemptionFor({ 1, 10, 4000, 2500, 1.6, 100 }, limits).mayEvict);
}
