#include "review/standin/case.h"

using namespace review;

namespace {

/*! @brief While the others are busy, an executor answers each start with 503 for 6.5 s. */
int queueCount()
{
    auto& world = *new World { 3, 7 };
    if (!world.start())
        return 2;
    for (unsigned i = 0; i < 6; ++i) {
        if (world.submit(id(i), { Step { 1, 60000, 1000, 0, 30000 } }, "plan") != 200)
            return 2;
    }
    World::sleep(2000);
    std::size_t idle = 0;
    while (idle < world.executors.size() && world.executors[idle]->running() > 0)
        ++idle;
    if (idle == world.executors.size())
        return 2;
    if (hasTrouble())
        world.executors[idle]->setShedding(true);
    const auto begun = nowMs();
    for (unsigned i = 10; i < 14; ++i) {
        if (world.submit(id(i), { Step { 2, 6000, 1000, 0, 5000, true } }, "plan") != 200)
            return 2;
    }
    std::size_t wrong = 0;
    while (nowMs() - begun < 6500) {
        wrong += world.countWrongQueueCounts();
        World::sleep(300);
    }
    if (hasTrouble())
        world.executors[idle]->setShedding(false);
    World::sleep(5000);
    wrong += world.countWrongQueueCounts();
    return verdict("MIXED", wrong);
}

const Registration queueCountCase { "queue-count", queueCount };

}
