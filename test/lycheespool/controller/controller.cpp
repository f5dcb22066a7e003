#include "lycheespool/controller/controller_fixture.h"

#include "lycheespool/core/error.h"

using namespace lycheespool;

namespace {

using Fixture = ControllerFixture;

}

TEST_CASE("a run is ordered only after its placement is stored")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(), {}, 0, Fixture::at(0).steady);
    f.receive(f.report(10), 10);
    (void)f.controller.plan(Fixture::at(10));
    CHECK(f.controller.takeOrders(Fixture::at(11)).empty());
    f.storeAll();
    CHECK(f.controller.takeOrders(Fixture::at(12)).size() == 1);
}

// Guards against a queue count that omits jobs whose starts an executor refused.
TEST_CASE("a job is shown as running only once an executor has begun it")
{
    Fixture f;
    const auto stateOf = [&] { return f.controller.jobs().at("job").progress.state; };
    f.controller.addJob("job", Fixture::job(), {}, 0, Fixture::at(0).steady);
    f.receive(f.report(10), 10);
    (void)f.controller.plan(Fixture::at(10));
    f.storeAll();
    const auto first = f.controller.takeOrders(Fixture::at(10)).at("node-0");
    REQUIRE(first.orders.size() == 1);
    CHECK((stateOf() == WorkloadState::pending));
    f.controller.onOutcome("node-0", first.lifetime,
        { first.orders[0].task, first.orders[0].run, RunOrderResult::stopped, "refused", 15 }, Fixture::at(15));
    f.receive(f.report(3000), 3000);
    CHECK((stateOf() == WorkloadState::pending));
    (void)f.controller.plan(Fixture::at(3000));
    f.storeAll();
    const auto second = f.controller.takeOrders(Fixture::at(3000)).at("node-0");
    REQUIRE(second.orders.size() == 1);
    CHECK((stateOf() == WorkloadState::pending));
    f.controller.onOutcome("node-0", second.lifetime,
        { second.orders[0].task, second.orders[0].run, RunOrderResult::started, {}, 3005 }, Fixture::at(3005));
    CHECK((stateOf() == WorkloadState::running));
    CHECK(f.controller.pendingWrites(10).size() == 1);
}

TEST_CASE("a job whose run only a list shows is running")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(), {}, 0, Fixture::at(0).steady);
    f.receive(f.report(10), 10);
    (void)f.controller.plan(Fixture::at(10));
    f.storeAll();
    const auto orders = f.controller.takeOrders(Fixture::at(10)).at("node-0");
    auto report = f.report(100);
    report.running = { { orders.orders.at(0).task, orders.orders.at(0).run, {}, 0 } };
    f.receive(report, 100);
    CHECK((f.controller.jobs().at("job").progress.state == WorkloadState::running));
}

TEST_CASE("an end is acknowledged only after it is stored")
{
    Fixture f;
    const auto run = f.startOne(10);
    auto report = f.report(100);
    report.ended = { { 1, run.task, run.run, RunEndKind::done, {} } };
    f.receive(report, 101);
    CHECK(f.controller.endsStored("node-0", f.report(0).lifetime) == 0);
    f.storeAll();
    CHECK(f.controller.endsStored("node-0", f.report(0).lifetime) == 1);
    CHECK(f.controller.jobs().at("job").progress.state == WorkloadState::completed);
}

TEST_CASE("a run that an older list does not contain yet is not released")
{
    Fixture f;
    const auto run = f.startOne(10);
    auto newer = f.report(100);
    newer.running = { run };
    f.receive(newer, 101);
    f.receive(f.report(12), 102);
    CHECK(f.controller.liveRuns().size() == 1);
}

// Guards against tasks that start again after they have ended: the agent removes stored ends from a list that was cut
// off, and the rest looks like a whole list.
TEST_CASE("a run is not released because a partial list without its stored ends does not show it")
{
    Fixture f;
    (void)f.startOne(10);
    auto report = f.report(100);
    report.listExtent = ListExtent::partial;
    f.receive(report, 101);
    CHECK(f.controller.liveRuns().size() == 1);
    report = f.report(200);
    report.listExtent = ListExtent::complete;
    f.receive(report, 201);
    CHECK(f.controller.liveRuns().empty());
}

TEST_CASE("a full list of an agent that does not state its extent releases no run")
{
    Fixture f;
    (void)f.startOne(10);
    auto report = f.report(100);
    for (std::uint64_t i = 1; i <= 500; ++i)
        report.ended.push_back({ i, "unknown.0.0.0", i, RunEndKind::done, {} });
    f.receive(report, 101);
    CHECK(f.controller.liveRuns().size() == 1);
    f.receive(f.report(200), 201);
    CHECK(f.controller.liveRuns().empty());
}

TEST_CASE("a task is not treated as stalled while its executor does not answer the agent")
{
    Fixture f;
    const auto run = f.startOne(10);
    auto report = f.report(100);
    report.running = { run };
    report.running[0].percent = 10;
    for (std::int64_t ms = 100; ms < 8000; ms += 500) {
        report.sentAtMs = static_cast<std::uint64_t>(ms);
        f.receive(report, ms);
        f.controller.superviseRuns(Fixture::at(ms));
    }
    CHECK_FALSE(f.controller.liveRuns().begin()->second.isStopping());
}

TEST_CASE("a task that makes no progress over several lists is stopped")
{
    Fixture f;
    const auto run = f.startOne(10);
    for (std::int64_t ms = 100; ms < 12000; ms += 500) {
        auto report = f.report(ms);
        report.running = { run };
        report.running[0].percent = 10;
        f.receive(report, ms);
        f.controller.superviseRuns(Fixture::at(ms));
    }
    CHECK(f.controller.liveRuns().begin()->second.isStopping());
}

// Guards against urgent tasks of about 2.5 s that hang for longer than their latency objective of about 4 s.
TEST_CASE("a task that hangs is stopped within three seconds")
{
    Fixture f;
    const auto run = f.startOne(10);
    for (std::int64_t ms = 900; ms <= 2700; ms += 900) {
        auto report = f.report(ms);
        report.running = { run };
        f.receive(report, ms);
        f.controller.superviseRuns(Fixture::at(ms));
    }
    CHECK(f.controller.liveRuns().begin()->second.isStopping());
}

// Guards against gang members that count as stalled while they wait for a member that has not started.
TEST_CASE("a gang that is not complete yet is not stalled")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(2, true), {}, 0, Fixture::at(10).steady);
    f.receive(f.report(10), 10);
    (void)f.controller.plan(Fixture::at(10));
    f.storeAll();
    const auto orders = f.controller.takeOrders(Fixture::at(10)).at("node-0");
    const auto& first = orders.orders.at(0);
    for (std::int64_t ms = 900; ms <= 2700; ms += 900) {
        auto report = f.report(ms);
        report.running = { { first.task, first.run, {}, 0 } };
        f.receive(report, ms);
        f.controller.superviseRuns(Fixture::at(ms));
    }
    CHECK(std::ranges::none_of(f.controller.liveRuns(), [](const auto& it) { return it.second.isStopping(); }));
}

