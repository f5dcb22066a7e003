#pragma once

#include "lycheespool/core/ids.h"

#include <cstdint>

namespace lycheespool {

/*! @brief What the head row says about one section. */
struct SectionEntry {
    /*! @brief Revision of the document that changed the section last. */
    Revision revision;
    /*! @brief Digest of the section's text. */
    std::uint64_t digest { 0 };

    friend bool operator==(const SectionEntry&, const SectionEntry&) = default;
};

}
