#include "lycheespool/placement/guarantee_validation.h"

#include "lycheespool/core/error.h"
#include "lycheespool/placement/planner.h"

#include <fmt/format.h>

namespace lycheespool {

std::vector<Shortfall> findShortfalls(const Guarantees& guarantees, const std::vector<WorkerSpec>& capacity)
{
    Planner planner;
    for (const auto& worker : capacity)
        planner.workerJoined(worker, {});
    planner.setGuarantees(guarantees, {});
    return planner.shortfalls();
}

void validateGuarantees(const Guarantees& guarantees)
{
    for (const auto& [workspace, cells] : guarantees) {
        for (const auto& cell : cells) {
            if (cell.tasks == 0 || cell.tasks > maxGangTasks)
                throw Error(ErrorKind::invalidArgument,
                    fmt::format("a guaranteed cell of workspace {} has {} tasks", workspace.value(), cell.tasks),
                    fmt::format("use 1 to {} tasks per cell", maxGangTasks));
        }
    }
}

}
