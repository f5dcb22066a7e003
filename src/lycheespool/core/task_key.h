#pragma once

#include "lycheespool/core/ids.h"

#include <compare>
#include <cstdint>

namespace lycheespool {

/*! @brief Names one task of one run of a gang. */
struct TaskKey {
    JobId job;
    Attempt attempt;
    std::uint32_t task { 0 };

    friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

}
