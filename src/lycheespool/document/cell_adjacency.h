#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief Topology level that all tasks of a guaranteed cell must share. */
enum class CellAdjacency : std::uint8_t { worker, rack, zone };

}
