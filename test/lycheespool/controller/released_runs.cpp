// Ends of runs that the leader released before their executor listed them.
#include "lycheespool/controller/controller_fixture.h"

#include <algorithm>

using namespace lycheespool;

namespace {

constexpr std::int64_t releasedMs = 20000;

/*! @brief A controller whose runs on some nodes were released because the permits of their executors expired. */
class ReleasedRunFixture : public ControllerFixture {
public:
    explicit ReleasedRunFixture(JobRow row, std::size_t nodes = 1)
        : m_row { std::move(row) }
    {
        controller.addJob("job", m_row, {}, 0, at(10).steady);
        for (std::size_t i = 0; i < nodes; ++i)
            receive(report(10, "node-" + std::to_string(i)), 10);
        (void)controller.plan(at(10));
        storeAll();
        for (const auto& [node, orders] : controller.takeOrders(at(10))) {
            confirm(node, orders, 15);
            for (const auto& it : orders.orders)
                runs[node].push_back({ it.task, it.run, {}, 10 });
        }
        controller.superviseRuns(at(releasedMs));
        REQUIRE(controller.liveRuns().empty());
        storeAll();
    }

    /*! @brief Report of an executor that lists the ends of all runs that it had. */
    [[nodiscard]] NodeReport listed(RunEndKind kind, std::int64_t ms, const std::string& node = "node-0") const
    {
        auto it = report(ms, node);
        it.listExtent = ListExtent::complete;
        for (const auto& run : runs.at(node))
            it.ended.push_back({ it.ended.size() + 1, run.task, run.run, kind, "000020" });
        return it;
    }

    /*! @brief Starts the job again on an unused node; returns its orders. */
    std::map<std::string, NodeOrders> startAgain(const std::string& node, std::int64_t ms)
    {
        receive(report(ms, node), ms);
        auto orders = ordersFor(node, ms);
        confirm(node, orders.at(node), ms + 5);
        return orders;
    }

    /*! @brief Sends a start of the job to an unused node, which does not answer; returns the order. */
    RunOrder startUnanswered(const std::string& node, std::int64_t ms)
    {
        receive(report(ms, node), ms);
        return ordersFor(node, ms).at(node).orders.at(0);
    }

    [[nodiscard]] const JobProgress& progress() const { return controller.jobs().at("job").progress; }

    /*! @brief Lets a successor take over from the stored rows. */
    [[nodiscard]] Controller successor(std::int64_t ms)
    {
        const auto stored = progress().encode("queue", "");
        Controller it { ControllerSettings {}, Epoch { 2 }, at(ms).steady, metrics };
        it.setConfig(std::make_shared<const OperatorConfig>());
        it.addJob("job", m_row, stored, ++version, at(ms).steady);
        return it;
    }

    std::map<std::string, std::vector<RunningTask>> runs;

private:
    JobRow m_row;
};

}

// Guards against repeating finished work whose executor was cut off, until the job is given up (LOST).
TEST_CASE("a task is done when a released run of it is listed as done")
{
    ReleasedRunFixture f { ControllerFixture::job() };
    f.receive(f.listed(RunEndKind::done, releasedMs + 100), releasedMs + 100);
    CHECK(f.progress().state == WorkloadState::completed);
    CHECK(f.controller.endsStored("node-0", f.report(0).lifetime) == 0);
    f.storeAll();
    CHECK(f.controller.endsStored("node-0", f.report(0).lifetime) == 1);
}

// Guards against a second run that goes on beside a finished one.
TEST_CASE("a released run that is listed as done stops the later run of its task")
{
    ReleasedRunFixture f { ControllerFixture::job() };
    const auto orders = f.startAgain("node-1", releasedMs + 100);
    const auto& run = orders.at("node-1").orders.at(0);
    f.receive(f.listed(RunEndKind::done, releasedMs + 200), releasedMs + 200);
    CHECK(f.progress().state == WorkloadState::completed);
    auto later = f.report(releasedMs + 300, "node-1");
    later.running = { { run.task, run.run, {}, 10 } };
    f.receive(later, releasedMs + 300);
    const auto stops = f.controller.takeOrders(ControllerFixture::at(releasedMs + 300));
    REQUIRE(stops.contains("node-1"));
    CHECK_FALSE(stops.at("node-1").orders.at(0).isStart);
    CHECK(stops.at("node-1").orders.at(0).run == run.run);
}

