#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/document/system_limits.h"
#include "lycheespool/document/workspace_settings.h"
#include "lycheespool/document/zones_settings.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lycheespool {

/*! @brief The parsed document. */
struct Document {
    /*! @brief Revision in the table; 0 when nothing was accepted yet. */
    Revision revision;
    /*! @brief Digest of all sections at this revision. */
    std::uint64_t digest { 0 };
    ZonesSettings zones;
    std::map<WorkspaceId, WorkspaceSettings> workspaces;
    SystemLimits limits;

    /**
     * @brief Lists the zones that operators took out of service.
     * @return Zones in the order of their names.
     */
    [[nodiscard]] std::vector<ZoneId> zonesOutOfService() const;
};

}