TEST_CASE("an executor whose lists are outdated gets no new task")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(), {}, 0, Fixture::at(0).steady);
    auto report = f.report(100);
    report.sentAtMs = 9000;
    f.receive(report, 9000);
    (void)f.controller.plan(Fixture::at(9000));
    CHECK(f.controller.liveRuns().empty());
}

// Guards against starts that an agent cannot send: a gang that waits for one is stopped as a whole.
TEST_CASE("an executor that does not answer its agent gets no new task until it answers again")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(), {}, 0, Fixture::at(0).steady);
    auto report = f.report(100);
    report.extendsLease = false;
    f.receive(report, 100);
    (void)f.controller.plan(Fixture::at(100));
    CHECK(f.controller.liveRuns().empty());
    f.receive(f.report(200), 200);
    (void)f.controller.plan(Fixture::at(200));
    CHECK(f.controller.liveRuns().size() == 1);
}

TEST_CASE("tasks of a node that stops reporting restart elsewhere only after its permits have expired")
{
    Fixture f;
    (void)f.startOne(10);
    const ControllerSettings settings;
    // The previous leader may have granted permits after this term started.
    const auto safe
        = std::chrono::duration_cast<std::chrono::milliseconds>(settings.previousPermitsExpiryBound()).count();
    f.controller.superviseRuns(Fixture::at(safe - 1));
    CHECK(f.controller.liveRuns().size() == 1);
    f.controller.superviseRuns(Fixture::at(20 + safe));
    CHECK(f.controller.liveRuns().empty());
}

// Guards against jobs that wait indefinitely for a crashed executor whose agent still reports.
TEST_CASE("tasks of an executor that its agent cannot reach restart elsewhere after the permits have expired")
{
    Fixture f;
    (void)f.startOne(10);
    const ControllerSettings settings;
    const auto safe = std::chrono::duration_cast<std::chrono::milliseconds>(settings.previousPermitsExpiryBound());
    auto report = f.report(100);
    report.extendsLease = false;
    for (std::int64_t ms = 800; ms < 30 + safe.count(); ms += 800) {
        report.sentAtMs = static_cast<std::uint64_t>(ms);
        f.controller.onReport(report, Fixture::at(ms));
    }
    f.controller.superviseRuns(Fixture::at(30 + safe.count()));
    CHECK(f.controller.liveRuns().empty());
    // The next report still does not extend the lease, so the executor stays lost.
    f.controller.onReport(report, Fixture::at(40 + safe.count()));
    CHECK(f.controller.nodes().at("node-0").isLost);
}

// Guards against jobs that wait indefinitely for an executor that was lost together with its agent.
TEST_CASE("reports of an agent without an executor do not extend the permit of the executor that it had")
{
    Fixture f;
    (void)f.startOne(10);
    const ControllerSettings settings;
    const auto safe = std::chrono::duration_cast<std::chrono::milliseconds>(settings.previousPermitsExpiryBound());
    for (std::int64_t ms = 800; ms < 30 + safe.count(); ms += 800) {
        NodeReport report;
        report.node = "node-0";
        report.sentAtMs = static_cast<std::uint64_t>(ms);
        f.receive(report, ms);
    }
    f.controller.superviseRuns(Fixture::at(30 + safe.count()));
    CHECK(f.controller.liveRuns().empty());
}

// Guards against a task that waits for a crashed executor which has not received its start (LOST).
TEST_CASE("a task whose start was never sent starts elsewhere at once, and one that may have begun does not")
{
    for (const auto result : { RunOrderResult::unresolved, RunOrderResult::wrongLifetime }) {
        for (const bool mayHaveBegun : { false, true }) {
            CAPTURE(mayHaveBegun);
            Fixture f;
            f.controller.addJob("job", Fixture::job(), {}, 0, Fixture::at(10).steady);
            f.receive(f.report(10), 10);
            const auto first = f.ordersFor("node-0", 10).at("node-0");
            f.receive(f.report(15, "node-1"), 15);
            f.controller.onOutcome("node-0", first.lifetime,
                { first.orders[0].task, first.orders[0].run, result, "unreachable", 20, mayHaveBegun },
                Fixture::at(20));
            (void)f.controller.plan(Fixture::at(30));
            f.storeAll();
            CHECK(f.controller.takeOrders(Fixture::at(30)).contains("node-1") == !mayHaveBegun);
            CHECK(f.controller.liveRuns().size() == 1);
        }
    }
}

// Guards against the wait of a whole gang for a member whose executor has not received its start.
TEST_CASE("a gang whose member was never sent starts again as a whole")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(2, true), {}, 0, Fixture::at(10).steady);
    auto small = f.report(10);
    small.capacity = { 1000, 1000, 1 };
    f.receive(small, 10);
    auto other = f.report(10, "node-1");
    other.capacity = small.capacity;
    f.receive(other, 10);
    const auto orders = f.ordersFor("node-0", 10);
    REQUIRE(orders.size() == 2);
    const auto& unsent = orders.at("node-0");
    f.confirm("node-1", orders.at("node-1"), 15);
    f.controller.onOutcome("node-0", unsent.lifetime,
        { unsent.orders[0].task, unsent.orders[0].run, RunOrderResult::unresolved, "unreachable", 20, false },
        Fixture::at(20));
    const auto stops = f.controller.takeOrders(Fixture::at(30));
    REQUIRE(stops.contains("node-1"));
    CHECK_FALSE(stops.at("node-1").orders.at(0).isStart);
}

// Guards against a second run while the lease of the first may last, and against runs that an executor without an
// answer holds indefinitely.
TEST_CASE("an agent that was restarted extends the lease of its executor once the executor has answered it")
{
    for (const bool answers : { true, false }) {
        CAPTURE(answers);
        Fixture f;
        const auto run = f.startOne(10);
        const auto reportEvery = [&](std::int64_t begin, std::int64_t end, bool isListed) {
            for (auto ms = begin; ms < end; ms += 500) {
                auto report = f.report(ms);
                report.running = { run };
                if (!isListed) {
                    report.listedAtMs = 0;
                    report.running.clear();
                }
                f.receive(report, ms);
                f.controller.superviseRuns(Fixture::at(ms));
            }
        };
        reportEvery(500, 20000, true);
        reportEvery(20000, 27000, false);
        CHECK(f.controller.liveRuns().size() == 1);
        reportEvery(27000, 40000, answers);
        CHECK(f.controller.liveRuns().size() == (answers ? 1 : 0));
        CHECK(f.controller.nodes().at("node-0").isLost == !answers);
    }
}

