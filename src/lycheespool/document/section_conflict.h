#pragma once

#include "lycheespool/core/ids.h"

#include <string>

namespace lycheespool {

/*! @brief The three texts of a conflict on a section. */
struct SectionConflict {
    Revision base;
    Revision current;
    /*! @brief Author of the current revision. */
    std::string currentAuthor;
    std::string baseText;
    std::string theirText;
    std::string yourText;
    /*! @brief Three-way difference by line. */
    std::string difference;
};

}
