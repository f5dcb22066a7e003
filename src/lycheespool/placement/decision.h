#pragma once

#include "lycheespool/core/ids.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheespool {

/*! @brief Worker of each task of a gang, in the order of the task numbers. */
using Assignment = std::vector<WorkerId>;

/*! @brief Reserve and start a whole gang; its capacity is already set aside. */
struct StartGang {
    JobId job;
    Assignment workers;
};

/*! @brief Checkpoint and stop a running gang, which goes back to the queue. */
struct EvictGang {
    JobId job;
    std::string reason;
};

/*! @brief End a job for good. */
struct FailJob {
    JobId job;
    std::string reason;
};

/*! @brief One decision of a placement policy. */
using Decision = std::variant<StartGang, EvictGang, FailJob>;

/*! @brief Decisions in the order in which they are to be carried out. */
using Decisions = std::vector<Decision>;

}
