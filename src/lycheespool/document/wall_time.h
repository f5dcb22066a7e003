#pragma once

#include <chrono>

namespace lycheespool {

/*! @brief Calendar time in milliseconds, for records that people read; never used to decide anything. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

}
