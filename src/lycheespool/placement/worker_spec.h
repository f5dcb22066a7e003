#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/placement/resources.h"

namespace lycheespool {

/*! @brief Registration of a worker. */
struct WorkerSpec {
    WorkerId id;
    ZoneId zone;
    RackId rack;
    Resources capacity;
};

}