// Guards against work that is done twice: the end of a released run was acknowledged and its job shown as completed,
// and an executor carried out the start of a later run after that (TWICE).
TEST_CASE("a released end is neither shown nor acknowledged while a later run of its task may still begin")
{
    enum class Outcome : std::uint8_t { stopped, begun, neverSent, executorEnded };
    for (const auto outcome : { Outcome::stopped, Outcome::begun, Outcome::neverSent, Outcome::executorEnded }) {
        CAPTURE(static_cast<int>(outcome));
        ReleasedRunFixture f { ControllerFixture::job() };
        const auto order = f.startUnanswered("node-1", releasedMs + 100);
        f.receive(f.listed(RunEndKind::done, releasedMs + 200), releasedMs + 200);
        f.controller.superviseRuns(ControllerFixture::at(releasedMs + 200));
        f.storeAll();
        CHECK(f.progress().state == WorkloadState::running);
        CHECK(f.controller.endsStored("node-0", f.report(0).lifetime) == 0);
        const auto stops = f.controller.takeOrders(ControllerFixture::at(releasedMs + 300));
        REQUIRE(stops.contains("node-1"));
        CHECK_FALSE(stops.at("node-1").orders.at(0).isStart);

        const auto now = ControllerFixture::at(releasedMs + 1000);
        auto later = f.report(releasedMs + 1000, "node-1");
        const auto answeredMs = static_cast<std::uint64_t>(releasedMs + 900);
        switch (outcome) {
        case Outcome::stopped:
            f.controller.onOutcome("node-1", later.lifetime,
                { order.task, order.run, RunOrderResult::stopped, {}, answeredMs, true }, now);
            break;
        case Outcome::begun:
            later.running = { { order.task, order.run, {}, 10 } };
            f.receive(later, releasedMs + 1000);
            break;
        case Outcome::neverSent:
            f.controller.onOutcome("node-1", later.lifetime,
                { order.task, order.run, RunOrderResult::unresolved, "unreachable", answeredMs, false }, now);
            break;
        case Outcome::executorEnded:
            f.crash(later, releasedMs + 400, releasedMs + 1000);
            break;
        }
        f.controller.superviseRuns(now);
        CHECK(f.progress().state == WorkloadState::completed);
        f.storeAll();
        CHECK(f.controller.endsStored("node-0", f.report(0).lifetime) == 1);
    }
}

// Guards against a later leader that acknowledges the end, or never completes the job, since it finds the task done.
TEST_CASE("a successor waits for the later run of a finished task as well")
{
    ReleasedRunFixture f { ControllerFixture::job() };
    const auto order = f.startUnanswered("node-1", releasedMs + 100);
    const auto list = f.listed(RunEndKind::done, releasedMs + 200);
    f.receive(list, releasedMs + 200);
    f.storeAll();
    auto successor = f.successor(releasedMs + 300);
    successor.onReport(list, ControllerFixture::at(releasedMs + 300));
    successor.onReport(f.report(releasedMs + 300, "node-1"), ControllerFixture::at(releasedMs + 300));
    successor.superviseRuns(ControllerFixture::at(releasedMs + 300));
    CHECK(successor.jobs().at("job").progress.state == WorkloadState::running);
    CHECK(successor.endsStored("node-0", list.lifetime) == 0);
    const auto stops = successor.takeOrders(ControllerFixture::at(releasedMs + 2000));
    REQUIRE(stops.contains("node-1"));
    CHECK_FALSE(stops.at("node-1").orders.at(0).isStart);
    successor.onOutcome("node-1", f.report(0, "node-1").lifetime,
        { order.task, order.run, RunOrderResult::stopped, {}, static_cast<std::uint64_t>(releasedMs + 2100), true },
        ControllerFixture::at(releasedMs + 2100));
    CHECK(successor.jobs().at("job").progress.state == WorkloadState::completed);
}

// Guards against a job that stays open for good: its leader ended between the last stop and the completion.
TEST_CASE("a successor completes a job whose tasks are all done")
{
    ReleasedRunFixture f { ControllerFixture::job() };
    auto row = f.progress();
    row.at({ 0, 0, 0 }).done = true;
    Controller successor { ControllerSettings {}, Epoch { 2 }, ControllerFixture::at(releasedMs).steady, f.metrics };
    successor.addJob(
        "job", ControllerFixture::job(), row.encode("queue", ""), 9, ControllerFixture::at(releasedMs).steady);
    successor.superviseRuns(ControllerFixture::at(releasedMs + 100));
    CHECK(successor.jobs().at("job").progress.state == WorkloadState::completed);
}

