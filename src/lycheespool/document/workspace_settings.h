#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/document/cell_settings.h"
#include "lycheespool/document/queue_limits.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Contents of a workspace's section. */
struct WorkspaceSettings {
    WorkspaceId id;
    /*! @brief Operators who may edit the section, in addition to the administrators. */
    std::vector<std::string> operators;
    /*! @brief Priority between workspaces that both borrow capacity; higher values come first. */
    std::uint32_t priority { 100 };
    QueueLimits queue;
    std::vector<CellSettings> guarantees;

    friend bool operator==(const WorkspaceSettings&, const WorkspaceSettings&) = default;
};

}
