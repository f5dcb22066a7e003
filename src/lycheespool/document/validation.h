#pragma once

#include "lycheespool/document/capacity_check.h"
#include "lycheespool/document/finding.h"

namespace lycheespool {

/**
 * @brief Finds inconsistencies in a document.
 *
 * A guarantee that does not fit even with every zone in service is an error; one that does not fit because of zones out
 * of service is a warning.
 *
 * @param document The document.
 * @param capacity Compares guarantees with the capacity; may be empty.
 * @return All findings; their messages contain remedies.
 */
[[nodiscard]] Findings validate(const Document& document, const CapacityCheck& capacity);

/**
 * @brief Returns the findings that an edit causes.
 * @param before Findings before the edit; excluded, so that a lost worker does not prevent edits of other sections.
 * @param after Findings after the edit.
 * @param section Section that the edit changes; all of its findings are included.
 * @return Findings caused by the edit.
 */
[[nodiscard]] Findings causedBy(const Findings& before, const Findings& after, const SectionId& section);

}
