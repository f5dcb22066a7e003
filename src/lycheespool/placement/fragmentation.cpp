#include "lycheespool/placement/fragmentation.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace lycheespool {

namespace {

using GroupKey = std::pair<Index, Index>;

GroupKey adjacencyGroup(const std::vector<WorkerFreeCapacity>& workers, std::size_t worker, Adjacency adjacency)
{
    const auto& it = workers[worker];
    if (adjacency == Adjacency::zone)
        return { it.zone, noIndex };
    return { it.zone, adjacency == Adjacency::rack ? it.rack : static_cast<Index>(worker) };
}

void markUsable(
    const std::vector<WorkerFreeCapacity>& workers, const GangShape& shape, std::vector<std::int32_t>& usable)
{
    std::map<GroupKey, std::uint32_t> tasks;
    for (std::size_t it = 0; it < workers.size(); ++it)
        tasks[adjacencyGroup(workers, it, shape.adjacency)]
            += workers[it].capacity.countTasks(shape.perTask, maxOfferTasks);
    for (std::size_t it = 0; it < workers.size(); ++it) {
        if (tasks[adjacencyGroup(workers, it, shape.adjacency)] < shape.tasks)
            continue;
        const auto here = static_cast<std::int32_t>(workers[it].capacity.countTasks(shape.perTask, maxOfferTasks));
        usable[it] = std::max(usable[it], here * shape.perTask.accelerators);
    }
}

}

double fragmentation(const std::vector<WorkerFreeCapacity>& workers, const std::vector<GangShape>& shapes)
{
    std::vector<std::int32_t> usable(workers.size());
    for (const auto& shape : shapes)
        markUsable(workers, shape, usable);
    std::int64_t free = 0;
    for (const auto& it : workers)
        free += std::max(it.capacity.accelerators, 0);
    if (free == 0 || shapes.empty())
        return 0;
    const auto sum = std::accumulate(usable.begin(), usable.end(), std::int64_t { 0 });
    return 1 - static_cast<double>(sum) / static_cast<double>(free);
}

}