TEST_CASE("a zone that is out of service and a draining executor get no task")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(), {}, 0, Fixture::at(0).steady);
    f.controller.setZonesOutOfService({ "zone-a" });
    f.receive(f.report(10), 10);
    (void)f.controller.plan(Fixture::at(10));
    CHECK(f.controller.liveRuns().empty());
    f.controller.setZonesOutOfService({});
    auto draining = f.report(20);
    draining.state = ExecutorState::draining;
    f.receive(draining, 20);
    (void)f.controller.plan(Fixture::at(20));
    CHECK(f.controller.liveRuns().empty());
}

TEST_CASE("a planned start is not sent to a zone that was taken out of service in the meantime")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(), {}, 0, Fixture::at(0).steady);
    f.receive(f.report(10), 10);
    (void)f.controller.plan(Fixture::at(10));
    f.storeAll();
    f.controller.setZonesOutOfService({ "zone-a" });
    CHECK(f.controller.takeOrders(Fixture::at(20)).empty());
}

TEST_CASE("an unknown run is stopped")
{
    Fixture f;
    auto report = f.report(10);
    report.running = { { "unknown.0.0.0", 4, {}, 50 } };
    f.receive(report, 10);
    const auto orders = f.controller.takeOrders(Fixture::at(11));
    REQUIRE(orders.size() == 1);
    CHECK_FALSE(orders.at("node-0").orders.at(0).isStart);
    CHECK(f.controller.takeOrders(Fixture::at(12)).empty());
}

TEST_CASE("a job fails when a task reaches the maximum attempts of its queue, and not before")
{
    Fixture f;
    auto run = f.startOne(10);
    for (std::int64_t attempt = 1; attempt <= 2; ++attempt) {
        const auto ms = attempt * 1000;
        auto report = f.report(ms);
        report.ended = { { static_cast<std::uint64_t>(attempt), run.task, run.run, RunEndKind::failed, {} } };
        f.receive(report, ms);
        const auto state = f.controller.jobs().at("job").progress.state;
        CHECK((state == WorkloadState::failed) == (attempt == 2));
        // The next attempt starts after the retry delay.
        const auto retryAt = Fixture::at(ms + 500);
        (void)f.controller.plan(retryAt);
        f.storeAll();
        (void)f.controller.takeOrders(retryAt);
        ++run.run;
    }
    CHECK(f.controller.liveRuns().empty());
}

TEST_CASE("a cancelled job starts nothing and its runs are stopped")
{
    Fixture f;
    (void)f.startOne(10);
    f.controller.cancelJob("job", Fixture::at(100));
    CHECK(f.controller.jobs().at("job").progress.state == WorkloadState::cancelled);
    CHECK_FALSE(f.controller.takeOrders(Fixture::at(101)).at("node-0").orders.at(0).isStart);
    (void)f.controller.plan(Fixture::at(200));
    CHECK(f.controller.liveRuns().size() == 1);
}

TEST_CASE("a scheduled occurrence does not start before it is due")
{
    Fixture f;
    auto row = Fixture::job();
    row.request.occurrences = 2;
    row.request.firstDueUnixMs = 500;
    row.request.intervalMs = 1000;
    f.controller.addJob("job", row, {}, 0, Fixture::at(0).steady);
    f.receive(f.report(400), 400);
    CHECK(f.controller.plan(Fixture::at(499)) == 500);
    CHECK(f.controller.liveRuns().empty());
    CHECK(f.controller.plan(Fixture::at(500)) == 1500);
    CHECK(f.controller.liveRuns().size() == 1);
}

TEST_CASE("a successor restores the runs that the progress rows name and does not start them twice")
{
    Fixture f;
    (void)f.startOne(10);
    const auto writes = f.controller.jobs().at("job").progress.encode("queue", "");
    Metrics metrics;
    Controller successor { ControllerSettings {}, Epoch { 2 }, Fixture::at(5000).steady, metrics };
    successor.setConfig(std::make_shared<const OperatorConfig>());
    successor.addJob("job", Fixture::job(), writes, 7, Fixture::at(5000).steady);
    CHECK(successor.liveRuns().size() == 1);
    successor.onReport(f.report(5000), Fixture::at(5000));
    (void)successor.plan(Fixture::at(5001));
    CHECK(successor.liveRuns().size() == 1);
}

// Guards against a wide job that fails because a few faulty executors fail every task at once: such executors are
// always free and get the same tasks again.
TEST_CASE("a job continues when some executors fail every task")
{
    Fixture f;
    constexpr int nodeCount = 10;
    constexpr int badNodes = 2;
    auto row = Fixture::job(nodeCount * 8);
    row.policy.maxAttempts = 3;
    f.controller.addJob("job", row, {}, 0, Fixture::at(0).steady);
    std::vector<NodeReport> reports;
    for (int i = 0; i < nodeCount; ++i)
        reports.push_back(f.report(0, "node-" + std::to_string(i)));
    std::size_t failures = 0;
    for (std::int64_t ms = 10; ms < 3000; ms += 50) {
        for (auto& it : reports) {
            it.sentAtMs = it.listedAtMs = static_cast<std::uint64_t>(ms);
            f.receive(it, ms);
        }
        (void)f.controller.plan(Fixture::at(ms));
        f.storeAll();
        for (const auto& [node, batch] : f.controller.takeOrders(Fixture::at(ms))) {
            const auto index = static_cast<std::size_t>(std::stoi(node.substr(5)));
            for (const auto& it : batch.orders) {
                const auto answeredAt = static_cast<std::uint64_t>(ms + 5);
                f.controller.onOutcome(node, batch.lifetime,
                    { it.task, it.run, RunOrderResult::started, {}, answeredAt }, Fixture::at(ms + 5));
                if (index < badNodes)
                    reports[index].ended.push_back({ ++failures, it.task, it.run, RunEndKind::failed, {} });
                else
                    reports[index].running.push_back({ it.task, it.run, {}, 0 });
            }
        }
    }
    CHECK(f.controller.jobs().at("job").progress.state == WorkloadState::running);
    // The first tasks, and at most one further attempt on each faulty executor.
    CHECK(failures <= badNodes * (8 + 1));
}

/*! @brief Drives a wide job on executors of which some fail what they start 30 ms later, until 6 s. */
class FailingExecutors {
public:
    static constexpr int nodeCount = 12;
    static constexpr int badNodes = 3;
    static constexpr std::int64_t healthyAtMs = 6000;
    static constexpr std::int64_t workMs = 2000;

    explicit FailingExecutors(JobRow row) { m_fixture.controller.addJob("job", std::move(row), {}, 0, {}); }

