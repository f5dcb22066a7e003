#pragma once

#include "lycheespool/core/ids.h"

#include <string>

namespace lycheespool {

/*! @brief A workspace whose guarantee does not fit into the capacity. */
struct ImpossibleGuarantee {
    WorkspaceId workspace;
    /*! @brief Description of the cell that does not fit, with its resources. */
    std::string reason;
};

}
