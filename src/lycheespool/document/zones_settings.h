#pragma once

#include "lycheespool/document/zone_settings.h"

#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Contents of section `zones`. */
struct ZonesSettings {
    /*! @brief Operators who may edit the section, in addition to the administrators. */
    std::vector<std::string> operators;
    /*! @brief Zones, sorted by name. */
    std::vector<ZoneSettings> zones;

    friend bool operator==(const ZonesSettings&, const ZonesSettings&) = default;
};

}
