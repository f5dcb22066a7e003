#include "lycheespool/dispatch/preemption.h"

namespace lycheespool {

PreemptionRule preemptionFor(const PreemptionInput& input, const PreemptionLimits& limits)
{
    if (!limits.isEnabled || input.priority != 0)
        return {};
    const auto factor = limits.accountsForUncertainty ? input.uncertainty : 1.0;
    const auto slackMs = static_cast<double>(input.objectiveMs - input.remainingMs);
    const auto ageMs = static_cast<double>(input.ageMs);
    const bool mayBecomeLate = slackMs / factor - ageMs < limits.slackMs;
    const bool isCertainlyLate = slackMs * factor <= ageMs;
    if (!mayBecomeLate || isCertainlyLate)
        return {};
    return { true, limits.budget * input.coreSeconds };
}

}
