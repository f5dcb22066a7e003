#pragma once

#include "lycheespool/placement/capacity_index.h"
#include "lycheespool/placement/guarantee.h"

#include <vector>

namespace lycheespool {

/**
 * @brief Maps every guaranteed cell to workers, so that all cells can be claimed at the same time.
 *
 * The cells on a worker never exceed its capacity. Work inside a guarantee is charged to the cells of its workspace on
 * the worker where it runs; all other work is borrowed and does not affect the mapping. Evicting borrowed work
 * therefore always frees the uncharged part of every cell.
 */
class CellAllocations {
public:
    /*! @brief One guaranteed cell; its placement is empty while the capacity cannot hold it. */
    struct Cell {
        Index workspace { noIndex };
        GangShape shape;
        Placement placement;
        /*! @brief Number of tasks charged to the cell. */
        std::uint32_t charged { 0 };
    };

    /**
     * @brief Replaces the cells; a cell in both lists keeps its placement. No work may be charged to any cell.
     * @param topology The topology.
     * @param cells The new cells, without placements.
     */
    void replaceCells(const Topology& topology, std::vector<Cell> cells);

    /**
     * @brief Sets the capacity of a worker.
     * @param topology The topology.
     * @param worker A worker; it must hold no cell when its capacity shrinks.
     * @param capacity The capacity, or SignedResources::unavailable() when the worker accepts no work.
     */
    void setCapacity(const Topology& topology, Index worker, const SignedResources& capacity);

    /**
     * @brief Binds a cell to workers.
     * @param topology The topology.
     * @param cell A cell without placement.
     * @param placement Workers with enough unreserved capacity.
     */
    void bind(const Topology& topology, Index cell, Placement placement);

    /**
     * @brief Removes a cell from its workers.
     * @param topology The topology.
     * @param cell The cell.
     */
    void unbind(const Topology& topology, Index cell);

    /**
     * @brief Charges or discharges work.
     * @param placement Placement of the work, with the cell of each share.
     * @param perTask Resources of one task.
     * @param sign 1 to charge, -1 to discharge.
     */
    void charge(const Placement& placement, const SignedResources& perTask, int sign);

    /*! @brief Discharges all work. */
    void dischargeAll();

    /**
     * @brief Returns the uncharged part of a cell on a worker.
     * @param cell The cell.
     * @param worker The worker.
     * @return The uncharged resources, or SignedResources::unavailable() when the cell is not on the worker.
     */
    [[nodiscard]] SignedResources uncharged(Index cell, Index worker) const;

    /**
     * @brief Finds cells of a workspace to which running work can be charged; one cell is preferred to several.
     * @param workspace The workspace.
     * @param placement Placement of the work.
     * @param perTask Resources of one task.
     * @return The placement with the cell of each share; empty when the cells do not suffice.
     */
    [[nodiscard]] Placement assignCells(
        Index workspace, const Placement& placement, const SignedResources& perTask) const;

    /**
     * @brief Checks if a cell has a placement and no work is charged to it.
     * @param cell The cell.
     * @return True when it can move.
     */
    [[nodiscard]] bool movable(Index cell) const
    {
        return !m_cells[cell].placement.empty() && m_cells[cell].charged == 0;
    }

    /**
     * @brief Lists the cells that hold capacity on a worker.
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
     * @brief Lists the cells without placement, the hardest to place first.
     * @return Cells in descending order of accelerators.
     */
    [[nodiscard]] std::vector<Index> unplacedCells() const;

    [[nodiscard]] const std::vector<Cell>& cells() const { return m_cells; }
    [[nodiscard]] const std::vector<Index>& cellsOf(Index workspace) const;
    [[nodiscard]] const CapacityIndex& unreserved() const { return m_unreserved; }

private:
    struct WorkerCell {
        Index cell { noIndex };
        SignedResources reserved;
        SignedResources used;
    };

    [[nodiscard]] Placement assignCellsFrom(
        const std::vector<Index>& cells, const Placement& placement, const SignedResources& perTask) const;
    void reserve(const Topology& topology, Index cell, int sign);
    void updateUnreserved(const Topology& topology, Index worker);
    [[nodiscard]] Placement takeMatchingPlacement(std::vector<Cell>& old, const Cell& cell) const;

    std::vector<Cell> m_cells;
    std::vector<std::vector<Index>> m_byWorkspace;
    std::vector<std::vector<WorkerCell>> m_workerCells;
    std::vector<SignedResources> m_capacity;
    CapacityIndex m_unreserved;
};

}
