#include "lycheespool/agent/worker_tasks.h"

#include "lycheespool/emulator/direct_worker.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    Fixture()
    {
        clock.advance(1h);
        restart(Incarnation { 7 });
        reply(5);
    }

    void restart(Incarnation incarnation)
    {
        settings.incarnation = incarnation;
        tasks = std::make_unique<Tasks>(settings, worker, metrics, SharedClock { &clock });
        run(tasks->tick());
    }

    void run(Awaitable<> operation)
    {
        asio::co_spawn(context, std::move(operation), asio::detached);
        context.restart();
        context.poll();
    }

    OrderReply execute(const Order& order)
    {
        OrderReply result;
        run([](Tasks& agent, Order copy, OrderReply& to) -> Awaitable<> { to = co_await agent.execute(copy); }(
                                                             *tasks, order, result));
        return result;
    }

    void reply(std::uint64_t epoch, std::vector<ZoneId> zonesOut = {}, std::uint64_t ageMs = 0)
    {
        HeartbeatReply answer;
        answer.epoch = Epoch { epoch };
        answer.freshness = { Revision { 3 }, ageMs, std::move(zonesOut) };
        tasks->received(answer, clock.now());
        run(tasks->renewLeases());
    }

    Order order(OrderKind kind, std::uint64_t attempt = 1) const
    {
        Order made;
        made.epoch = Epoch { 5 };
        made.incarnation = settings.incarnation;
        made.kind = kind;
        made.job = JobId { "j" };
        made.attempt = Attempt { attempt };
        made.tasks = { 0, 1 };
        made.coresPerTask = 4;
        made.memoryMiBPerTask = 1000;
        made.acceleratorsPerTask = 4;
        made.runTimeMs = 3'600'000;
        made.revision = Revision { 3 };
        return made;
    }

    void startTwoTasks()
    {
        REQUIRE(execute(order(OrderKind::reserve)).accepted);
        REQUIRE(execute(order(OrderKind::start)).accepted);
    }

    using Tasks = WorkerTasks<DirectWorker, SharedClock>;

    asio::io_context context;
    ManualClock clock;
    Metrics metrics;
    WorkerModel model { { 60, 128000, 8 } };
    DirectWorker worker { model, SharedClock { &clock } };
    WorkerSettings settings { AgentId { "w1" }, Incarnation { 7 }, ZoneId { "z1" }, RackId { "r1" },
        { 60, 128000, 8 } };
    std::unique_ptr<Tasks> tasks;
};

}

// Guards against an order to a previous incarnation that takes effect on a restarted agent, which has lost its state.
TEST_CASE("a restarted agent refuses orders to its previous incarnation")
{
    Fixture fixture;
    REQUIRE(fixture.execute(fixture.order(OrderKind::reserve)).accepted);
    const auto start = fixture.order(OrderKind::start);
    fixture.restart(Incarnation { 8 });
    fixture.reply(5);
    CHECK(fixture.execute(start).reason.find("another incarnation") != std::string::npos);
    CHECK(fixture.model.list(fixture.clock.now()).empty());
}

// Guards against a deposed leader whose delayed orders still take effect.
TEST_CASE("an order of a lower epoch than the highest received one is refused")
{
    Fixture fixture;
    REQUIRE(fixture.execute(fixture.order(OrderKind::reserve)).accepted);
    fixture.reply(6);
    CHECK(fixture.execute(fixture.order(OrderKind::start)).reason.find("epoch") != std::string::npos);
    CHECK(fixture.model.list(fixture.clock.now()).empty());
}

// Guards against a start in a zone that has been out of service for more than 3 s.
TEST_CASE("a start requires a fresh proof in which the worker's zone is in service")
{
    Fixture fixture;
    REQUIRE(fixture.execute(fixture.order(OrderKind::reserve)).accepted);
    fixture.clock.advance(2001ms);
    CHECK(fixture.execute(fixture.order(OrderKind::start)).reason.find("freshness proof") != std::string::npos);
    fixture.reply(5, {}, 2001);
    CHECK(fixture.execute(fixture.order(OrderKind::start)).reason.find("freshness proof") != std::string::npos);
    auto newer = fixture.order(OrderKind::start);
    newer.revision = Revision { 4 };
    fixture.reply(5, { ZoneId { "z1" } });
    CHECK(fixture.execute(newer).reason.find("revision") != std::string::npos);
    CHECK(fixture.execute(fixture.order(OrderKind::start)).reason.find("out of service") != std::string::npos);
    CHECK(fixture.model.list(fixture.clock.now()).empty());
}

// Guards against a start that is refused although an entry would have provided a fresh proof on request.
TEST_CASE("an additional heartbeat is requested when the proof is too old")
{
    Fixture fixture;
    REQUIRE(fixture.execute(fixture.order(OrderKind::reserve)).accepted);
    fixture.clock.advance(3s);
    fixture.tasks->setFreshnessRequest([&]() -> Awaitable<> {
        fixture.tasks->received({ Epoch { 5 }, { Revision { 3 }, 0, {} }, {} }, fixture.clock.now());
        co_return;
    });
    CHECK(fixture.execute(fixture.order(OrderKind::start)).accepted);
    CHECK(fixture.model.list(fixture.clock.now()).size() == 2);
}

