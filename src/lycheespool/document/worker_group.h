#pragma once

#include "lycheespool/core/ids.h"

#include <cstdint>

namespace lycheespool {

/*! @brief Equal workers of one rack. */
struct WorkerGroup {
    ZoneId zone;
    RackId rack;
    std::uint32_t workers { 1 };
    /*! @brief Processor cores of each worker. */
    std::uint32_t cores { 0 };
    /*! @brief Memory of each worker, in MiB. */
    std::uint32_t memoryMiB { 0 };
    /*! @brief Accelerators of each worker. */
    std::uint32_t accelerators { 0 };
};

}
