#include "review/standin/case.h"

using namespace review;

namespace {

/*! @brief An executor is cut off just after it has listed the first 500 of its ends. */
int manyEnds()
{
    auto& world = *new World { 3, 6 };
    static std::atomic<int> listed { -1 };
    for (std::size_t i = 0; i < world.executors.size(); ++i) {
        world.executors[i]->onListed = [i](std::size_t ends) {
            if (ends == Executor::endsPerList)
                listed = static_cast<int>(i);
        };
    }
    if (!world.start())
        return 2;
    if (world.submit(id(1), { Step { 630, 100, 100, 0, 5000 } }, "plan") != 200)
        return 2;
    for (int k = 0; k < 400 && listed < 0; ++k)
        World::sleep(50);
    if (listed < 0)
        return 2;
    auto& executor = *world.executors[static_cast<std::size_t>(listed.load())];
    if (hasTrouble()) {
        World::sleep(100);
        executor.setCut(true);
        World::sleep(3000);
        executor.setCut(false);
    }
    (void)world.waitForCompletion(30000);
    World::sleep(2000);
    return verdict("TWICE", world.countTasksRunTwice());
}

const Registration manyEndsCase { "many-ends", manyEnds };

}
