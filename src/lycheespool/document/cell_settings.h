#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/document/cell_adjacency.h"

#include <cstdint>
#include <optional>

namespace lycheespool {

/*! @brief One cell of a workspace's guarantee: adjacent tasks of equal size. */
struct CellSettings {
    CellAdjacency adjacency { CellAdjacency::zone };
    std::uint32_t tasks { 1 };
    /*! @brief CPU cores of each task. */
    std::uint32_t cores { 0 };
    /*! @brief Memory of each task, in MiB. */
    std::uint32_t memoryMiB { 0 };
    /*! @brief Accelerators of each task. */
    std::uint32_t accelerators { 0 };
    /*! @brief Zone in which the cell must be placed; any zone when absent. */
    std::optional<ZoneId> zone;

    friend bool operator==(const CellSettings&, const CellSettings&) = default;
};

}
