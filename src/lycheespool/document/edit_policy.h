#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/document/capacity_check.h"

#include <functional>

namespace lycheespool {

/*! @brief How edits are checked, and how they are retried after a concurrent change of another section. */
struct EditPolicy {
    /*! @brief Total number of attempts; 8 editors that commit concurrently all succeed. */
    unsigned attempts { 8 };
    /*! @brief Returns the delay before retry n, with jitter added by the caller; n starts at 1. */
    std::function<Duration(unsigned)> retryDelay { [](unsigned) { return Duration {}; } };
    /*! @brief Compares guarantees with the capacity. */
    CapacityCheck capacity;
};

}
