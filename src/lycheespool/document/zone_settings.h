#pragma once

#include "lycheespool/core/ids.h"

#include <string>

namespace lycheespool {

/*! @brief What the operators decided about an availability zone. */
struct ZoneSettings {
    ZoneId id;
    bool inService { true };
    /*! @brief Why the zone is out of service; never empty when it is. */
    std::string reason;

    friend bool operator==(const ZoneSettings&, const ZoneSettings&) = default;
};

}
