#include "soak/config_checker.h"

#include "soak/soak_bounds.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace lycheespool::soak;

namespace {

/*! @brief Versions 1 to 8, acknowledged 10 s apart. */
struct ConfigCheckerFixture {
    ConfigCheckerFixture()
    {
        for (std::uint64_t version = 1; version <= 8; ++version) {
            checker.onSent(version);
            checker.onAcknowledged(version, timeOf(version));
        }
    }

    static TimePoint timeOf(std::uint64_t version) { return TimePoint { 10s * static_cast<int>(version) }; }

    [[nodiscard]] bool isViolation(std::uint64_t target, bool isServed, TimePoint sent, unsigned incarnation = 1)
    {
        return checker.onProbe({ "gateway", incarnation, target, isServed, sent, sent }).has_value();
    }

    ConfigChecker checker;
};

}

// Guards against a checker that accepts calls handled by a config that is too old.
TEST_CASE("a config that is due and not in force is a violation")
{
    ConfigCheckerFixture f;
    const auto due = ConfigCheckerFixture::timeOf(8) + configApplyBound;
    CHECK_FALSE(f.isViolation(8, false, due - 1ms));
    CHECK_FALSE(f.isViolation(8, true, due));
    CHECK(f.isViolation(8, false, due));
    CHECK(f.isViolation(4, true, due));
    CHECK_FALSE(f.isViolation(4, false, due));
}

// Guards against a checker that misses a return to an older version within the bound, or across a restart sees one.
TEST_CASE("a process that returns to an older version is a violation, its next one is not")
{
    ConfigCheckerFixture f;
    const auto sent = ConfigCheckerFixture::timeOf(8) + 100ms;
    CHECK_FALSE(f.isViolation(8, true, sent));
    CHECK_FALSE(f.isViolation(8, false, sent + rollbackSlack - 1ms));
    CHECK(f.isViolation(8, false, sent + rollbackSlack));
    CHECK_FALSE(f.isViolation(8, false, sent + rollbackSlack, 2));
}