    /*! @brief Advances to a time and returns the number of failed runs so far. */
    std::size_t runUntil(std::int64_t endMs)
    {
        for (; m_nowMs < endMs; m_nowMs += 10) {
            for (int i = 0; i < nodeCount; ++i)
                report(i);
            m_fixture.controller.superviseRuns(Fixture::at(m_nowMs));
            (void)m_fixture.controller.plan(Fixture::at(m_nowMs));
            m_fixture.storeAll();
            for (const auto& [node, batch] : m_fixture.controller.takeOrders(Fixture::at(m_nowMs))) {
                for (const auto& it : batch.orders) {
                    if (!it.isStart)
                        continue;
                    m_runs[std::stoi(node.substr(5))].push_back({ it.task, it.run, m_nowMs });
                    m_fixture.controller.onOutcome(node, batch.lifetime,
                        { it.task, it.run, RunOrderResult::started, {}, static_cast<std::uint64_t>(m_nowMs) },
                        Fixture::at(m_nowMs));
                }
            }
        }
        return m_failures;
    }

    [[nodiscard]] WorkloadState state() const { return m_fixture.controller.jobs().at("job").progress.state; }

private:
    struct Run {
        std::string task;
        std::uint64_t run;
        std::int64_t startedMs;
    };

    void report(int index)
    {
        auto report = m_fixture.report(m_nowMs, "node-" + std::to_string(index));
        auto& ended = m_ended[index];
        std::erase_if(m_runs[index], [&](const Run& it) {
            const bool fails = index < badNodes && it.startedMs < healthyAtMs;
            if (m_nowMs - it.startedMs < (fails ? 30 : workMs))
                return false;
            m_failures += fails;
            ended.push_back({ ended.size() + 1, it.task, it.run, fails ? RunEndKind::failed : RunEndKind::done, {} });
            return true;
        });
        for (const auto& it : m_runs[index])
            report.running.push_back({ it.task, it.run, {}, static_cast<std::uint32_t>(m_nowMs - it.startedMs) / 20 });
        report.ended = ended;
        m_fixture.receive(report, m_nowMs);
    }

    Fixture m_fixture;
    std::int64_t m_nowMs { 10 };
    std::size_t m_failures { 0 };
    std::map<int, std::vector<Run>> m_runs;
    std::map<int, std::vector<RunEnd>> m_ended;
};

// Guards against executors that fail what they start using up the attempts of a wide job.
TEST_CASE("executors that begin to fail do not use up the attempts of a wide job")
{
    FailingExecutors executors { Fixture::job(400) };
    // Two trials for each executor, and probes 1, 2 and 4 s after it was suspected.
    CHECK(executors.runUntil(FailingExecutors::healthyAtMs) <= FailingExecutors::badNodes * (2 + 3));
    executors.runUntil(30000);
    CHECK(executors.state() == WorkloadState::completed);
}

// Guards against an immediate retry of a step whose tasks are limited per executor.
TEST_CASE("a wide job with a limit per executor survives executors that begin to fail")
{
    auto row = Fixture::job(12);
    row.request.steps[0].maxPerExecutor = 2;
    FailingExecutors executors { std::move(row) };
    executors.runUntil(30000);
    CHECK(executors.state() == WorkloadState::completed);
}

// Guards against an executor that fails what it starts and is trusted again since an older run on it ends as done.
TEST_CASE("a run that started before a failure does not clear its executor")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(3), {}, 0, Fixture::at(0).steady);
    f.receive(f.report(10), 10);
    (void)f.controller.plan(Fixture::at(10));
    f.storeAll();
    const auto orders = f.controller.takeOrders(Fixture::at(10)).at("node-0").orders;
    for (const auto& it : orders)
        f.controller.onOutcome(
            "node-0", f.report(10).lifetime, { it.task, it.run, RunOrderResult::started, {}, 11 }, Fixture::at(11));
    auto report = f.report(100);
    report.ended = { { 1, "job.0.0.0", 1, RunEndKind::failed, {} } };
    report.running = { { "job.0.0.1", 1, {}, 10 } };
    f.receive(report, 100);
    CHECK(f.controller.nodes().at("node-0").failuresInARow == 1);
    report = f.report(200);
    report.ended = { { 2, "job.0.0.1", 1, RunEndKind::done, {} } };
    f.receive(report, 200);
    CHECK(f.controller.nodes().at("node-0").failuresInARow == 1);
}

/*! @brief Lets a task fail beside executors that are full of other tasks, and plans until it starts again. */
class FailingTask {
public:
    /*! @brief Constructs two executors, of which the first is full of a task that lasts or does not end in time. */
    explicit FailingTask(bool fillerLasts, bool failingLasts)
    {
        auto filler = Fixture::job();
        filler.request.steps[0].perTask.accelerators = 8;
        filler.request.steps[0].isService = fillerLasts;
        filler.request.steps[0].estimatedMs = 60000;
        m_fixture.controller.addJob("filler", filler, {}, 0, Fixture::at(0).steady);
        advance(100, 1);
        auto failing = Fixture::job();
        failing.policy.maxAttempts = 100;
        failing.request.steps[0].isService = failingLasts;
        m_fixture.controller.addJob("failing", failing, {}, 0, Fixture::at(100).steady);
        advance(1500);
        REQUIRE(m_running.size() == 2);
    }

    /*! @brief Lets the task fail and returns how long it waits for its next run, ms; the limit if it starts none. */
    std::int64_t failAndWait(std::int64_t limitMs)
    {
        const auto it
            = std::ranges::find_if(m_running, [](const auto& run) { return run.second.task.starts_with("failing"); });
        REQUIRE(it != m_running.end());
        m_ended[it->first].push_back({ ++m_ends, it->second.task, it->second.run, RunEndKind::failed, {} });
        m_running.erase(it);
        const auto failedAtMs = m_nowMs;
        while (m_running.size() < 2 && m_nowMs - failedAtMs < limitMs)
            advance(m_nowMs + 100);
        return m_nowMs - failedAtMs;
    }

    void runFor(std::int64_t ms) { advance(m_nowMs + ms); }

private:
    void advance(std::int64_t untilMs, int nodes = 2)
    {
        for (; m_nowMs < untilMs; m_nowMs += 100) {
            for (int i = 0; i < nodes; ++i) {
                const auto node = "node-" + std::to_string(i);
                auto report = m_fixture.report(m_nowMs, node);
                report.ended = m_ended[node];
                const auto [first, last] = m_running.equal_range(node);
                std::ranges::transform(
                    first, last, std::back_inserter(report.running), &decltype(m_running)::value_type::second);
                m_fixture.receive(report, m_nowMs);
            }
            m_fixture.controller.superviseRuns(Fixture::at(m_nowMs));
            (void)m_fixture.controller.plan(Fixture::at(m_nowMs));
            m_fixture.storeAll();
            for (const auto& [node, batch] : m_fixture.controller.takeOrders(Fixture::at(m_nowMs))) {
                for (const auto& it : batch.orders) {
                    m_fixture.controller.onOutcome(node, batch.lifetime,
                        { it.task, it.run, RunOrderResult::started, {}, static_cast<std::uint64_t>(m_nowMs) },
                        Fixture::at(m_nowMs));
                    m_running.insert({ node, { it.task, it.run, {}, 100 } });
                }
            }
        }
    }

