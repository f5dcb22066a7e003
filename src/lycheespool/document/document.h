#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/document/system_limits.h"
#include "lycheespool/document/workspace_settings.h"
#include "lycheespool/document/zones_settings.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lycheespool {

/*! @brief Parsed contents of the document's sections. */
struct Document {
    /*! @brief Revision in the table; 0 before the first accepted edit. */
    Revision revision;
    /*! @brief Digest of all sections at this revision. */
    std::uint64_t digest { 0 };
    ZonesSettings zones;
    std::map<WorkspaceId, WorkspaceSettings> workspaces;
    SystemLimits limits;

    /**
     * @brief Returns the zones that operators took out of service.
     * @return Zones, sorted by name.
     */
    [[nodiscard]] std::vector<ZoneId> zonesOutOfService() const;
};

}
