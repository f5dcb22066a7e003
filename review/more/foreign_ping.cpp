#include "review/standin/case.h"

using namespace review;

namespace {

/*! @brief A ping of another writer arrives, which names a service that the config does not have. */
int foreignPing()
{
    auto& world = *new World { 3, 4 };
    if (!world.start())
        return 2;
    for (unsigned i = 0; i < 3; ++i) {
        if (world.submit(id(i), { Step { 1, 40000, 1000, 0, 12000 } }, "plan") != 200)
            return 2;
    }
    World::sleep(3000);
    const auto victim = busyExecutor(world);
    if (victim == world.executors.size())
        return 2;
    if (hasTrouble()) {
        const auto& place = world.executors[victim]->place();
        const Json body { { "service", "svc-of-others" }, { "addr", place.ip + ":8099" }, { "zone", place.zone },
            { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldRemainingMs", 0 },
            { "capacity", { { "cpu", 64000 }, { "memMb", 262144 }, { "gpu", 8 } } }, { "labels", place.labels },
            { "clockMs", 5000 }, { "seq", 1 }, { "born", unixMs() } };
        const auto reply
            = call(place.ip, place.controlPort, "POST", "/v1/instances/i-77aa11bb/heartbeat", body.dump(), {}, Ms { 1000 });
        record.line("ping of i-77aa11bb of service svc-of-others at %s: %u", place.node.c_str(), reply ? reply->first : 0);
    }
    World::sleep(25000);
    return verdict("TWICE", world.countTasksRunTwice());
}

const Registration foreignPingCase { "foreign-ping", foreignPing };

}