    Fixture m_fixture;
    std::multimap<std::string, RunningTask> m_running;
    std::map<std::string, std::vector<RunEnd>> m_ended;
    std::uint64_t m_ends { 0 };
    std::int64_t m_nowMs { 0 };
};

// Guards against a failed task that avoids its executor for the whole term while the others are full.
TEST_CASE("a task that failed on the only executor with room starts there again within three seconds")
{
    for (const bool fillerLasts : { false, true }) {
        for (const bool failingLasts : { false, true }) {
            CAPTURE(fillerLasts);
            CAPTURE(failingLasts);
            CHECK(FailingTask { fillerLasts, failingLasts }.failAndWait(40000) < 3000);
        }
    }
}

// Guards against a service task that waits for a suspicion to expire, or takes its last attempt for one that counts.
TEST_CASE("a service task that fails again and again starts again within three seconds each time")
{
    for (const bool fillerLasts : { false, true }) {
        CAPTURE(fillerLasts);
        FailingTask it { fillerLasts, true };
        for (int i = 0; i < 6; ++i) {
            CAPTURE(i);
            CHECK(it.failAndWait(40000) < 3000);
            it.runFor(1000);
        }
    }
}

// Guards against service tasks that wait for their rack for as long as their estimate, which is no run time.
TEST_CASE("a gang of service tasks waits for a rack for two seconds at most")
{
    Fixture f;
    const auto receiveAll = [&](std::int64_t ms) {
        for (int i = 0; i < 4; ++i) {
            auto it = f.report(ms, "node-" + std::to_string(i));
            it.labels = { "a", i < 2 ? "rack-0" : "rack-1" };
            f.receive(it, ms);
        }
    };
    receiveAll(10);
    for (const auto* const rack : { "rack-0", "rack-1" }) {
        auto filler = Fixture::job();
        filler.request.steps[0].perTask.accelerators = 8;
        filler.request.steps[0].requiredLabel = rack;
        f.controller.addJob(std::string { "filler of " } + rack, filler, {}, 0, Fixture::at(10).steady);
    }
    (void)f.controller.plan(Fixture::at(10));
    REQUIRE(f.controller.liveRuns().size() == 2);
    auto row = Fixture::job(2, true);
    row.request.steps[0].perTask.accelerators = 8;
    row.request.steps[0].prefersOneRack = true;
    row.request.steps[0].isService = true;
    row.request.steps[0].estimatedMs = 600000;
    f.controller.addJob("gang", row, {}, 0, Fixture::at(10).steady);
    (void)f.controller.plan(Fixture::at(10));
    CHECK(f.controller.liveRuns().size() == 2);
    receiveAll(2050);
    (void)f.controller.plan(Fixture::at(2050));
    CHECK(f.controller.liveRuns().size() == 4);
}

/*! @brief Fills an executor with two service tasks and hands in urgent work; returns the indices that are stopped. */
std::vector<std::uint32_t> stoppedFor(
    std::int64_t accelerators, std::int64_t guaranteed, std::uint32_t maxUnavailable, std::uint32_t secondPercent = 100)
{
    Fixture f;
    auto config = std::make_shared<OperatorConfig>();
    config->workspaces.push_back({ "urgent", {}, guaranteed });
    f.controller.setConfig(std::move(config));
    auto filler = Fixture::job(2);
    filler.request.steps[0].perTask.accelerators = 4;
    filler.request.steps[0].isService = true;
    filler.request.steps[0].maxUnavailable = maxUnavailable;
    f.controller.addJob("filler", filler, {}, 0, Fixture::at(0).steady);
    f.receive(f.report(10), 10);
    (void)f.controller.plan(Fixture::at(10));
    f.storeAll();
    (void)f.controller.takeOrders(Fixture::at(10));
    auto report = f.report(5000);
    report.running = { { "filler.0.0.0", 1, {}, 100 }, { "filler.0.0.1", 1, {}, secondPercent } };
    f.receive(report, 5000);
    auto urgent = Fixture::job();
    urgent.workspace = "urgent";
    urgent.policy.priority = 0;
    urgent.acceptedUnixMs = 5000;
    urgent.request.steps[0].perTask.accelerators = accelerators;
    f.controller.addJob("urgent", urgent, {}, 0, Fixture::at(5000).steady);
    for (const std::int64_t ms : { 5010, 5020 })
        (void)f.controller.plan(Fixture::at(ms));
    std::vector<std::uint32_t> stopped;
    for (const auto& [key, run] : f.controller.liveRuns()) {
        if (run.isStopping())
            stopped.push_back(key.task.position.index);
    }
    return stopped;
}

// Guards against guaranteed work that waits without an end for tasks that never end.
TEST_CASE("service tasks are stopped for guaranteed work only, and no more of them than it needs")
{
    CHECK(stoppedFor(4, 8, 0).size() == 1);
    CHECK(stoppedFor(8, 8, 0).size() == 2);
    CHECK(stoppedFor(4, 0, 0).empty());
}

// Guards against stops that make more tasks of a step unavailable than the step permits.
TEST_CASE("guaranteed work leaves as many tasks of a step at work as the step requires")
{
    CHECK(stoppedFor(4, 8, 1).size() == 1);
    CHECK(stoppedFor(8, 8, 1).empty());
    CHECK(stoppedFor(8, 8, 2).size() == 2);
    CHECK(stoppedFor(4, 8, 1, 50) == std::vector<std::uint32_t> { 1 });
}

// Guards against a restart that repeats the work which a stopped task saved when it ended.
TEST_CASE("the checkpoint of a stop is kept in place of the one that was listed before")
{
    Fixture f;
    const auto run = f.startOne(10);
    auto report = f.report(2000);
    report.running = { { run.task, run.run, "000010", 40 } };
    f.receive(report, 2000);
    report = f.report(2100);
    report.ended = { { 1, run.task, run.run, RunEndKind::stopped, "000020" } };
    f.receive(report, 2100);
    CHECK(f.controller.liveRuns().empty());
    CHECK(f.controller.jobs().at("job").progress.at({ 0, 0, 0 }).checkpoint == "000020");
}

/*! @brief Starts a job's task again and again on executors that crash 20 ms after they start it. */
class CrashingTask {
public:
    /*! @brief Whether the agent sees the crash, or is restarted together with its executor. */
    enum class Witness { agent, none };

    explicit CrashingTask(JobRow row, std::int64_t ranMs = 20)
        : m_row { std::move(row) }
        , m_ranMs { ranMs }
    {
        m_fixture.controller.addJob("job", m_row, {}, 0, {});
    }

