#include "lycheespool/dispatch/departing_run.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace lycheespool;

namespace {

constexpr double noticeMs = 2200;
constexpr double detectionMs = 7500;

}

// Guards against runs that are lost with their executor although its notice leaves time to move them.
TEST_CASE("a run that needs more than the notice moves at once")
{
    CHECK(shouldMoveNow({ noticeMs, 6000, 0.2, 2500, detectionMs }));
    CHECK(shouldMoveNow({ noticeMs, 6000, 0.2, 250, 0 }));
}

// Guards against discarding work that is about to end.
TEST_CASE("a run that will end within the notice continues")
{
    CHECK_FALSE(shouldMoveNow({ noticeMs, 1000, 0.2, 8000, detectionMs }));
    CHECK_FALSE(shouldMoveNow({ noticeMs, 1000, 0.2, 250, detectionMs }));
}

TEST_CASE(
    "a run without checkpoints that needs a little more than the notice is weighed against the work it would repeat")
{
    // Moving a run that has just started loses nothing, while a long run may still end in time.
    CHECK(shouldMoveNow({ 4500, 5000, 0.3, 0, 0 }));
    CHECK_FALSE(shouldMoveNow({ 4500, 4300, 0.3, 60000, 0 }));
}

// Simulates the load that the rule is designed for: gangs of 2 to 11 s that receive a notice of 2.2 to 4.5 s at any
// point of their run.
TEST_CASE("jobs end sooner than when runs always stay or always move")
{
    std::mt19937_64 random { 20261204 };
    std::uniform_real_distribution<double> share { 0, 1 };
    std::normal_distribution<double> error { 0, 0.2 };
    double ruleMs = 0;
    double stayMs = 0;
    double moveMs = 0;
    for (int i = 0; i < 10000; ++i) {
        const auto runMs = 2000 + 9000 * share(random);
        const auto doneMs = runMs * share(random);
        const auto staysMs = share(random) < 0.5 ? 2200.0 : 4500.0;
        // Executors with the short notice depart silently; the others announce their end.
        const auto lossMs = staysMs < 3000 ? detectionMs : 0.0;
        const auto repeatedMs = share(random) < 0.45 ? 250.0 : doneMs;
        const auto restMs = runMs - doneMs;
        const auto elsewhereMs = 500 + restMs + repeatedMs;
        const auto stayingMs = restMs <= staysMs ? restMs : staysMs + lossMs + elsewhereMs;
        const DepartingRun run { staysMs, restMs * std::exp(error(random)), 0.2, repeatedMs, detectionMs / 2 };
        ruleMs += shouldMoveNow(run) ? elsewhereMs : stayingMs;
        stayMs += stayingMs;
        moveMs += elsewhereMs;
    }
    CHECK(ruleMs < 0.75 * stayMs);
    CHECK(ruleMs < 0.95 * moveMs);
}
