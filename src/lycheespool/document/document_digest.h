#pragma once

#include "lycheespool/document/section_entry.h"
#include "lycheespool/document/section_id.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace lycheespool {

/**
 * @brief Computes the digest of a section's text.
 * @param text Text of the section.
 * @return XXH3 hash; detects differences between processes, not tampering.
 */
[[nodiscard]] std::uint64_t digestOf(std::string_view text);

/**
 * @brief Computes the digest of a whole document.
 * @param sections Revision and digest of each section.
 * @return XXH3 hash over names, revisions and digests of the sections.
 */
[[nodiscard]] std::uint64_t digestOf(const std::map<SectionId, SectionEntry>& sections);

}