    /*! @brief Repeats start and crash; returns the number of starts. */
    int play(int rounds, Witness witness, bool changesLeader)
    {
        int starts = 0;
        auto* controller = &m_fixture.controller;
        std::optional<Controller> successor;
        for (int i = 0; i < rounds; ++i) {
            const std::int64_t ms = 1000 + i * 4000;
            const auto node = "node-" + std::to_string(i % 3);
            auto report = m_fixture.report(ms, node);
            report.lifetime.startedUnixMs = ms;
            controller->onReport(report, Fixture::at(ms));
            (void)controller->plan(Fixture::at(ms));
            store(*controller);
            const auto orders = controller->takeOrders(Fixture::at(ms));
            if (!orders.contains(node))
                continue;
            ++starts;
            const auto& order = orders.at(node).orders.at(0);
            controller->onOutcome(node, report.lifetime,
                { order.task, order.run, RunOrderResult::started, {}, static_cast<std::uint64_t>(ms) },
                Fixture::at(ms));
            if (changesLeader) {
                successor.emplace(ControllerSettings {}, Epoch { 2U + static_cast<unsigned>(i) },
                    Fixture::at(ms + 100).steady, m_fixture.metrics);
                successor->setConfig(std::make_shared<const OperatorConfig>());
                successor->addJob("job", m_row, m_stored, ++m_fixture.version, Fixture::at(ms + 100).steady);
                controller = &*successor;
            }
            if (m_ranMs > 1000) {
                report.sentAtMs = report.listedAtMs = static_cast<std::uint64_t>(ms + 1000);
                report.running = { { order.task, order.run, {}, 10 } };
                controller->onReport(report, Fixture::at(ms + 1000));
            }
            auto crashed = m_fixture.report(ms + 3000, node);
            crashed.lifetime.startedUnixMs = ms + 3000;
            if (witness == Witness::agent) {
                crashed.previousLifetime = report.lifetime;
                crashed.previousLostAtMs = static_cast<std::uint64_t>(ms + m_ranMs);
            }
            controller->onReport(crashed, Fixture::at(ms + 3000));
            // The node takes no part in the next round.
            crashed.state = ExecutorState::draining;
            controller->onReport(crashed, Fixture::at(ms + 3001));
            store(*controller);
            m_state = controller->jobs().at("job").progress.state;
        }
        return starts;
    }

    [[nodiscard]] WorkloadState state() const { return m_state; }

private:
    void store(Controller& controller)
    {
        for (const auto& it : controller.pendingWrites(100)) {
            m_stored = it.value;
            controller.markStored(it, ++m_fixture.version);
        }
    }

    Fixture m_fixture;
    JobRow m_row;
    std::int64_t m_ranMs;
    std::string m_stored;
    WorkloadState m_state { WorkloadState::pending };
};

// Guards against a task that takes one executor after another out of service.
TEST_CASE("a task that crashes the executors that start it is given up after two crashes")
{
    for (const bool isGang : { false, true }) {
        CAPTURE(isGang);
        CrashingTask task { Fixture::job(1, isGang) };
        CHECK(task.play(8, CrashingTask::Witness::agent, false) == 2);
        CHECK(task.state() == WorkloadState::failed);
    }
}

// Guards against blaming a job for a crash that came before its start was sent.
TEST_CASE("a job whose starts never reached the crashed executors is repeated")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(), {}, 0, Fixture::at(0).steady);
    for (int i = 0; i < 8; ++i) {
        const std::int64_t ms = 1000 + i * 4000;
        const auto node = "node-" + std::to_string(i);
        const auto before = f.report(ms, node);
        f.receive(before, ms);
        const auto orders = f.ordersFor(node, ms);
        const auto& order = orders.at(node).orders.at(0);
        f.controller.onOutcome(node, before.lifetime,
            { order.task, order.run, RunOrderResult::unresolved, "unreachable", 0, false }, Fixture::at(ms + 20));
        f.crash(before, ms, ms + 3000);
    }
    CHECK(f.controller.jobs().at("job").progress.state == WorkloadState::pending);
    CHECK(f.controller.jobs().at("job").progress.at({ 0, 0, 0 }).losses == 0);
}

// Guards against giving up work whose executors were cut off but did not end.
TEST_CASE("a job whose executors are cut off before their first lists is repeated")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(), {}, 0, Fixture::at(0).steady);
    for (int i = 0; i < 8; ++i) {
        const std::int64_t ms = 20000 + i * 10000;
        const auto node = "node-" + std::to_string(i);
        f.receive(f.report(ms, node), ms);
        f.controller.superviseRuns(Fixture::at(ms));
        f.confirm(node, f.ordersFor(node, ms).at(node), ms + 5);
        f.controller.superviseRuns(Fixture::at(ms + 9000));
        f.storeAll();
    }
    CHECK(f.controller.liveRuns().empty());
    CHECK(f.controller.jobs().at("job").progress.state == WorkloadState::running);
}

// Guards against a count of crashes that ends with the leader or that needs a witness.
TEST_CASE("a task that crashes executors is started at most twice more after three crashes, whoever leads")
{
    for (const auto witness : { CrashingTask::Witness::agent, CrashingTask::Witness::none }) {
        CrashingTask task { Fixture::job() };
        CHECK(task.play(8, witness, true) <= 5);
        CHECK(task.state() == WorkloadState::failed);
    }
}

// Guards against a task without a limit that crashes each executor long after its start.
TEST_CASE("a task that crashes executors long after its starts is started at most twice more after three crashes")
{
    CrashingTask task { Fixture::job(), 2000 };
    CHECK(task.play(8, CrashingTask::Witness::agent, false) == 5);
    CHECK(task.state() == WorkloadState::failed);
}

// Guards against giving up work that power failures ended.
TEST_CASE("a task that ran for long before power failures is repeated")
{
    CrashingTask task { Fixture::job(), 2000 };
    CHECK(task.play(8, CrashingTask::Witness::none, false) == 8);
    CHECK(task.state() == WorkloadState::running);
}

// Guards against giving up work that was merely running when a start of other work crashed its executors.
TEST_CASE("a task that ran for long is repeated when starts of other jobs crash its executors")
{
    Fixture f;
    f.controller.addJob("long", Fixture::job(), {}, 0, Fixture::at(0).steady);
    for (int i = 0; i < 8; ++i) {
        const std::int64_t ms = 1000 + i * 4000;
        const auto node = "node-" + std::to_string(i);
        auto report = f.report(ms, node);
        const auto startAll = [&](std::int64_t now) {
            const auto orders = f.ordersFor(node, now);
            f.confirm(node, orders.at(node), now);
            for (const auto& it : orders.at(node).orders)
                report.running.push_back({ it.task, it.run, {}, 10 });
        };
        f.receive(report, ms);
        startAll(ms);
        report.sentAtMs = report.listedAtMs = static_cast<std::uint64_t>(ms + 1000);
        f.receive(report, ms + 1000);
        f.controller.addJob("starting-" + std::to_string(i), Fixture::job(), {}, 0, Fixture::at(ms).steady);
        startAll(ms + 1000);
        REQUIRE(report.running.size() == 2);
        f.crash(report, ms + 1020, ms + 3000);
        f.controller.cancelJob("starting-" + std::to_string(i), Fixture::at(ms + 3000));
    }
    CHECK(f.controller.jobs().at("long").progress.state == WorkloadState::running);
    CHECK(f.controller.jobs().at("long").progress.at({ 0, 0, 0 }).losses == 0);
}

