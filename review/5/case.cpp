#include "review/standin/case.h"

using namespace review;

namespace {

/*! @brief A large job comes whose tasks all fit at once; its row grows beyond what the store takes. */
int largeRow()
{
    auto& world = *new World { 3, 3 };
    if (!world.start())
        return 2;
    if (hasTrouble() && world.submit(id(1), { Step { 1400, 100, 100, 0, 4000 } }, "plan") != 200)
        return 2;
    World::sleep(2000);
    for (unsigned i = 2; i < 5; ++i) {
        if (world.submit(id(i), { Step { 2, 1000, 1000, 0, 3000 } }, "plan") != 200)
            return 2;
    }
    return verdict("LOST", world.watchForLostJobs(20000));
}

const Registration largeRowCase { "large-row", largeRow };

}
