#include "lycheespool/dispatch/retry_timing.h"

#include <algorithm>

namespace lycheespool {

namespace {

// Shares of the slack that a retry may use; most of it is left for the run itself, whose time is only a forecast.
constexpr double delayShare = 0.25;
constexpr double provenWaitShare = 0.5;

}

RetryTiming retryTiming(const RankInput& work, const RetryLimits& limits)
{
    const auto slackMs = std::max(0.0, static_cast<double>(work.objectiveMs - work.ageMs - work.remainingMs));
    const auto within = [&](double limitMs, double share) {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli> { std::min(limitMs, share * slackMs) });
    };
    return { within(limits.delayMs, delayShare), within(limits.provenWaitMs, provenWaitShare) };
}

}
