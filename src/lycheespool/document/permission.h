#pragma once

#include "lycheespool/document/document.h"
#include "lycheespool/document/section_id.h"

#include <string>

namespace lycheespool {

/**
 * @brief Checks whether an operator may edit a section.
 *
 * Administrators may edit every section, and only they create and remove workspaces. Others need to be in the section's
 * own list as it was before the edit.
 *
 * @param before Document before the edit.
 * @param after Document after the edit; names the administrators when there was no section `limits` before.
 * @param section The section.
 * @param author Name of the operator.
 * @throws Error of kind forbidden that names who may edit the section.
 */
void checkPermission(
    const Document& before, const Document& after, const SectionId& section, const std::string& author);

}
