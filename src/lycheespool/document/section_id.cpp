#include "lycheespool/document/section_id.h"

#include "lycheespool/core/error.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheespool {

namespace {

constexpr std::string_view workspacePrefix = "workspace.";

bool isNameCharacter(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_'; }

}

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNameLength && std::ranges::all_of(name, isNameCharacter);
}

SectionKind kindOf(const SectionId& section)
{
    const std::string_view name { section.value() };
    if (name == zonesSection().value())
        return SectionKind::zones;
    if (name == limitsSection().value())
        return SectionKind::limits;
    if (name.starts_with(workspacePrefix) && isValidName(name.substr(workspacePrefix.size())))
        return SectionKind::workspace;
    throw Error { ErrorKind::invalidArgument, fmt::format("section \"{}\" does not exist", name),
        "use zones, limits or workspace.<name> with lower-case letters, digits, hyphens and underscores" };
}

WorkspaceId workspaceOf(const SectionId& section)
{
    if (kindOf(section) != SectionKind::workspace)
        throw Error { ErrorKind::invalidArgument, fmt::format("section {} is not a workspace section", section.value()),
            "use workspace.<name>" };
    return WorkspaceId { section.value().substr(workspacePrefix.size()) };
}

SectionId sectionOf(const WorkspaceId& workspace)
{
    return SectionId { std::string { workspacePrefix } + workspace.value() };
}

const SectionId& zonesSection()
{
    static const SectionId section { "zones" };
    return section;
}

const SectionId& limitsSection()
{
    static const SectionId section { "limits" };
    return section;
}

}
