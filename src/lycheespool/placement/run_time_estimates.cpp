#include "lycheespool/placement/run_time_estimates.h"

#include <algorithm>
#include <cmath>

namespace lycheespool {

namespace {

// Declared run times are wrong by up to 10x; a larger error means that the job failed early or hung.
constexpr double maxErrorFactor = 10;
// About the last three runs dominate, so that the estimate follows a changed run time within a few jobs.
constexpr double newestRunWeight = 0.3;

}

void RunTimeEstimates::record(Index workspace, Index kind, Duration declared, Duration actual)
{
    if (declared <= Duration {})
        return;
    const auto error = std::chrono::duration<double>(actual) / std::chrono::duration<double>(declared);
    const auto logError = std::log(std::clamp(error, 1 / maxErrorFactor, maxErrorFactor));
    const auto [it, first] = m_logError.try_emplace({ workspace, kind }, logError);
    if (!first)
        it->second += newestRunWeight * (logError - it->second);
}

Duration RunTimeEstimates::estimate(Index workspace, Index kind, Duration declared) const
{
    const auto it = m_logError.find({ workspace, kind });
    if (it == m_logError.end())
        return declared;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(declared) * std::exp(it->second));
}

}
