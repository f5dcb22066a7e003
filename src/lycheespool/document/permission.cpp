#include "lycheespool/document/permission.h"

#include "lycheespool/core/error.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <vector>

namespace lycheespool {

namespace {

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::ranges::find(names, name) != names.end();
}

const std::vector<std::string>& operatorsOf(const Document& before, const Document& after, const SectionId& section)
{
    static const std::vector<std::string> none;
    switch (kindOf(section)) {
    case SectionKind::zones:
        return before.zones.operators;
    case SectionKind::limits:
        return none;
    case SectionKind::workspace:
        break;
    }
    const auto id = workspaceOf(section);
    const auto it = before.workspaces.find(id);
    return it == before.workspaces.end() || !after.workspaces.contains(id) ? none : it->second.operators;
}

}

void checkPermission(const Document& before, const Document& after, const SectionId& section, const std::string& author)
{
    const bool isFirst = before.limits.administrators.empty();
    if (isFirst && section != limitsSection())
        throw Error { ErrorKind::forbidden, fmt::format("section {} has no administrators yet", section.value()),
            "create section limits with a list of administrators first" };
    const auto& administrators = isFirst ? after.limits.administrators : before.limits.administrators;
    const auto& operators = operatorsOf(before, after, section);
    if (contains(administrators, author) || contains(operators, author))
        return;
    throw Error { ErrorKind::forbidden,
        fmt::format("\"{}\" may not make this edit of section {}", author, section.value()),
        fmt::format("ask an operator of the section ({}) or an administrator ({})", fmt::join(operators, ", "),
            fmt::join(administrators, ", ")) };
}

}
