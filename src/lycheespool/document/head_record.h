#pragma once

#include "lycheespool/document/section_entry.h"
#include "lycheespool/document/section_id.h"

#include <cstdint>
#include <map>

namespace lycheespool {

/*! @brief Row `document/head`: the revision of the document, with revision and digest of each section. */
struct HeadRecord {
    Revision revision;
    /*! @brief Digest of all sections. */
    std::uint64_t digest { 0 };
    std::map<SectionId, SectionEntry> sections;

    friend bool operator==(const HeadRecord&, const HeadRecord&) = default;
};

}
