#include "lycheespool/document/validation.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace lycheespool {

namespace {

Finding error(const SectionId& section, std::string message)
{
    return { FindingSeverity::error, section, std::move(message) };
}

void checkZones(const Document& document, const WorkspaceSettings& workspace, Findings& findings)
{
    std::set<ZoneId> known;
    for (const auto& it : document.zones.zones)
        known.insert(it.id);
    for (const auto& it : workspace.guarantees) {
        if (it.zone && !known.contains(*it.zone))
            findings.push_back(error(sectionOf(workspace.id),
                fmt::format(
                    "a guarantee refers to the unknown zone \"{}\"; use a zone of section zones", it.zone->value())));
    }
}

void checkLimits(const Document& document, const WorkspaceSettings& workspace, Findings& findings)
{
    const auto& limits = document.limits;
    const auto check = [&](const char* field, std::uint32_t value, const char* limit, std::uint32_t maximum) {
        if (value > maximum)
            findings.push_back(error(sectionOf(workspace.id),
                fmt::format("{} = {} exceeds limits.{} = {}; lower it or ask an administrator to raise the limit",
                    field, value, limit, maximum)));
    };
    check("queue.jobs", workspace.queue.jobs, "max_queued_jobs", limits.maxQueuedJobs);
    check("queue.requests", workspace.queue.requests, "max_queued_requests", limits.maxQueuedRequests);
    for (const auto& it : workspace.guarantees)
        check("guarantee.tasks", it.tasks, "max_gang_tasks", limits.maxGangTasks);
}

void checkCount(const Document& document, Findings& findings)
{
    if (document.workspaces.size() > document.limits.maxWorkspaces)
        findings.push_back(error(limitsSection(),
            fmt::format("{} workspaces exceed limits.max_workspaces = {}; remove one or raise the limit",
                document.workspaces.size(), document.limits.maxWorkspaces)));
}

Document withAllZones(Document document)
{
    for (auto& it : document.zones.zones)
        it.inService = true;
    return document;
}

std::string listZonesOutOfService(const Document& document)
{
    std::string list;
    for (const auto& it : document.zonesOutOfService())
        list += (list.empty() ? "" : ", ") + it.value();
    return list;
}

void checkCapacity(const Document& document, const CapacityCheck& capacity, Findings& findings)
{
    if (!capacity)
        return;
    std::set<WorkspaceId> rejected;
    for (const auto& it : capacity(withAllZones(document))) {
        rejected.insert(it.workspace);
        findings.push_back(error(sectionOf(it.workspace),
            fmt::format("the guarantee exceeds the capacity: {}; reduce it or another workspace's", it.reason)));
    }
    if (document.zonesOutOfService().empty())
        return;
    for (const auto& it : capacity(document)) {
        if (!rejected.contains(it.workspace))
            findings.push_back({ FindingSeverity::warning, sectionOf(it.workspace),
                fmt::format("the guarantee is impossible while {} is out of service: {}; repeat the edit with the "
                            "override to accept this",
                    listZonesOutOfService(document), it.reason) });
    }
}

bool isSameKind(const Finding& a, const Finding& b) { return a.severity == b.severity && a.section == b.section; }

}

Findings validate(const Document& document, const CapacityCheck& capacity)
{
    Findings findings;
    checkCount(document, findings);
    for (const auto& [id, workspace] : document.workspaces) {
        checkZones(document, workspace, findings);
        checkLimits(document, workspace, findings);
    }
    checkCapacity(document, capacity, findings);
    return findings;
}

Findings causedBy(const Findings& before, const Findings& after, const SectionId& section)
{
    Findings caused;
    std::ranges::copy_if(after, std::back_inserter(caused), [&](const Finding& finding) {
        return finding.section == section
            || std::ranges::none_of(before, [&](const Finding& it) { return isSameKind(it, finding); });
    });
    return caused;
}

}
