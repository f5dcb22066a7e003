#pragma once

#include "lycheespool/document/capacity_check.h"
#include "lycheespool/document/finding.h"

namespace lycheespool {

/**
 * @brief Finds contradictions in a document.
 *
 * A guarantee that does not fit although every zone is in service is an error; one that does not fit because of zones
 * that are out of service is a warning.
 *
 * @param document The document.
 * @param capacity Compares guarantees with the capacity; may be empty.
 * @return All findings, with remedies in their messages.
 */
[[nodiscard]] Findings validate(const Document& document, const CapacityCheck& capacity);

/**
 * @brief Selects the findings that an edit is responsible for.
 * @param before Findings before the edit; a lost worker must not prevent edits of other sections.
 * @param after Findings after the edit.
 * @param section Section that the edit changes; all its findings count.
 * @return Findings that count against the edit.
 */
[[nodiscard]] Findings causedBy(const Findings& before, const Findings& after, const SectionId& section);

}