// Guards against a start that is refused, which wastes the attempt, because the order arrives before the heartbeat that
// provides its document revision.
TEST_CASE("an additional heartbeat is requested when the order contains a newer revision")
{
    Fixture fixture;
    REQUIRE(fixture.execute(fixture.order(OrderKind::reserve)).accepted);
    fixture.tasks->setFreshnessRequest([&]() -> Awaitable<> {
        fixture.tasks->received({ Epoch { 5 }, { Revision { 4 }, 0, {} }, {} }, fixture.clock.now());
        co_return;
    });
    auto start = fixture.order(OrderKind::start);
    start.revision = Revision { 4 };
    CHECK(fixture.execute(start).accepted);
}

// Guards against a gang that starts late because a reservation did not expire, or twice because of a repeated order.
TEST_CASE("a reservation expires after 5 s and an abandoned attempt cannot be reserved again")
{
    Fixture fixture;
    CHECK_FALSE(fixture.execute(fixture.order(OrderKind::start)).accepted);
    REQUIRE(fixture.execute(fixture.order(OrderKind::reserve)).accepted);
    auto other = fixture.order(OrderKind::reserve);
    other.job = JobId { "k" };
    CHECK(fixture.execute(other).reason.find("capacity") != std::string::npos);
    fixture.clock.advance(5s);
    fixture.run(fixture.tasks->tick());
    fixture.reply(5);
    CHECK(fixture.execute(fixture.order(OrderKind::start)).reason.find("no reservation") != std::string::npos);
    CHECK(fixture.execute(other).accepted);
    CHECK(fixture.execute(fixture.order(OrderKind::stop)).accepted);
    CHECK(fixture.execute(fixture.order(OrderKind::reserve)).reason.find("abandoned") != std::string::npos);
}

// Guards against tasks that continue to run without contact to a leader after the leader has declared them lost.
TEST_CASE("after 30 s without a reply all tasks are checkpointed, stopped and reported")
{
    Fixture fixture;
    fixture.startTwoTasks();
    for (int i = 0; i < 29; ++i) {
        fixture.clock.advance(1s);
        fixture.run(fixture.tasks->tick());
    }
    CHECK(fixture.tasks->running() == 2);
    fixture.clock.advance(1s);
    fixture.run(fixture.tasks->tick());
    CHECK(fixture.tasks->running() == 0);
    const auto reports = fixture.tasks->reports();
    REQUIRE(reports.size() == 2);
    CHECK(reports[0].state == "stopped");
    CHECK(reports[0].checkpointMs == 30'000);
    CHECK(fixture.execute(fixture.order(OrderKind::stop)).accepted);
    CHECK(fixture.tasks->reports().empty());
}

// Guards against tasks whose leases are renewed by another entry while the leader, partitioned from the agent, declares
// them lost and starts the gang elsewhere.
TEST_CASE("replies of an entry that is not the leader do not renew leases")
{
    Fixture fixture;
    fixture.startTwoTasks();
    HeartbeatReply answer;
    answer.epoch = Epoch { 5 };
    answer.renewsLeases = false;
    for (int i = 0; i < 30; ++i) {
        fixture.clock.advance(1s);
        fixture.tasks->received(answer, fixture.clock.now());
        fixture.run(fixture.tasks->renewLeases());
        fixture.run(fixture.tasks->tick());
    }
    CHECK(fixture.tasks->running() == 0);
}

// Guards against running tasks that a new incarnation of the agent does not report, or whose leases it does not renew.
TEST_CASE("a new incarnation adopts the tasks that the worker lists")
{
    Fixture fixture;
    fixture.startTwoTasks();
    fixture.clock.advance(20s);
    fixture.restart(Incarnation { 8 });
    CHECK(fixture.tasks->isComplete());
    CHECK(fixture.tasks->reports().size() == 2);
    fixture.reply(5);
    fixture.clock.advance(20s);
    fixture.run(fixture.tasks->tick());
    CHECK(fixture.tasks->running() == 2);
}

// Guards against a partially started order: some of its tasks run although another one failed to start.
TEST_CASE("when one task fails to start, the other tasks of the order are stopped")
{
    Fixture fixture;
    REQUIRE(fixture.execute(fixture.order(OrderKind::reserve)).accepted);
    fixture.model.start({ { JobId { "foreign" }, Attempt { 1 }, 0 }, { 1, 1, 4 }, 1h, 30s, {} }, fixture.clock.now());
    CHECK_FALSE(fixture.execute(fixture.order(OrderKind::start)).accepted);
    const auto remaining = fixture.model.list(fixture.clock.now());
    REQUIRE(remaining.size() == 1);
    CHECK(remaining[0].key.job == JobId { "foreign" });
}

// Guards against tasks of an unresponsive worker that are reported as running indefinitely.
TEST_CASE("tasks of an unresponsive worker are reported as stopped after their leases have expired")
{
    Fixture fixture;
    fixture.startTwoTasks();
    fixture.worker.unreachable = true;
    for (int i = 0; i < 36; ++i) {
        fixture.clock.advance(1s);
        fixture.reply(5);
        fixture.run(fixture.tasks->tick());
        CHECK(fixture.tasks->isComplete() == (i < 4 || i == 35));
    }
    CHECK(fixture.tasks->reports().at(0).state == "stopped");
    CHECK((fixture.model.list(fixture.clock.now()).at(0).state == TaskState::stopped));
    CHECK(fixture.execute(fixture.order(OrderKind::stop)).accepted);
}
