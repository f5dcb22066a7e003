#pragma once

#include "lycheespool/core/ids.h"

#include <cstdint>

namespace lycheespool {

/*! @brief Workers of one rack with equal resources. */
struct WorkerGroup {
    ZoneId zone;
    RackId rack;
    std::uint32_t workers { 1 };
    /*! @brief CPU cores of each worker. */
    std::uint32_t cores { 0 };
    /*! @brief Memory of each worker, in MiB. */
    std::uint32_t memoryMiB { 0 };
    /*! @brief Accelerators of each worker. */
    std::uint32_t accelerators { 0 };
};

}
