#include "lycheespool/placement/run_time_estimates.h"

#include <algorithm>
#include <cmath>

namespace lycheespool {

namespace {

// Declared run times are wrong by up to 10x; a larger error is a job that failed early or hung.
constexpr double largestError = 10;
// The last three or so runs decide, so that a kind whose run time changes is followed within a few jobs.
constexpr double weightOfNewest = 0.3;

}

void RunTimeEstimates::record(Index workspace, Index kind, Duration declared, Duration actual)
{
    if (declared <= Duration {})
        return;
    const auto error = std::chrono::duration<double>(actual) / std::chrono::duration<double>(declared);
    const auto logError = std::log(std::clamp(error, 1 / largestError, largestError));
    const auto [it, first] = m_logError.try_emplace({ workspace, kind }, logError);
    if (!first)
        it->second += weightOfNewest * (logError - it->second);
}

Duration RunTimeEstimates::estimate(Index workspace, Index kind, Duration declared) const
{
    const auto it = m_logError.find({ workspace, kind });
    if (it == m_logError.end())
        return declared;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(declared) * std::exp(it->second));
}

}
