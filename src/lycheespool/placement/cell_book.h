#pragma once

#include "lycheespool/placement/guarantee.h"
#include "lycheespool/placement/room_index.h"

#include <vector>

namespace lycheespool {

/**
 * @brief Maps every guaranteed cell to workers, so that all of them can be claimed at once.
 *
 * The cells on a worker never exceed its capacity. Work inside a guarantee is charged to the cells of its workspace on
 * the worker where it runs; all other work is borrowed and leaves the mapping as it is. So evicting borrowed work
 * always frees the uncharged part of every cell.
 */
class CellBook {
public:
    /*! @brief One guaranteed cell; it has no place while the capacity cannot hold it. */
    struct Cell {
        Index workspace { noIndex };
        GangShape shape;
        Placement place;
        /*! @brief Number of tasks charged to the cell. */
        std::uint32_t charged { 0 };
    };

    /**
     * @brief Replaces the cells; one that is in both lists keeps its place. No work may be charged to any.
     * @param topology The topology.
     * @param cells The new cells, without places.
     */
    void replaceCells(const Topology& topology, std::vector<Cell> cells);

    /**
     * @brief Sets the capacity of a worker.
     * @param topology The topology.
     * @param worker A worker; no cell is placed there when its capacity shrinks.
     * @param capacity The capacity, or Amount::none() when it takes no work.
     */
    void offer(const Topology& topology, Index worker, const Amount& capacity);

    /**
     * @brief Places a cell.
     * @param topology The topology.
     * @param cell A cell without place.
     * @param place Workers with enough unreserved capacity.
     */
    void bind(const Topology& topology, Index cell, Placement place);

    /**
     * @brief Takes a cell from its workers.
     * @param topology The topology.
     * @param cell The cell.
     */
    void unbind(const Topology& topology, Index cell);

    /**
     * @brief Charges or discharges work.
     * @param place Where the work runs, with the cell of each share.
     * @param perTask Need of one task.
     * @param sign 1 to charge, -1 to discharge.
     */
    void charge(const Placement& place, const Amount& perTask, int sign);

    /*! @brief Discharges all work. */
    void dischargeAll();

    /**
     * @brief Gives the uncharged part of a cell on a worker.
     * @param cell The cell.
     * @param worker The worker.
     * @return The amount, Amount::none() when the cell is not there.
     */
    [[nodiscard]] Amount spare(Index cell, Index worker) const;

    /**
     * @brief Finds cells of a workspace to which work can be charged where it runs; one cell is preferred to several.
     * @param workspace The workspace.
     * @param place Where the work runs.
     * @param perTask Need of one task.
     * @return The place with the cell of each share, or nothing.
     */
    [[nodiscard]] Placement cover(Index workspace, const Placement& place, const Amount& perTask) const;

    /**
     * @brief Tells whether a cell has a place and no work is charged to it.
     * @param cell The cell.
     * @return True when it can move.
     */
    [[nodiscard]] bool movable(Index cell) const { return !m_cells[cell].place.empty() && m_cells[cell].charged == 0; }

    /**
     * @brief Lists the cells that touch a worker.
     * @param worker The worker.
     * @return Cells of all workspaces.
     */
    [[nodiscard]] std::vector<Index> cellsOn(Index worker) const;

    /**
     * @brief Lists the workers of a workspace's cells.
     * @param workspace The workspace.
     * @return Workers in ascending order, each once.
     */
    [[nodiscard]] std::vector<Index> workersOf(Index workspace) const;

    /**
     * @brief Lists the cells without place, the hardest to place first.
     * @return Cells in descending order of accelerators.
     */
    [[nodiscard]] std::vector<Index> missing() const;

    [[nodiscard]] const std::vector<Cell>& cells() const { return m_cells; }
    [[nodiscard]] const std::vector<Index>& cellsOf(Index workspace) const;
    [[nodiscard]] const RoomIndex& unreserved() const { return m_unreserved; }

private:
    struct Holding {
        Index cell { noIndex };
        Amount reserved;
        Amount used;
    };

    [[nodiscard]] Placement coverBy(
        const std::vector<Index>& cells, const Placement& place, const Amount& perTask) const;
    void reserve(const Topology& topology, Index cell, int sign);
    void refresh(const Topology& topology, Index worker);
    [[nodiscard]] Placement takePlaceOf(std::vector<Cell>& old, const Cell& cell) const;

    std::vector<Cell> m_cells;
    std::vector<std::vector<Index>> m_byWorkspace;
    std::vector<std::vector<Holding>> m_holdings;
    std::vector<Amount> m_capacity;
    RoomIndex m_unreserved;
};

}
