#pragma once

#include "lycheespool/core/ids.h"

#include <cstdint>

namespace lycheespool {

/*! @brief Entry of one section in the head row. */
struct SectionEntry {
    /*! @brief Document revision of the section's last change. */
    Revision revision;
    /*! @brief Digest of the section's text. */
    std::uint64_t digest { 0 };

    friend bool operator==(const SectionEntry&, const SectionEntry&) = default;
};

}
