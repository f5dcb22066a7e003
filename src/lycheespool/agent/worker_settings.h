#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/placement/resources.h"

namespace lycheespool {

/*! @brief What an agent knows about the worker beside it from its settings. */
struct WorkerSettings {
    AgentId agent;
    /*! @brief Incarnation of the agent, drawn at random when it starts. */
    Incarnation incarnation;
    ZoneId zone;
    RackId rack;
    Resources capacity;
};

}
