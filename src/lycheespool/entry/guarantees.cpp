#include "lycheespool/entry/guarantees.h"

#include <algorithm>
#include <iterator>

namespace lycheespool {

namespace {

Adjacency toAdjacency(CellAdjacency adjacency)
{
    switch (adjacency) {
    case CellAdjacency::worker:
        return Adjacency::worker;
    case CellAdjacency::rack:
        return Adjacency::rack;
    case CellAdjacency::zone:
        return Adjacency::zone;
    }
    return Adjacency::zone;
}

GuaranteedCell toGuaranteedCell(const CellSettings& settings)
{
    GuaranteedCell cell;
    cell.adjacency = toAdjacency(settings.adjacency);
    cell.perTask = { settings.cores, settings.memoryMiB, settings.accelerators };
    cell.tasks = settings.tasks;
    return cell;
}

}

Guarantees toGuarantees(const Document& document)
{
    Guarantees guarantees;
    for (const auto& [id, workspace] : document.workspaces)
        std::ranges::transform(workspace.guarantees, std::back_inserter(guarantees[id]), toGuaranteedCell);
    return guarantees;
}

}
