// Evidence that the lifetime of an executor has ended, and what the leader does without it.
#include "lycheespool/controller/controller_fixture.h"

using namespace lycheespool;

namespace {

/*! @brief A controller with one run on node-0 and an idle node-1. */
class LifetimeFixture : public ControllerFixture {
public:
    LifetimeFixture()
    {
        run = startOne(10);
        receive(withRun(500), 500);
        receive(report(500, "node-1"), 500);
    }

    /*! @brief Report of the executor that runs the task. */
    [[nodiscard]] NodeReport withRun(std::int64_t ms) const
    {
        auto it = report(ms);
        it.lifetime = present;
        it.running = { run };
        return it;
    }

    /*! @brief Report of an agent that has no answer of the lifetime that it names. */
    [[nodiscard]] NodeReport announced(const Lifetime& lifetime, std::int64_t ms) const
    {
        auto it = report(ms);
        it.lifetime = lifetime;
        it.listedAtMs = 0;
        it.extendsLease = false;
        return it;
    }

    /*! @brief Report of an agent that another lifetime has answered. */
    [[nodiscard]] NodeReport answered(const Lifetime& lifetime, std::int64_t ms) const
    {
        auto it = report(ms);
        it.lifetime = lifetime;
        return it;
    }

    /*! @brief Plans and returns the number of runs that the only task has. */
    std::size_t runsAfter(std::int64_t ms)
    {
        receive(report(ms, "node-1"), ms);
        controller.superviseRuns(at(ms));
        (void)controller.plan(at(ms));
        storeAll();
        return controller.jobs().at("job").progress.at({ 0, 0, 0 }).lastRun;
    }

    /*! @brief Reports and supervises up to a time; the executor of the run is silent. */
    void reportUntil(const Lifetime& lifetime, std::int64_t begin, std::int64_t end)
    {
        for (auto ms = begin; ms < end; ms += 500) {
            receive(answered(lifetime, ms), ms);
            controller.superviseRuns(at(ms));
        }
    }

    const Lifetime present { "executor of node-0", 1 };
    RunningTask run;
};

/*! @brief Lifetimes that an announcement may name while the executor of node-0 runs on. */
const std::vector<Lifetime> announcedLifetimes { { "another executor", 5 }, { "another executor", -5 },
    { "executor of node-0", -5 }, { "executor of node-0", 5 } };

}

// Guards against a second run of a task beside the first one, after an agent was restarted and got an announcement of
// another sender, or a delayed one of a former lifetime, before its executor's own (TWICE).
TEST_CASE("an announced lifetime that has not answered releases no run")
{
    for (const auto& it : announcedLifetimes) {
        CAPTURE(it.executor);
        CAPTURE(it.startedUnixMs);
        LifetimeFixture f;
        f.receive(f.announced(it, 1000), 1000);
        CHECK(f.runsAfter(1010) == 1);
        CHECK((f.controller.nodes().at("node-0").lifetime == f.present));
        f.receive(f.withRun(1500), 1500);
        CHECK(f.runsAfter(1510) == 1);
        CHECK(f.controller.liveRuns().size() == 1);
    }
}

// Guards against a second run, started by a new leader whose first report of the node names another lifetime.
TEST_CASE("a new leader keeps the runs of a lifetime that no report has shown to have ended")
{
    for (const bool isAnswered : { false, true }) {
        CAPTURE(isAnswered);
        LifetimeFixture f;
        const auto stored = f.controller.jobs().at("job").progress.encode("queue", "");
        Controller successor { ControllerSettings {}, Epoch { 2 }, LifetimeFixture::at(5000).steady, f.metrics };
        successor.setConfig(std::make_shared<const OperatorConfig>());
        successor.addJob("job", LifetimeFixture::job(), stored, 7, LifetimeFixture::at(5000).steady);
        const Lifetime former { "former executor", 0 };
        successor.onReport(
            isAnswered ? f.answered(former, 5000) : f.announced({ "other", 9 }, 5000), LifetimeFixture::at(5000));
        successor.superviseRuns(LifetimeFixture::at(5010));
        CHECK(successor.liveRuns().size() == 1);
        successor.onReport(f.withRun(5500), LifetimeFixture::at(5500));
        CHECK((successor.nodes().at("node-0").lifetime == f.present));
        CHECK(successor.liveRuns().size() == 1);
    }
}

