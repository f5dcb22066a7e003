#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Contents of section `limits`. */
struct SystemLimits {
    /*! @brief Who may edit every section; never empty in an accepted document. */
    std::vector<std::string> administrators;
    std::uint32_t maxWorkspaces { 256 };
    std::uint32_t maxGangTasks { 64 };
    std::uint32_t maxQueuedJobs { 100000 };
    std::uint32_t maxQueuedRequests { 100000 };

    friend bool operator==(const SystemLimits&, const SystemLimits&) = default;
};

}
