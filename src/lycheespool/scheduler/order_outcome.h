#pragma once

#include "lycheespool/core/ids.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief What became of an order to one worker. */
struct OrderOutcome {
    WorkerId worker;
    bool accepted { false };
    /*! @brief Why it was refused, or which error the channel gave. */
    std::string reason;
    std::uint64_t progressMs { 0 };
};

/*! @brief Outcomes of one order for a whole gang. */
using OrderOutcomes = std::vector<OrderOutcome>;

/**
 * @brief Tells whether every worker accepted.
 * @param outcomes Outcomes of one order.
 * @return False when one refused or did not answer.
 */
[[nodiscard]] inline bool allAccepted(const OrderOutcomes& outcomes)
{
    return std::ranges::all_of(outcomes, &OrderOutcome::accepted);
}

/**
 * @brief Explains why not all accepted.
 * @param outcomes Outcomes of one order.
 * @return Worker and reason of the first that did not accept.
 */
[[nodiscard]] inline std::string firstReason(const OrderOutcomes& outcomes)
{
    const auto it = std::ranges::find(outcomes, false, &OrderOutcome::accepted);
    return it == outcomes.end() ? std::string {} : "worker " + it->worker.value() + ": " + it->reason;
}

}
