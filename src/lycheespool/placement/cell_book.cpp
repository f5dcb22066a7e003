#include "lycheespool/placement/cell_book.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace lycheespool {

void CellBook::replaceCells(const Topology& topology, std::vector<Cell> cells)
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
        cell.place = takePlaceOf(old, cell);
        reserve(topology, it, 1);
    }
}

Placement CellBook::takePlaceOf(std::vector<Cell>& old, const Cell& cell) const
{
    const auto same = std::ranges::find_if(old,
        [&](const Cell& it) { return !it.place.empty() && it.workspace == cell.workspace && it.shape == cell.shape; });
    return same == old.end() ? Placement {} : std::exchange(same->place, {});
}

void CellBook::offer(const Topology& topology, Index worker, const Amount& capacity)
{
    if (worker >= m_capacity.size())
        m_capacity.resize(topology.workers().size(), Amount::none());
    m_capacity[worker] = capacity;
    refresh(topology, worker);
}

void CellBook::bind(const Topology& topology, Index cell, Placement place)
{
    m_cells[cell].place = std::move(place);
    reserve(topology, cell, 1);
}

void CellBook::unbind(const Topology& topology, Index cell)
{
    reserve(topology, cell, -1);
    m_cells[cell].place.clear();
}

void CellBook::charge(const Placement& place, const Amount& perTask, int sign)
{
    for (const auto& share : place) {
        auto& held = m_holdings[share.worker];
        const auto it = std::ranges::find(held, share.cell, &Holding::cell);
        it->used += perTask * (sign * static_cast<std::int32_t>(share.tasks));
        m_cells[share.cell].charged += static_cast<std::uint32_t>(sign) * share.tasks;
    }
}

void CellBook::dischargeAll()
{
    for (auto& cell : m_cells)
        cell.charged = 0;
    for (auto& held : m_holdings)
        std::ranges::for_each(held, [](Holding& it) { it.used = {}; });
}

Amount CellBook::spare(Index cell, Index worker) const
{
    if (worker >= m_holdings.size())
        return Amount::none();
    const auto& held = m_holdings[worker];
    const auto it = std::ranges::find(held, cell, &Holding::cell);
    return it == held.end() ? Amount::none() : it->reserved - it->used;
}

Placement CellBook::cover(Index workspace, const Placement& place, const Amount& perTask) const
{
    for (const auto cell : cellsOf(workspace)) {
        auto covered = coverBy({ cell }, place, perTask);
        if (!covered.empty())
            return covered;
    }
    return coverBy(cellsOf(workspace), place, perTask);
}

Placement CellBook::coverBy(const std::vector<Index>& cells, const Placement& place, const Amount& perTask) const
{
    Placement covered;
    for (const auto& share : place) {
        auto left = share.tasks;
        for (const auto cell : cells) {
            const auto tasks = spare(cell, share.worker).tasks(perTask, left);
            if (tasks > 0)
                covered.push_back({ share.worker, tasks, cell });
            left -= tasks;
        }
        if (left > 0)
            return {};
    }
    return covered;
}

std::vector<Index> CellBook::cellsOn(Index worker) const
{
    std::vector<Index> found;
    if (worker < m_holdings.size())
        std::ranges::transform(m_holdings[worker], std::back_inserter(found), &Holding::cell);
    return found;
}

std::vector<Index> CellBook::workersOf(Index workspace) const
{
    std::vector<Index> workers;
    for (const auto cell : cellsOf(workspace)) {
        for (const auto& share : m_cells[cell].place)
            workers.push_back(share.worker);
    }
    std::ranges::sort(workers);
    workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
    return workers;
}

std::vector<Index> CellBook::missing() const
{
    std::vector<Index> found;
    for (Index it = 0; it < m_cells.size(); ++it) {
        if (m_cells[it].place.empty())
            found.push_back(it);
    }
    const auto hardness = [&](Index it) {
        const auto& shape = m_cells[it].shape;
        const auto tasks = static_cast<std::int64_t>(shape.tasks);
        return std::tuple(-tasks * shape.perTask.accelerators, -tasks * shape.perTask.cores, shape.adjacency, it);
    };
    std::ranges::sort(found, {}, hardness);
    return found;
}

const std::vector<Index>& CellBook::cellsOf(Index workspace) const
{
    static const std::vector<Index> none;
    return workspace < m_byWorkspace.size() ? m_byWorkspace[workspace] : none;
}

void CellBook::reserve(const Topology& topology, Index cell, int sign)
{
    for (const auto& share : m_cells[cell].place) {
        if (share.worker >= m_holdings.size())
            m_holdings.resize(topology.workers().size());
        auto& held = m_holdings[share.worker];
        if (sign > 0)
            held.push_back({ cell, m_cells[cell].shape.perTask * static_cast<std::int32_t>(share.tasks), {} });
        else
            std::erase_if(held, [&](const Holding& it) { return it.cell == cell; });
        refresh(topology, share.worker);
    }
}

void CellBook::refresh(const Topology& topology, Index worker)
{
    auto room = m_capacity[worker];
    if (worker < m_holdings.size() && room != Amount::none()) {
        for (const auto& held : m_holdings[worker])
            room -= held.reserved;
    }
    m_unreserved.set(topology, worker, room);
}

}
