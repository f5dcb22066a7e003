#pragma once

#include "lycheespool/document/section_record.h"

#include <cstdint>

namespace lycheespool {

/*! @brief A section as it was read from the table. */
struct StoredSection {
    SectionRecord record;
    /*! @brief Version of the row. */
    std::uint64_t version { 0 };
};

}
