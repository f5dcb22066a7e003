#pragma once

#include "lycheespool/core/ids.h"

#include <string>

namespace lycheespool {

/*! @brief Revisions and texts of an edit conflict in a section. */
struct SectionConflict {
    Revision base;
    Revision current;
    /*! @brief Author of the current revision. */
    std::string currentAuthor;
    std::string baseText;
    std::string theirText;
    std::string yourText;
    /*! @brief Line-based three-way difference. */
    std::string difference;
};

}
