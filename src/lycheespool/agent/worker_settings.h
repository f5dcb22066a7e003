#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/placement/resources.h"

namespace lycheespool {

/*! @brief Properties of a worker that its agent reads from its settings. */
struct WorkerSettings {
    AgentId agent;
    /*! @brief Incarnation of the agent, chosen at random when it starts. */
    Incarnation incarnation;
    ZoneId zone;
    RackId rack;
    Resources capacity;
};

}
