#include "lycheespool/scheduler/job_names.h"

#include "lycheespool/core/error.h"

#include <algorithm>
#include <array>
#include <string>

namespace lycheespool {

namespace {

constexpr std::array<std::string_view, 3> adjacencies { "worker", "rack", "zone" };
constexpr std::array<std::string_view, 3> urgencies { "deferrable", "normal", "urgent" };

}

std::string_view toString(Adjacency adjacency) { return adjacencies.at(static_cast<std::size_t>(adjacency)); }

std::string_view toString(Urgency urgency) { return urgencies.at(static_cast<std::size_t>(urgency)); }

Adjacency parseAdjacency(std::string_view name)
{
    const auto* const it = std::ranges::find(adjacencies, name);
    if (it == adjacencies.end())
        throw Error { ErrorKind::invalidArgument, "unknown adjacency: " + std::string { name },
            "use worker, rack or zone" };
    return static_cast<Adjacency>(it - adjacencies.begin());
}

Urgency parseUrgency(std::string_view name)
{
    const auto* const it = std::ranges::find(urgencies, name);
    if (it == urgencies.end())
        throw Error { ErrorKind::invalidArgument, "unknown urgency: " + std::string { name },
            "use deferrable, normal or urgent" };
    return static_cast<Urgency>(it - urgencies.begin());
}

}
