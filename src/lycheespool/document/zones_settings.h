#pragma once

#include "lycheespool/document/zone_settings.h"

#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Contents of section `zones`. */
struct ZonesSettings {
    /*! @brief Who may edit the section, beside the administrators. */
    std::vector<std::string> operators;
    /*! @brief Zones in the order of their names. */
    std::vector<ZoneSettings> zones;

    friend bool operator==(const ZonesSettings&, const ZonesSettings&) = default;
};

}
