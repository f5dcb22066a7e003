#pragma once

#include "lycheespool/core/ids.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheespool {

/*! @brief Worker of each task of a gang, in the order of the task numbers. */
using Assignment = std::vector<WorkerId>;

/*! @brief Reserve and start a whole gang; its capacity is already allocated. */
struct StartGang {
    JobId job;
    Assignment workers;
};

/*! @brief Checkpoint and stop a running gang, which returns to the queue. */
struct EvictGang {
    JobId job;
    std::string reason;
};

/*! @brief Fail a job permanently. */
struct FailJob {
    JobId job;
    std::string reason;
};

/*! @brief One decision of a placement policy. */
using Decision = std::variant<StartGang, EvictGang, FailJob>;

/*! @brief Decisions in the order in which the caller must execute them. */
using Decisions = std::vector<Decision>;

}
