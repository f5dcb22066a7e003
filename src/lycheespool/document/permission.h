#pragma once

#include "lycheespool/document/document.h"
#include "lycheespool/document/section_id.h"

#include <string>

namespace lycheespool {

/**
 * @brief Checks if an operator may edit a section.
 *
 * Administrators may edit every section, and only they may create and remove workspaces. Other operators must be in
 * the section's own list as it was before the edit.
 *
 * @param before Document before the edit.
 * @param after Document after the edit; provides the administrators when there was no section `limits` before.
 * @param section The section.
 * @param author Name of the operator.
 * @throws Error of kind forbidden that lists who may edit the section.
 */
void checkPermission(
    const Document& before, const Document& after, const SectionId& section, const std::string& author);

}
