#pragma once

#include <cstddef>

namespace lycheespool {

/*! @brief Limits of the placement of waiting work. */
struct PlacementLimits {
    /*! @brief Maximum number of waiting requests that hold a reservation; more would leave too much capacity idle. */
    std::size_t maxReservations { 4 };
};

}
