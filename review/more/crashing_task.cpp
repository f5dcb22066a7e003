#include "review/standin/case.h"

using namespace review;

namespace {

/*! @brief A task crashes each executor that starts it, 3 s after its start; the executor is back after 3 s. */
int crashingTask()
{
    auto& world = *new World { 3, 6 };
    if (!world.start())
        return 2;
    // The task would end 10 s after its start.
    if (world.submit(id(1), { Step { 1, 8000, 1000, 0, 10000 } }, "plan") != 200)
        return 2;
    constexpr long crashAfterMs = 3000;
    constexpr long backAfterMs = 3000;
    const auto task = id(1) + ".0.0.0";
    std::map<std::size_t, long> backAt;
    unsigned nextId = 10;
    std::size_t crashes = 0;
    std::size_t startsAfterThree = 0;
    std::size_t seenStarts = 0;
    for (const auto until = nowMs() + 50000; nowMs() < until; World::sleep(20)) {
        std::shared_ptr<Run> last;
        std::size_t starts = 0;
        {
            const std::scoped_lock lock { world.seen.mutex };
            const auto& runs = world.seen.runs[task];
            starts = runs.size();
            if (!runs.empty())
                last = runs.back();
        }
        if (starts > seenStarts && crashes >= 3)
            startsAfterThree += starts - seenStarts;
        seenStarts = starts;
        for (std::size_t i = 0; hasTrouble() && last && i < world.executors.size(); ++i) {
            auto& executor = *world.executors[i];
            if (!executor.isUp() || executor.id() != last->executor || last->endedMs >= 0
                || nowMs() - last->startedMs < crashAfterMs)
                continue;
            ++crashes;
            record.line("%s crashes its executor, crash %zu", task.c_str(), crashes);
            executor.crash();
            backAt[i] = nowMs() + backAfterMs;
        }
        for (auto it = backAt.begin(); it != backAt.end();) {
            if (nowMs() < it->second) {
                ++it;
                continue;
            }
            world.executors[it->first]->start("i-7f3a92" + std::to_string(nextId++));
            it = backAt.erase(it);
        }
    }
    record.line("%zu crashes, started %zu times more after the third, shown as %s", crashes, startsAfterThree,
        world.state(id(1)).c_str());
    return verdict("BUDGET", startsAfterThree >= 3 ? startsAfterThree : 0);
}

const Registration crashingTaskCase { "crashing-task", crashingTask };

}
