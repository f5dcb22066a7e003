#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/placement/resources.h"

#include <cstdint>
#include <string>

namespace lycheespool {

/*! @brief How close together the tasks of a gang must run; every gang stays inside one zone. */
enum class Adjacency : std::uint8_t { worker, rack, zone };

/*! @brief Priority class of a waiting job. */
enum class Urgency : std::uint8_t { deferrable, normal, urgent };

/*! @brief Largest gang, in tasks. */
inline constexpr std::uint32_t maxGangTasks = 64;

/*! @brief Job request of a client: a gang of identical tasks. */
struct JobSpec {
    JobId id;
    WorkspaceId workspace;
    std::uint32_t tasks { 1 };
    Resources perTask;
    Adjacency adjacency { Adjacency::zone };
    Duration declaredRunTime {};
    Urgency urgency { Urgency::normal };
    /*! @brief Label of jobs with similar sizes and run times; used for estimates. */
    std::string kind;
};

}
