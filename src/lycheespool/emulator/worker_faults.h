#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief Faults of an emulated worker that can be switched on and off at any time. */
struct WorkerFaults {
    /*! @brief Every task that starts fails at once. */
    bool failTasks { false };
    /*! @brief Tasks make no progress and the worker answers nothing. */
    bool frozen { false };
    /*! @brief Checkpoints fail. */
    bool failCheckpoints { false };
    /*! @brief Real use of a task in percent of its declared size. */
    std::uint32_t usagePercent { 100 };
};

}