// Guards against a start after the last attempt: its failed end was acknowledged while that start was under way
// (BUDGET).
TEST_CASE("the end of a released run that spends the last attempt waits for a later start")
{
    ReleasedRunFixture f { ControllerFixture::job() };
    f.receive(f.listed(RunEndKind::failed, releasedMs + 100), releasedMs + 100);
    f.storeAll();
    const auto orders = f.startAgain("node-1", releasedMs + 10000);
    const auto second = orders.at("node-1").orders.at(0);
    const std::int64_t releasedAgainMs = 2 * releasedMs + 20000;
    f.controller.superviseRuns(ControllerFixture::at(releasedAgainMs));
    const auto third = f.startUnanswered("node-2", releasedAgainMs + 100);
    REQUIRE(third.run == second.run + 1);
    auto failed = f.report(releasedAgainMs + 200, "node-1");
    failed.ended = { { 1, second.task, second.run, RunEndKind::failed, {} } };
    f.receive(failed, releasedAgainMs + 200);
    f.storeAll();
    REQUIRE(f.progress().state == WorkloadState::failed);
    CHECK(f.controller.endsStored("node-1", failed.lifetime) == 0);
    f.controller.onOutcome("node-2", f.report(0, "node-2").lifetime,
        { third.task, third.run, RunOrderResult::stopped, {}, static_cast<std::uint64_t>(releasedAgainMs + 300), true },
        ControllerFixture::at(releasedAgainMs + 300));
    CHECK(f.controller.endsStored("node-1", failed.lifetime) == 1);
}

// Guards against a gang that works again although a released run of it was completed.
TEST_CASE("a gang is done when a released member is listed as done, and its later run is stopped")
{
    auto row = ControllerFixture::job(2, true);
    row.request.steps[0].perTask = { 1000, 1000, 8 };
    ReleasedRunFixture f { row, 2 };
    f.receive(f.report(releasedMs + 100, "node-2"), releasedMs + 100);
    const auto orders = f.startAgain("node-3", releasedMs + 100);
    REQUIRE(f.controller.liveRuns().size() == 2);
    f.receive(f.listed(RunEndKind::done, releasedMs + 200), releasedMs + 200);
    // The start of the other member has no answer yet.
    CHECK(f.progress().state == WorkloadState::running);
    f.confirm("node-2", orders.at("node-2"), releasedMs + 300);
    CHECK(f.progress().state == WorkloadState::completed);
    CHECK(std::ranges::all_of(f.controller.liveRuns(), [](const auto& it) { return it.second.isStopping(); }));
}

// Guards against more attempts than the queue allows, after failures of runs that were released (BUDGET).
TEST_CASE("a released run that is listed as failed spends an attempt")
{
    ReleasedRunFixture f { ControllerFixture::job() };
    f.receive(f.listed(RunEndKind::failed, releasedMs + 100), releasedMs + 100);
    CHECK(f.progress().at({ 0, 0, 0 }).failures == 1);
    auto orders = f.startAgain("node-1", releasedMs + 10000);
    const auto& run = orders.at("node-1").orders.at(0);
    auto failed = f.report(releasedMs + 10100, "node-1");
    failed.ended = { { 1, run.task, run.run, RunEndKind::failed, {} } };
    f.receive(failed, releasedMs + 10100);
    CHECK(f.progress().state == WorkloadState::failed);
}

// Guards against a job that is shown as failed because one failed run was counted by two leaders (LOST).
TEST_CASE("a failed run that two leaders list spends one attempt")
{
    for (const bool isGang : { false, true }) {
        CAPTURE(isGang);
        ReleasedRunFixture f { ControllerFixture::job(1, isGang) };
        const auto list = f.listed(RunEndKind::failed, releasedMs + 100);
        f.receive(list, releasedMs + 100);
        auto successor = f.successor(releasedMs + 200);
        successor.onReport(list, ControllerFixture::at(releasedMs + 300));
        CHECK(successor.jobs().at("job").progress.at({ 0, 0, 0 }).failures == 1);
        CHECK(successor.jobs().at("job").progress.state == WorkloadState::running);
    }
}

