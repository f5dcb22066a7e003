#include "review/standin/case.h"

using namespace review;

namespace {

/*! @brief A job comes whose number of tasks overflows; processes that end are started again after 0.5 s. */
int hugeCount()
{
    auto& world = *new World { 3, 2 };
    if (!world.start())
        return 2;
    const Step step { 2147483647, 1000, 100, 0, 1000 };
    const auto body = [&] {
        // 4 steps of 2^31 tasks, 2^31 times.
        Json json { { "spec", "plan" }, { "steps", Json::array() }, { "maxRuns", 2147483648LL } };
        for (int i = 0; i < 4; ++i)
            json["steps"].push_back({ { "count", 2147483648LL }, { "cpu", step.cpu }, { "memMb", step.memMb } });
        return json.dump();
    }();
    if (hasTrouble()) {
        const auto status = world.submitBody(id(1), body);
        record.line("job %s with 2^33 tasks, 2^31 times: %u", id(1).c_str(), status);
    }
    std::size_t ends = 0;
    std::map<Process*, long> restartAt;
    for (const auto until = nowMs() + 20000; nowMs() < until; World::sleep(50)) {
        for (auto& it : world.gateways) {
            if (it->hasEnded()) {
                ++ends;
                restartAt[it.get()] = nowMs() + 500;
            }
            const auto due = restartAt.find(it.get());
            if (due != restartAt.end() && nowMs() >= due->second) {
                it->start();
                restartAt.erase(due);
            }
        }
    }
    return verdict("Fault", ends);
}

const Registration hugeCountCase { "huge-count", hugeCount };

}
