#include "lycheespool/dispatch/departing_run.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace lycheespool {

namespace {

// Time to stop a run and start the next one: a stop takes 200 to 400 ms, an order about 100 ms.
constexpr double restartMs = 500;
// Progress is reported in whole percent, so no forecast is exact.
constexpr double minSpread = 0.05;

double normalDistribution(double value) { return std::erfc(-value / std::numbers::sqrt2) / 2; }

}

bool shouldMoveNow(const DepartingRun& run)
{
    const auto remainingMs = std::max(run.remainingMs, 1.0);
    const auto departureMs = std::max(run.timeToDepartureMs, 1.0);
    const auto completionProbability
        = normalDistribution(std::log(departureMs / remainingMs) / std::max(run.spread, minSpread));
    const auto movedMs = restartMs + remainingMs + run.repeatedMs;
    const auto stayingMs
        = completionProbability * remainingMs + (1 - completionProbability) * (departureMs + run.detectionMs + movedMs);
    return movedMs < stayingMs;
}

}
