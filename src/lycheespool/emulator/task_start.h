#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/task_key.h"
#include "lycheespool/placement/resources.h"

namespace lycheespool {

/*! @brief Parameters for starting a task on a worker. */
struct TaskStart {
    TaskKey key;
    Resources size;
    /*! @brief Work that the task does, as its run time at full speed. */
    Duration runTime {};
    /*! @brief Time until the lease expires, unless it is renewed. */
    Duration lease {};
    /*! @brief Work that a checkpoint has saved. */
    Duration progress {};
};

}