// Guards against counting a failure twice whose run the row of an earlier version does not name.
TEST_CASE("a failure in the row of an earlier version is not counted again")
{
    ReleasedRunFixture f { ControllerFixture::job() };
    const auto list = f.listed(RunEndKind::failed, releasedMs + 100);
    auto old = f.progress();
    old.at({ 0, 0, 0 }).failures = 1;
    Controller successor { ControllerSettings {}, Epoch { 2 }, ControllerFixture::at(releasedMs).steady, f.metrics };
    successor.setConfig(std::make_shared<const OperatorConfig>());
    successor.addJob(
        "job", ControllerFixture::job(), old.encode("queue", ""), 9, ControllerFixture::at(releasedMs).steady);
    successor.onReport(list, ControllerFixture::at(releasedMs + 100));
    CHECK(successor.jobs().at("job").progress.at({ 0, 0, 0 }).failures == 1);
    CHECK(successor.jobs().at("job").progress.state == WorkloadState::running);
}

// Guards against saved work that is thrown away because its run was released before it was stopped.
TEST_CASE("the checkpoint of a released run is kept unless its task has a later run")
{
    for (const bool hasLaterRun : { false, true }) {
        CAPTURE(hasLaterRun);
        ReleasedRunFixture f { ControllerFixture::job() };
        if (hasLaterRun)
            (void)f.startAgain("node-1", releasedMs + 100);
        f.receive(f.listed(RunEndKind::lapsed, releasedMs + 200), releasedMs + 200);
        CHECK(f.progress().at({ 0, 0, 0 }).checkpoint == (hasLaterRun ? "" : "000020"));
    }
}

// Guards against an entry of a list that names a run which was never ordered.
TEST_CASE("ends of unknown jobs, tasks and runs are acknowledged and change nothing")
{
    ReleasedRunFixture f { ControllerFixture::job() };
    auto list = f.report(releasedMs + 100);
    list.ended = { { 1, "0123456789abcdef.0.0.0", 1, RunEndKind::done, {} },
        { 2, "job.0.0.7", 1, RunEndKind::done, {} }, { 3, "job.0.0.0", 2, RunEndKind::done, {} },
        { 4, "job.0.0.0", 0, RunEndKind::failed, {} }, { 5, "not a task", 1, RunEndKind::done, {} } };
    f.receive(list, releasedMs + 100);
    CHECK(f.progress().state == WorkloadState::running);
    CHECK(f.progress().at({ 0, 0, 0 }).failures == 0);
    CHECK(f.controller.endsStored("node-0", list.lifetime) == 5);
}

// Guards against stops of runs that may be done by now, on the word of a list from before their release.
TEST_CASE("a list that is repeated after the release of its runs causes no stop")
{
    ControllerFixture f;
    const auto run = f.startOne(10);
    auto list = f.report(500);
    list.running = { run };
    f.receive(list, 500);
    f.controller.superviseRuns(ControllerFixture::at(releasedMs));
    REQUIRE(f.controller.liveRuns().empty());
    list.sentAtMs = releasedMs + 100;
    list.extendsLease = false;
    f.receive(list, releasedMs + 100);
    CHECK(f.controller.nodes().at("node-0").unknownRuns.empty());
    CHECK(f.controller.takeOrders(ControllerFixture::at(releasedMs + 100)).empty());
}

// Guards against a run that spends an attempt and counts as a loss as well, until a sound job is given up (LOST).
TEST_CASE("a released run whose end was listed is no loss when its executor crashes later")
{
    ReleasedRunFixture f { ControllerFixture::job() };
    auto list = f.listed(RunEndKind::failed, releasedMs + 100);
    list.extendsLease = false;
    f.receive(list, releasedMs + 100);
    CHECK(f.progress().at({ 0, 0, 0 }).failures == 1);
    f.crash(f.report(0), releasedMs + 200, releasedMs + 3000);
    CHECK(f.progress().at({ 0, 0, 0 }).losses == 0);
}

// Guards against a warning for each end that an earlier leader has applied.
TEST_CASE("an end of a task that an earlier leader completed fits its task")
{
    auto row = ControllerFixture::job(2);
    ReleasedRunFixture f { row };
    auto list = f.listed(RunEndKind::done, releasedMs + 100);
    list.ended.resize(1);
    f.receive(list, releasedMs + 100);
    REQUIRE(f.progress().state == WorkloadState::running);
    auto successor = f.successor(releasedMs + 200);
    successor.onReport(list, ControllerFixture::at(releasedMs + 300));
    CHECK(f.metrics.counter("ends_without_run_total").value() == 0);
    CHECK(successor.endsStored("node-0", list.lifetime) == 1);
}
