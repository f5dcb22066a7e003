#include "lycheespool/document/cluster_capacity.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace lycheespool {

namespace {

struct Worker {
    ZoneId zone;
    RackId rack;
    std::int64_t cores;
    std::int64_t memoryMiB;
    std::int64_t accelerators;
};

using Workers = std::vector<Worker>;

struct CellRequest {
    WorkspaceId workspace;
    CellSettings cell;
};

Workers workersInService(const std::vector<WorkerGroup>& groups, const Document& document)
{
    const auto zonesOutOfService = document.zonesOutOfService();
    Workers workers;
    for (const auto& it : groups) {
        if (std::ranges::find(zonesOutOfService, it.zone) == zonesOutOfService.end())
            workers.insert(workers.end(), it.workers, { it.zone, it.rack, it.cores, it.memoryMiB, it.accelerators });
    }
    return workers;
}

std::vector<CellRequest> cellRequestsOf(const Document& document)
{
    std::vector<CellRequest> requests;
    for (const auto& [id, workspace] : document.workspaces) {
        for (const auto& it : workspace.guarantees)
            requests.push_back({ id, it });
    }
    std::ranges::sort(requests, std::greater {}, [](const CellRequest& request) {
        const auto& cell = request.cell;
        return std::tuple { std::uint64_t { cell.accelerators } * cell.tasks,
            std::uint64_t { cell.cores } * cell.tasks };
    });
    return requests;
}

/*! @brief Returns the key of the worker group that all tasks of a cell must share. */
std::string groupKeyOf(const Worker& worker, std::size_t index, CellAdjacency adjacency)
{
    switch (adjacency) {
    case CellAdjacency::worker:
        return fmt::format("{}", index);
    case CellAdjacency::rack:
        return fmt::format("{}/{}", worker.zone.value(), worker.rack.value());
    case CellAdjacency::zone:
        break;
    }
    return worker.zone.value();
}

std::int64_t fittingTasks(const Worker& worker, const CellSettings& cell)
{
    auto n = std::min(worker.cores / cell.cores, worker.memoryMiB / cell.memoryMiB);
    return cell.accelerators == 0 ? n : std::min(n, worker.accelerators / cell.accelerators);
}

void allocate(Worker& worker, const CellSettings& cell, std::int64_t tasks)
{
    worker.cores -= tasks * cell.cores;
    worker.memoryMiB -= tasks * cell.memoryMiB;
    worker.accelerators -= tasks * cell.accelerators;
}

bool placeInGroup(Workers& workers, const std::vector<std::size_t>& members, const CellSettings& cell)
{
    std::int64_t available = 0;
    for (const auto it : members)
        available += fittingTasks(workers[it], cell);
    if (available < cell.tasks)
        return false;
    std::int64_t remaining = cell.tasks;
    for (const auto it : members) {
        const auto tasks = std::min(remaining, fittingTasks(workers[it], cell));
        allocate(workers[it], cell, tasks);
        remaining -= tasks;
    }
    return true;
}

bool place(Workers& workers, const CellSettings& cell)
{
    std::map<std::string, std::vector<std::size_t>> groups;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (!cell.zone || *cell.zone == workers[i].zone)
            groups[groupKeyOf(workers[i], i, cell.adjacency)].push_back(i);
    }
    return std::ranges::any_of(groups, [&](const auto& it) { return placeInGroup(workers, it.second, cell); });
}

std::string describe(const CellSettings& cell)
{
    return fmt::format("a cell of {} tasks with {} cores, {} MiB and {} accelerators each does not fit", cell.tasks,
        cell.cores, cell.memoryMiB, cell.accelerators);
}

}

CapacityCheck makeCapacityCheck(std::vector<WorkerGroup> groups)
{
    return [groups = std::move(groups)](const Document& document) {
        auto workers = workersInService(groups, document);
        std::set<WorkspaceId> reported;
        std::vector<ImpossibleGuarantee> impossible;
        for (const auto& it : cellRequestsOf(document)) {
            if (!place(workers, it.cell) && reported.insert(it.workspace).second)
                impossible.push_back({ it.workspace, describe(it.cell) });
        }
        return impossible;
    };
}

}
