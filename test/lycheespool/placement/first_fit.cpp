#include "lycheespool/placement/first_fit.h"

#include <doctest/doctest.h>

using namespace lycheespool;

namespace {

WorkerSpec makeWorker(const std::string& id, const std::string& zone, const std::string& rack)
{
    return { WorkerId { id }, ZoneId { zone }, RackId { rack }, { 60, 128000, 8 } };
}

JobSpec makeJob(const std::string& id, std::uint32_t tasks, std::uint32_t accelerators)
{
    JobSpec spec;
    spec.id = JobId { id };
    spec.tasks = tasks;
    spec.perTask = { 4, 1000, accelerators };
    return spec;
}

}

// Guards against starting only some of the tasks of a gang.
TEST_CASE("a gang is placed whole or not at all")
{
    FirstFit policy;
    const TimePoint now {};
    policy.workerJoined(makeWorker("w1", "z1", "r1"), now);
    policy.submit(makeJob("j1", 4, 4), now);
    CHECK(policy.plan(now).empty());
    policy.workerJoined(makeWorker("w2", "z2", "r2"), now);
    CHECK(policy.plan(now).empty());
    policy.workerJoined(makeWorker("w3", "z1", "r1"), now);
    const auto decisions = policy.plan(now);
    REQUIRE(decisions.size() == 1);
    CHECK(std::get<StartGang>(decisions[0]).workers.size() == 4);
}

// Guards against a start in a zone that is out of service.
TEST_CASE("nothing is placed in a zone that is out of service")
{
    FirstFit policy;
    const TimePoint now {};
    policy.workerJoined(makeWorker("w1", "z1", "r1"), now);
    policy.setZoneOutOfService(ZoneId { "z1" }, true, now);
    policy.submit(makeJob("j1", 1, 1), now);
    CHECK(policy.plan(now).empty());
    policy.setZoneOutOfService(ZoneId { "z1" }, false, now);
    CHECK(policy.plan(now).size() == 1);
}
