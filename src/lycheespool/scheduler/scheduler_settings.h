#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/scheduler/lease_record.h"

#include <string>

namespace lycheespool {

/*! @brief What a scheduler knows of itself. */
struct SchedulerSettings {
    /*! @brief Scheduling domain whose lease it takes. */
    std::string domain { "main" };
    EntryId entry;
    /*! @brief Drawn at random when the process starts. */
    Incarnation incarnation;
};

}
