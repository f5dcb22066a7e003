#include "soak/config_checker.h"

#include "soak/soak_bounds.h"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>

namespace lycheespool::soak {

std::uint64_t ConfigChecker::newestUntil(const std::vector<TimedVersion>& versions, TimePoint until)
{
    std::uint64_t newest = 0;
    for (const auto& [at, version] : versions) {
        if (at <= until)
            newest = std::max(newest, version);
    }
    return newest;
}

std::optional<std::string> ConfigChecker::onProbe(const ConfigProbe& probe)
{
    ++m_probes;
    const auto isConsistent = [&](std::uint64_t version) {
        return (probe.target <= version && version < probe.target + probeLifetime) == probe.isServed;
    };
    const auto due = newestUntil(m_acknowledged, probe.sent - configApplyBound);
    auto& observed = m_observed[{ probe.gateway, probe.incarnation }];
    const auto seen = newestUntil(observed, probe.sent - rollbackSlack);
    const auto oldestFrom = [&](std::uint64_t oldest) {
        const auto versions = std::views::iota(oldest, m_newestSent + 1);
        const auto it = std::ranges::find_if(versions, isConsistent);
        return it == versions.end() ? std::nullopt : std::optional { *it };
    };
    const auto outcome = fmt::format("a call for what version {} added was {} by {}", probe.target,
        probe.isServed ? "served" : "denied", probe.gateway);
    if (!oldestFrom(due))
        return fmt::format("CONFIG: {}, though version {} was due", outcome, due);
    const auto oldest = oldestFrom(std::max(due, seen));
    if (!oldest)
        return fmt::format("CONFIG: {}, which had shown version {}", outcome, seen);
    observed.emplace_back(probe.answered, *oldest);
    return std::nullopt;
}

}
