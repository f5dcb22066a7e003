#pragma once

#include <cstddef>

namespace lycheespool {

/*! @brief Bounds of the requests that wait for a slot. */
struct AdmissionLimits {
    /*! @brief Waiting requests of one workspace and priority; about three times the slots of the present system. */
    std::size_t perClass { 256 };
    /*! @brief Waiting requests of all workspaces; with bodies of 4 KiB this holds 16 MiB of an entry's 64 MB. */
    std::size_t total { 4096 };
};

}
