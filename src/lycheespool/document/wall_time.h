#pragma once

#include <chrono>

namespace lycheespool {

/*! @brief Calendar time in milliseconds, for display in records only; no decision depends on it. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

}
