#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief How close together the tasks of a guaranteed cell are. */
enum class CellAdjacency : std::uint8_t { worker, rack, zone };

}