// Guards against adding up the losses of one power failure over the members of a gang.
TEST_CASE("a gang that loses all members at once is not given up")
{
    Fixture f;
    auto row = Fixture::job(6, true);
    row.request.steps[0].perTask = { 1000, 1000, 8 };
    f.controller.addJob("job", row, {}, 0, Fixture::at(0).steady);
    std::vector<std::string> nodes;
    for (int i = 0; i < 6; ++i)
        nodes.push_back("node-" + std::to_string(i));
    for (const auto& it : nodes)
        f.receive(f.report(10, it), 10);
    (void)f.controller.plan(Fixture::at(10));
    f.storeAll();
    CHECK(f.controller.takeOrders(Fixture::at(10)).size() == 6);
    for (const auto& it : nodes) {
        auto report = f.report(3000, it);
        report.lifetime.startedUnixMs = 2;
        f.receive(report, 3000);
    }
    CHECK(f.controller.jobs().at("job").progress.state == WorkloadState::pending);
    for (std::uint32_t i = 0; i < 6; ++i)
        CHECK(f.controller.jobs().at("job").progress.at({ 0, 0, i }).losses == 1);
}

// Guards against adding up crashes under different tasks, none of which has crashed two executors.
TEST_CASE("a gang is repeated after one crash under each of two members")
{
    Fixture f;
    auto row = Fixture::job(2, true);
    row.request.steps[0].perTask = { 1000, 1000, 8 };
    f.controller.addJob("job", row, {}, 0, Fixture::at(0).steady);
    for (std::uint32_t round = 0; round < 2; ++round) {
        const std::int64_t ms = 1000 + round * 4000;
        const std::vector<std::string> nodes { "a" + std::to_string(round), "b" + std::to_string(round) };
        for (const auto& it : nodes)
            f.receive(f.report(ms, it), ms);
        const auto orders = f.ordersFor(nodes[0], ms);
        REQUIRE(orders.size() == 2);
        for (const auto& [node, batch] : orders)
            f.confirm(node, batch, ms);
        for (const auto& it : nodes) {
            auto report = f.report(ms + 3000, it);
            const auto& order = orders.at(it).orders.at(0);
            if (parseTaskName(order.task)->position.index == round) {
                f.crash(f.report(ms, it), ms + 20, ms + 3000);
                continue;
            }
            report.ended = { { 1, order.task, order.run, RunEndKind::broken, {} } };
            f.receive(report, ms + 3000);
            report.state = ExecutorState::draining;
            f.receive(report, ms + 3001);
        }
        f.storeAll();
    }
    CHECK(f.controller.jobs().at("job").progress.state == WorkloadState::running);
    CHECK(f.controller.jobs().at("job").progress.at({ 0, 0, 0 }).crashes == 1);
    CHECK(f.controller.jobs().at("job").progress.at({ 0, 0, 1 }).crashes == 1);
}

// Guards against a crashing task without a limit where executors return only after their permits have expired.
TEST_CASE("a task is given up after five crashes of executors that return late")
{
    Fixture f;
    f.controller.addJob("job", Fixture::job(), {}, 0, Fixture::at(0).steady);
    int starts = 0;
    for (int i = 0; i < 8; ++i) {
        const std::int64_t ms = 20000 + i * 20000;
        const auto node = "node-" + std::to_string(i);
        const auto before = f.report(ms, node);
        f.receive(before, ms);
        f.controller.superviseRuns(Fixture::at(ms));
        (void)f.controller.plan(Fixture::at(ms));
        f.storeAll();
        const auto orders = f.controller.takeOrders(Fixture::at(ms));
        if (!orders.contains(node))
            continue;
        ++starts;
        f.confirm(node, orders.at(node), ms);
        f.controller.superviseRuns(Fixture::at(ms + 9000));
        f.crash(before, ms + 20, ms + 10000);
    }
    CHECK(starts == 5);
    CHECK(f.controller.jobs().at("job").progress.state == WorkloadState::failed);
}

// Guards against counting one failed run of a gang once for each leader that hears of a member.
TEST_CASE("members that fail in one run under two leaders spend one attempt of their gang")
{
    Fixture f;
    auto row = Fixture::job(2, true);
    row.request.steps[0].perTask = { 1000, 1000, 8 };
    f.controller.addJob("job", row, {}, 0, Fixture::at(0).steady);
    f.receive(f.report(10, "a"), 10);
    f.receive(f.report(10, "b"), 10);
    (void)f.controller.plan(Fixture::at(10));
    f.storeAll();
    const auto orders = f.controller.takeOrders(Fixture::at(10));
    REQUIRE(orders.size() == 2);
    const auto failed = [&](const std::string& node) {
        const auto& order = orders.at(node).orders.at(0);
        auto report = f.report(500, node);
        report.ended = { { 1, order.task, order.run, RunEndKind::failed, {} } };
        return report;
    };
    f.receive(failed("a"), 500);
    const auto writes = f.controller.pendingWrites(10);
    REQUIRE(writes.size() == 1);
    Controller successor { ControllerSettings {}, Epoch { 2 }, Fixture::at(1000).steady, f.metrics };
    successor.setConfig(std::make_shared<const OperatorConfig>());
    successor.addJob("job", row, writes[0].value, 2, Fixture::at(1000).steady);
    successor.onReport(failed("b"), Fixture::at(1100));
    CHECK(successor.jobs().at("job").progress.state == WorkloadState::running);
}

// Guards against a start that was planned for a capacity that the executor no longer has.
TEST_CASE("a start is withdrawn when the capacity of its executor shrinks before the order is sent")
{
    for (const bool isGang : { false, true }) {
        CAPTURE(isGang);
        Fixture f;
        auto row = Fixture::job(2, isGang);
        row.request.steps[0].perTask = { 1000, 1000, 4 };
        f.controller.addJob("job", row, {}, 0, Fixture::at(0).steady);
        f.receive(f.report(10), 10);
        (void)f.controller.plan(Fixture::at(10));
        CHECK(f.controller.liveRuns().size() == 2);
        auto shrunk = f.report(20);
        shrunk.capacity.accelerators = 4;
        f.receive(shrunk, 20);
        f.storeAll();
        const auto orders = f.controller.takeOrders(Fixture::at(30));
        CHECK(orders.empty() == isGang);
        if (!isGang)
            CHECK(orders.at("node-0").orders.size() == 1);
        (void)f.controller.plan(Fixture::at(40));
        CHECK(f.controller.liveRuns().size() == (isGang ? 0 : 1));
    }
}

