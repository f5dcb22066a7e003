#include "lycheespool/placement/cell_allocations.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace lycheespool {

void CellAllocations::replaceCells(const Topology& topology, std::vector<Cell> cells)
{
    for (Index it = 0; it < m_cells.size(); ++it)
        reserve(topology, it, -1);
    auto old = std::exchange(m_cells, std::move(cells));
    m_byWorkspace.clear();
    for (Index it = 0; it < m_cells.size(); ++it) {
        auto& cell = m_cells[it];
        if (cell.workspace >= m_byWorkspace.size())
            m_byWorkspace.resize(cell.workspace + 1);
        m_byWorkspace[cell.workspace].push_back(it);
        cell.placement = takeMatchingPlacement(old, cell);
        reserve(topology, it, 1);
    }
}

Placement CellAllocations::takeMatchingPlacement(std::vector<Cell>& old, const Cell& cell) const
{
    const auto match = std::ranges::find_if(old, [&](const Cell& it) {
        return !it.placement.empty() && it.workspace == cell.workspace && it.shape == cell.shape;
    });
    return match == old.end() ? Placement {} : std::exchange(match->placement, {});
}

void CellAllocations::setCapacity(const Topology& topology, Index worker, const SignedResources& capacity)
{
    if (worker >= m_capacity.size())
        m_capacity.resize(topology.workers().size(), SignedResources::unavailable());
    m_capacity[worker] = capacity;
    updateUnreserved(topology, worker);
}

void CellAllocations::bind(const Topology& topology, Index cell, Placement placement)
{
    m_cells[cell].placement = std::move(placement);
    reserve(topology, cell, 1);
}

void CellAllocations::unbind(const Topology& topology, Index cell)
{
    reserve(topology, cell, -1);
    m_cells[cell].placement.clear();
}

void CellAllocations::charge(const Placement& placement, const SignedResources& perTask, int sign)
{
    for (const auto& share : placement) {
        auto& workerCells = m_workerCells[share.worker];
        const auto it = std::ranges::find(workerCells, share.cell, &WorkerCell::cell);
        it->used += perTask * (sign * static_cast<std::int32_t>(share.tasks));
        m_cells[share.cell].charged += static_cast<std::uint32_t>(sign) * share.tasks;
    }
}

void CellAllocations::dischargeAll()
{
    for (auto& cell : m_cells)
        cell.charged = 0;
    for (auto& workerCells : m_workerCells)
        std::ranges::for_each(workerCells, [](WorkerCell& it) { it.used = {}; });
}

SignedResources CellAllocations::uncharged(Index cell, Index worker) const
{
    if (worker >= m_workerCells.size())
        return SignedResources::unavailable();
    const auto& workerCells = m_workerCells[worker];
    const auto it = std::ranges::find(workerCells, cell, &WorkerCell::cell);
    return it == workerCells.end() ? SignedResources::unavailable() : it->reserved - it->used;
}

Placement CellAllocations::assignCells(
    Index workspace, const Placement& placement, const SignedResources& perTask) const
{
    for (const auto cell : cellsOf(workspace)) {
        auto charged = assignCellsFrom({ cell }, placement, perTask);
        if (!charged.empty())
            return charged;
    }
    return assignCellsFrom(cellsOf(workspace), placement, perTask);
}

Placement CellAllocations::assignCellsFrom(
    const std::vector<Index>& cells, const Placement& placement, const SignedResources& perTask) const
{
    Placement charged;
    for (const auto& share : placement) {
        auto left = share.tasks;
        for (const auto cell : cells) {
            const auto tasks = uncharged(cell, share.worker).countTasks(perTask, left);
            if (tasks > 0)
                charged.push_back({ share.worker, tasks, cell });
            left -= tasks;
        }
        if (left > 0)
            return {};
    }
    return charged;
}

std::vector<Index> CellAllocations::cellsOn(Index worker) const
{
    std::vector<Index> found;
    if (worker < m_workerCells.size())
        std::ranges::transform(m_workerCells[worker], std::back_inserter(found), &WorkerCell::cell);
    return found;
}

std::vector<Index> CellAllocations::workersOf(Index workspace) const
{
    std::vector<Index> workers;
    for (const auto cell : cellsOf(workspace)) {
        for (const auto& share : m_cells[cell].placement)
            workers.push_back(share.worker);
    }
    std::ranges::sort(workers);
    workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
    return workers;
}

std::vector<Index> CellAllocations::unplacedCells() const
{
    std::vector<Index> found;
    for (Index it = 0; it < m_cells.size(); ++it) {
        if (m_cells[it].placement.empty())
            found.push_back(it);
    }
    const auto difficulty = [&](Index it) {
        const auto& shape = m_cells[it].shape;
        const auto tasks = static_cast<std::int64_t>(shape.tasks);
        return std::tuple(-tasks * shape.perTask.accelerators, -tasks * shape.perTask.cores, shape.adjacency, it);
    };
    std::ranges::sort(found, {}, difficulty);
    return found;
}

const std::vector<Index>& CellAllocations::cellsOf(Index workspace) const
{
    static const std::vector<Index> none;
    return workspace < m_byWorkspace.size() ? m_byWorkspace[workspace] : none;
}

void CellAllocations::reserve(const Topology& topology, Index cell, int sign)
{
    for (const auto& share : m_cells[cell].placement) {
        if (share.worker >= m_workerCells.size())
            m_workerCells.resize(topology.workers().size());
        auto& workerCells = m_workerCells[share.worker];
        if (sign > 0)
            workerCells.push_back({ cell, m_cells[cell].shape.perTask * static_cast<std::int32_t>(share.tasks), {} });
        else
            std::erase_if(workerCells, [&](const WorkerCell& it) { return it.cell == cell; });
        updateUnreserved(topology, share.worker);
    }
}

void CellAllocations::updateUnreserved(const Topology& topology, Index worker)
{
    auto unreserved = m_capacity[worker];
    if (worker < m_workerCells.size() && unreserved != SignedResources::unavailable()) {
        for (const auto& it : m_workerCells[worker])
            unreserved -= it.reserved;
    }
    m_unreserved.set(topology, worker, unreserved);
}

}
