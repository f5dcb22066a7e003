#pragma once

#include "lycheespool/core/ids.h"

#include <string>

namespace lycheespool {

/*! @brief A workspace whose guaranteed shape does not fit. */
struct ImpossibleGuarantee {
    WorkspaceId workspace;
    /*! @brief What does not fit, with amounts. */
    std::string reason;
};

}
