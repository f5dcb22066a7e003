#pragma once

#include "lycheespool/core/ids.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Outcome of an order to one worker. */
struct OrderOutcome {
    WorkerId worker;
    bool accepted { false };
    /*! @brief Reason for the refusal, or the error of the channel. */
    std::string reason;
    std::uint64_t progressMs { 0 };
};

/*! @brief Outcomes of one order for a whole gang. */
using OrderOutcomes = std::vector<OrderOutcome>;

/**
 * @brief Checks if every worker accepted.
 * @param outcomes Outcomes of one order.
 * @return False if a worker refused or did not reply.
 */
[[nodiscard]] inline bool allAccepted(const OrderOutcomes& outcomes)
{
    return std::ranges::all_of(outcomes, &OrderOutcome::accepted);
}

/**
 * @brief Returns the reason of the first worker that did not accept.
 * @param outcomes Outcomes of one order.
 * @return Worker and reason; empty if all accepted.
 */
[[nodiscard]] inline std::string firstReason(const OrderOutcomes& outcomes)
{
    const auto it = std::ranges::find(outcomes, false, &OrderOutcome::accepted);
    return it == outcomes.end() ? std::string {} : "worker " + it->worker.value() + ": " + it->reason;
}

}
