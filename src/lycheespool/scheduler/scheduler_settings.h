#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/scheduler/lease_record.h"

#include <string>

namespace lycheespool {

/*! @brief Identity of a scheduler. */
struct SchedulerSettings {
    /*! @brief Scheduling domain whose lease it acquires. */
    std::string domain { "main" };
    EntryId entry;
    /*! @brief Random number chosen when the process starts. */
    Incarnation incarnation;
};

}
