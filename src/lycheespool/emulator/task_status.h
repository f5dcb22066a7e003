#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/task_key.h"
#include "lycheespool/emulator/task_state.h"
#include "lycheespool/placement/resources.h"

#include <cstdint>
#include <string>

namespace lycheespool {

/*! @brief A task as its worker lists it. */
struct TaskStatus {
    TaskKey key;
    TaskState state { TaskState::running };
    /*! @brief Why the task failed or was stopped. */
    std::string detail;
    Resources size;
    /*! @brief Work done so far, as run time at full speed. */
    Duration progress {};
    /*! @brief Work that the last checkpoint saved. */
    Duration checkpoint {};
    /*! @brief Speed in percent of full speed. */
    std::uint32_t speedPercent { 100 };
    /*! @brief Measured use of the task; zero until the first report, which lags behind. */
    Resources usage;
};

}
