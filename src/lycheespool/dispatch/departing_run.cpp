#include "lycheespool/dispatch/departing_run.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace lycheespool {

namespace {

// Time for the stop of a run and the start of the next one: a stop takes 200 to 400 ms, an order about 100 ms.
constexpr double restartMs = 500;
// Progress is listed in whole percent, so that no forecast is exact.
constexpr double leastSpread = 0.05;

double normalDistribution(double value) { return std::erfc(-value / std::numbers::sqrt2) / 2; }

}

bool shouldMoveNow(const DepartingRun& run)
{
    const auto remainingMs = std::max(run.remainingMs, 1.0);
    const auto staysMs = std::max(run.timeToDepartureMs, 1.0);
    const auto endsInTime = normalDistribution(std::log(staysMs / remainingMs) / std::max(run.spread, leastSpread));
    const auto elsewhereMs = restartMs + remainingMs + run.repeatedMs;
    const auto stayingMs = endsInTime * remainingMs + (1 - endsInTime) * (staysMs + run.detectionMs + elsewhereMs);
    return elsewhereMs < stayingMs;
}

}
