#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/document/capacity_check.h"

#include <functional>

namespace lycheespool {

/*! @brief How edits are checked, and how they are tried again after another section changed. */
struct EditPolicy {
    /*! @brief Attempts in total; 8 editors that commit at once all succeed. */
    unsigned attempts { 8 };
    /*! @brief Gives the wait before attempt n, with the caller's own jitter; n starts at 1. */
    std::function<Duration(unsigned)> retryDelay { [](unsigned) { return Duration {}; } };
    /*! @brief Compares guarantees with the capacity. */
    CapacityCheck capacity;
};

}
