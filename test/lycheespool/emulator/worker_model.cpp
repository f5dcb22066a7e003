#include "lycheespool/emulator/worker_model.h"

#include "lycheespool/core/error.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

constexpr Resources capacity { 60, 128000, 8 };
const TimePoint begin { 1h };

TaskStart makeStart(std::uint32_t task, std::uint32_t accelerators = 4)
{
    return { { JobId { "j" }, Attempt { 1 }, task }, { 4, 1000, accelerators }, 100s, 30s, 10s };
}

TaskKey key(std::uint32_t task) { return makeStart(task).key; }

}

// Guards against a task that goes on after its lease, which would let two attempts of a job run at once.
TEST_CASE("a task whose lease expires is checkpointed and stopped at the end of the lease")
{
    WorkerModel worker { capacity };
    worker.start(makeStart(0), begin);
    worker.renew(30s, begin + 20s);
    CHECK((worker.list(begin + 49s).at(0).state == TaskState::running));
    worker.renew(30s, begin + 50s);
    const auto task = worker.list(begin + 60s).at(0);
    CHECK((task.state == TaskState::stopped));
    CHECK(task.progress == 60s);
    CHECK(task.checkpoint == 60s);
}

// Guards against more tasks than the worker has room for.
TEST_CASE("a task that exceeds the free capacity is refused")
{
    WorkerModel worker { capacity };
    worker.start(makeStart(0), begin);
    worker.start(makeStart(1), begin);
    worker.start(makeStart(1), begin);
    CHECK_THROWS_AS(worker.start(makeStart(2, 1), begin), Error);
    worker.stop(key(0), begin);
    worker.start(makeStart(2, 1), begin);
    CHECK(worker.list(begin).size() == 2);
}

// Guards against progress that is lost or invented by a checkpoint, a throttle or a restart from a checkpoint.
TEST_CASE("progress counts from the checkpoint and with the throttled speed")
{
    WorkerModel worker { capacity };
    worker.start(makeStart(0), begin);
    worker.throttle(key(0), 50, begin + 10s);
    CHECK(worker.checkpoint(key(0), begin + 20s) == 25s);
    worker.renew(300s, begin + 20s);
    CHECK((worker.list(begin + 169s).at(0).state == TaskState::running));
    CHECK((worker.list(begin + 170s).at(0).state == TaskState::done));
    CHECK_THROWS_AS(worker.start(makeStart(0), begin + 171s), Error);
}

// Guards against an emulator whose faults do nothing, on which the failure tests rest.
TEST_CASE("faults take effect")
{
    WorkerModel worker { capacity };
    worker.start(makeStart(0), begin);
    worker.setFaults({ true, true, true, 500 }, begin + 5s);
    worker.start(makeStart(1), begin + 5s);
    const auto tasks = worker.list(begin + 10s);
    CHECK(tasks.at(0).progress == 15s);
    CHECK(tasks.at(0).usage.cores == 20);
    CHECK((tasks.at(1).state == TaskState::failed));
    CHECK_THROWS_AS((void)worker.checkpoint(key(0), begin + 10s), Error);
    CHECK(worker.list(begin + 31s).at(0).checkpoint == 10s);
}

// Guards against usage that is known at once; the platform reports it late.
TEST_CASE("usage is reported with a lag")
{
    WorkerModel worker { capacity };
    worker.start(makeStart(0), begin);
    CHECK(worker.list(begin + 9s).at(0).usage == Resources {});
    CHECK(worker.list(begin + 10s).at(0).usage == Resources { 4, 1000, 4 });
}
