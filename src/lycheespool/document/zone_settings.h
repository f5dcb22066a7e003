#pragma once

#include "lycheespool/core/ids.h"

#include <string>

namespace lycheespool {

/*! @brief Operator settings of an availability zone. */
struct ZoneSettings {
    ZoneId id;
    bool inService { true };
    /*! @brief Why the zone is out of service; not empty in that case. */
    std::string reason;

    friend bool operator==(const ZoneSettings&, const ZoneSettings&) = default;
};

}