// Guards against starts on an executor that already holds more than its shrunken capacity.
TEST_CASE("an executor that has shrunk gets no start until its runs fit again")
{
    Fixture f;
    const auto run = f.startOne(10);
    f.controller.addJob("next", Fixture::job(), {}, 0, Fixture::at(0).steady);
    auto report = f.report(100);
    report.running = { run };
    report.capacity.accelerators = 1;
    f.receive(report, 100);
    (void)f.controller.plan(Fixture::at(500));
    CHECK(f.controller.liveRuns().size() == 1);
    report = f.report(600);
    report.ended = { { 1, run.task, run.run, RunEndKind::done, {} } };
    report.capacity.accelerators = 1;
    f.receive(report, 600);
    (void)f.controller.plan(Fixture::at(610));
    CHECK(f.controller.liveRuns().size() == 1);
}

// Guards against a row of another writer that ends each process that leads.
TEST_CASE("a job row or a progress row that no entry wrote is refused")
{
    Fixture f;
    auto row = Fixture::job();
    row.request.steps[0].after = { 7 };
    CHECK_THROWS_AS(f.controller.addJob("job", row, {}, 0, Fixture::at(0).steady), Error);
    row = Fixture::job(4'000'000'000U);
    CHECK_THROWS_AS(f.controller.addJob("job", row, {}, 0, Fixture::at(0).steady), Error);
    row = Fixture::job();
    JobProgress progress { row.request };
    progress.state = static_cast<WorkloadState>(9);
    CHECK_THROWS_AS(f.controller.addJob("job", row, progress.encode("q", "w"), 1, Fixture::at(0).steady), Error);
    CHECK(f.controller.jobs().empty());
}

// Guards against a gang that is spread over racks at once, three times as slow, because the time of its lost run
// counted as waiting for a rack.
TEST_CASE("a gang that lost its run waits for a rack again before it is spread")
{
    Fixture f;
    auto row = Fixture::job(2, true);
    row.request.steps[0].perTask.accelerators = 8;
    row.request.steps[0].prefersOneRack = true;
    f.controller.addJob("gang", row, {}, 0, Fixture::at(0).steady);
    std::vector<NodeReport> reports;
    for (int i = 0; i < 4; ++i) {
        auto it = f.report(0, "node-" + std::to_string(i));
        it.labels = { "a", i < 2 ? "rack-0" : "rack-1" };
        reports.push_back(it);
    }
    const auto receiveAll = [&](std::int64_t ms) {
        for (auto& it : reports) {
            it.sentAtMs = it.listedAtMs = static_cast<std::uint64_t>(ms);
            f.receive(it, ms);
        }
    };
    const auto order = [&](std::int64_t ms) {
        (void)f.controller.plan(Fixture::at(ms));
        f.storeAll();
        return f.controller.takeOrders(Fixture::at(ms));
    };
    // Occupies one executor of a rack until the end of the test.
    const auto occupy = [&](const std::string& rack, std::int64_t ms) {
        auto filler = Fixture::job();
        filler.policy.priority = 0;
        filler.request.steps[0].perTask.accelerators = 8;
        filler.request.steps[0].requiredLabel = rack;
        f.controller.addJob("filler of " + rack, filler, {}, 0, Fixture::at(ms).steady);
    };
    receiveAll(10);
    const auto first = order(10);
    REQUIRE(first.size() == 2);
    REQUIRE(first.contains("node-0"));
    occupy("rack-0", 6000);
    occupy("rack-1", 6000);
    // An executor crash ends the gang long after its submission.
    reports[0].lifetime.startedUnixMs = 6000;
    receiveAll(6000);
    f.controller.onOutcome("node-1", first.at("node-1").lifetime,
        { first.at("node-1").orders.at(0).task, 1, RunOrderResult::stopped, {}, 6001 }, Fixture::at(6001));
    receiveAll(6100);
    CHECK(f.controller.liveRuns().empty());
    // Each rack has capacity for one task only.
    const auto startsOfGang = [&](std::int64_t ms) {
        std::size_t starts = 0;
        for (const auto& [node, batch] : order(ms))
            starts += static_cast<std::size_t>(std::ranges::count_if(
                batch.orders, [](const auto& it) { return it.isStart && it.task.starts_with("gang"); }));
        return starts;
    };
    CHECK(startsOfGang(6100) == 0);
    // The estimate is 2 s and spreading costs 4 s more, so the gang waits half of that, 2 s.
    receiveAll(8050);
    CHECK(startsOfGang(8050) == 0);
    receiveAll(8200);
    CHECK(startsOfGang(8200) == 2);
}

// Guards against losing work with a departing executor whose notice left time to move it, and against moving work that
// ends in time.
TEST_CASE("runs are moved off an executor that departs before they would end")
{
    for (const std::uint32_t percent : { 20U, 90U }) {
        CAPTURE(percent);
        Fixture f;
        const auto run = f.startOne(10);
        auto report = f.report(2000);
        report.running = { { run.task, run.run, {}, percent } };
        report.state = ExecutorState::draining;
        report.remainingMs = 2200;
        f.receive(report, 2000);
        f.controller.superviseRuns(Fixture::at(2001));
        // At 20% after 2 s the run needs 8 s more, at 90% about 0.2 s.
        CHECK(f.controller.liveRuns().begin()->second.isStopping() == (percent == 20));
    }
}

// Guards against stopping work on an executor that has not announced when it departs.
TEST_CASE("runs stay on a draining executor that has not announced its departure time")
{
    Fixture f;
    const auto run = f.startOne(10);
    auto report = f.report(2000);
    report.running = { { run.task, run.run, {}, 20 } };
    report.state = ExecutorState::draining;
    f.receive(report, 2000);
    f.controller.superviseRuns(Fixture::at(2001));
    CHECK_FALSE(f.controller.liveRuns().begin()->second.isStopping());
}

// Guards against memory that grows with each job, and against removing a status that callers may still read.
TEST_CASE("an ended job is removed only after its status retention")
{
    Fixture f;
    const auto run = f.startOne(10);
    auto report = f.report(100);
    report.ended = { { 1, run.task, run.run, RunEndKind::done, {} } };
    f.receive(report, 100);
    const auto retention = std::chrono::duration_cast<std::chrono::milliseconds>(ClusterBounds {}.statusRetention);
    const auto late = Fixture::at(100 + 2 * retention.count());
    CHECK(f.controller.removableJobs(late, 10).empty());
    f.storeAll();
    CHECK(f.controller.removableJobs(Fixture::at(100 + retention.count()), 10).empty());
    CHECK(f.controller.removableJobs(late, 10) == std::vector<std::string> { "job" });
    f.controller.removeJob("job");
    CHECK(f.controller.jobs().empty());
    // The executor may still list the end; it is acknowledged and starts nothing.
    f.receive(report, 200);
    CHECK(f.controller.endsStored("node-0", f.report(0).lifetime) == 1);
    CHECK(f.controller.removableJobs(late, 10).empty());
}
