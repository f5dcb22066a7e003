#pragma once

#include "lycheespool/core/clock.h"

#include <functional>

namespace lycheespool {

/*! @brief How often and when an edit is tried again after another section changed. */
struct EditPolicy {
    /*! @brief Attempts in total; 8 editors that commit at once all succeed. */
    unsigned attempts { 8 };
    /*! @brief Gives the wait before attempt n, with the caller's own jitter; n starts at 1. */
    std::function<Duration(unsigned)> retryDelay { [](unsigned) { return Duration {}; } };
};

}