// Guards against a run that holds its task indefinitely, if no report ever names its executor to a new leader.
TEST_CASE("a new leader gives up runs of an unreported lifetime once all permits have expired")
{
    LifetimeFixture f;
    const auto stored = f.controller.jobs().at("job").progress.encode("queue", "");
    Controller successor { ControllerSettings {}, Epoch { 2 }, LifetimeFixture::at(0).steady, f.metrics };
    successor.addJob("job", LifetimeFixture::job(), stored, 7, LifetimeFixture::at(0).steady);
    const auto bound
        = std::chrono::duration_cast<std::chrono::milliseconds>(ControllerSettings {}.previousPermitsExpiryBound());
    for (std::int64_t ms = 0; ms <= bound.count() + 500; ms += 500) {
        const auto report = f.answered({ "former executor", 0 }, ms + 1);
        successor.onReport(report, LifetimeFixture::at(ms));
        (void)successor.grantPermit(report, LifetimeFixture::at(ms).steady);
        successor.superviseRuns(LifetimeFixture::at(ms));
        CHECK(successor.liveRuns().size() == (ms <= bound.count() ? 1 : 0));
    }
}

// Guards against a second run after a connection has delivered a report of a former lifetime late.
TEST_CASE("a report of a former lifetime that arrives late releases no run")
{
    LifetimeFixture f;
    const Lifetime next { "executor of node-0", 7 };
    f.receive(f.answered(next, 1000), 1000);
    CHECK(f.runsAfter(1010) == 2);
    const auto runs = f.controller.liveRuns();
    REQUIRE(runs.size() == 1);
    f.receive(f.withRun(900), 1100);
    auto departed = f.withRun(950);
    departed.state = ExecutorState::departed;
    f.receive(departed, 1110);
    CHECK((f.controller.nodes().at("node-0").lifetime == next));
    CHECK(f.runsAfter(1120) == 2);
    CHECK(f.controller.liveRuns().size() == 1);
}

// Guards against work that waits although its executor has certainly ended.
TEST_CASE("a lifetime ends at once when the address answers for a later one")
{
    LifetimeFixture f;
    f.receive(f.answered({ "another executor", 2 }, 1000), 1000);
    CHECK(f.runsAfter(1010) == 2);
}

// Guards against an executor that is kept out because the clock of its VM was set back before it started again.
TEST_CASE("an executor with an earlier start replaces the present one on the evidence of its agent or of time")
{
    const Lifetime next { "another executor", -60000 };
    LifetimeFixture witnessed;
    auto report = witnessed.answered(next, 1000);
    report.previousLifetime = witnessed.present;
    witnessed.receive(report, 1000);
    CHECK(witnessed.runsAfter(1010) == 2);

    LifetimeFixture f;
    const ControllerSettings settings;
    const auto bound
        = std::chrono::duration_cast<std::chrono::milliseconds>(settings.previousPermitsExpiryBound()).count();
    f.receive(f.withRun(bound), bound);
    f.reportUntil(next, bound + 500, bound + 7000);
    CHECK(f.runsAfter(bound + 7000) == 1);
    CHECK(f.controller.liveRuns().size() == 1);
    f.reportUntil(next, bound + 7500, bound + 9000);
    CHECK((f.controller.nodes().at("node-0").lifetime == next));
    CHECK(f.runsAfter(bound + 9000) == 2);
}

// Guards against ends of an executor that are forgotten because those of the lifetime before were stored.
TEST_CASE("stored ends are acknowledged to the lifetime that listed them only")
{
    LifetimeFixture f;
    auto report = f.withRun(1000);
    report.running.clear();
    report.ended = { { 3, f.run.task, f.run.run, RunEndKind::done, {} } };
    f.receive(report, 1000);
    f.storeAll();
    CHECK(f.controller.endsStored("node-0", f.present) == 3);
    CHECK(f.controller.endsStored("node-0", { "another executor", 5 }) == 0);
}
