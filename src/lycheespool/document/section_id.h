#pragma once

#include "lycheespool/core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief Name of a section: `zones`, `limits` or `workspace.<name>`. */
using SectionId = Strong<struct SectionTag, std::string>;

/*! @brief Kind of a section. */
enum class SectionKind : std::uint8_t { zones, limits, workspace };

/*! @brief Maximum length of the name of a zone, workspace or operator, in characters. */
inline constexpr std::size_t maxNameLength = 63;

/**
 * @brief Checks the name of a zone, workspace or operator.
 * @param name The name.
 * @return True for 1 to 63 lower-case letters, digits, hyphens or underscores.
 */
[[nodiscard]] bool isValidName(std::string_view name);

/**
 * @brief Returns the kind of a section.
 * @param section Name of the section.
 * @return Its kind.
 * @throws Error of kind invalidArgument when the name is not that of a section.
 */
[[nodiscard]] SectionKind kindOf(const SectionId& section);

/**
 * @brief Returns the workspace of a section.
 * @param section Name of a workspace section.
 * @return Its workspace.
 * @throws Error of kind invalidArgument when it is not a workspace section.
 */
[[nodiscard]] WorkspaceId workspaceOf(const SectionId& section);

/**
 * @brief Returns the section of a workspace.
 * @param workspace The workspace.
 * @return Name of its section.
 */
[[nodiscard]] SectionId sectionOf(const WorkspaceId& workspace);

/*! @brief Returns the name of the section with the availability zones. */
[[nodiscard]] const SectionId& zonesSection();

/*! @brief Returns the name of the section with the system-wide limits and the administrators. */
[[nodiscard]] const SectionId& limitsSection();

}
