#pragma once

#include "lycheespool/core/clock.h"

#include <chrono>

namespace lycheespool {

/*! @brief What the time to come back depends on. */
struct RetrySituation {
    /*! @brief Latency objective of the work; zero when it has none or is not known. */
    Duration objective {};
    /*! @brief Time for which the store has been away; zero when only this attempt was turned away. */
    Duration outage {};
};

/*! @brief Work with a longer objective can wait for an outage of the store to end. */
inline constexpr Duration patientObjective = std::chrono::seconds { 10 };
/*! @brief An outage that has lasted this long is expected to last for another two attempts. */
inline constexpr Duration youngOutage = std::chrono::milliseconds { 1500 };

/**
 * @brief Chooses when a rejected client should come back.
 *
 * Answers outages of the store of 1 to 9 s and clients that make four attempts. Attempts a second apart cover only
 * three seconds: patient work that has used them up is lost although it could still be in time, so its attempts are
 * spread over nine. Urgent work comes back soon while the outage is young, since each second of delay makes it late.
 *
 * @param situation What is known.
 * @return Whole seconds, as the header takes no fractions.
 */
[[nodiscard]] constexpr std::chrono::seconds adviseRetry(const RetrySituation& situation)
{
    if (situation.outage == Duration {})
        return std::chrono::seconds { 1 };
    if (situation.objective > patientObjective)
        return std::chrono::seconds { 3 };
    return std::chrono::seconds { situation.outage < youngOutage ? 1 : 2 };
}

}
