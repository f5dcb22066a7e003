#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/placement/resources.h"

namespace lycheespool {

/*! @brief A worker as it announced itself. */
struct WorkerSpec {
    WorkerId id;
    ZoneId zone;
    RackId rack;
    Resources capacity;
};

}
