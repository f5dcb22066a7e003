#include "lycheespool/nodeagent/agent_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

/*! @brief Executor whose answers the test sets; a model of ExecutorControl. */
struct FakeExecutor {
    /*! @brief Answers to the next calls; later calls have no answer. */
    std::vector<HoldAnswer> answers;
    std::vector<HoldRequest> holds;
    /*! @brief Start of the lifetime that answers, Unix ms; calls to another one are refused. Any if empty. */
    std::optional<std::int64_t> startedUnixMs;

    [[nodiscard]] Awaitable<ExecutorAnswer> start(RunStart, Duration) { co_return ExecutorAnswer {}; }
    [[nodiscard]] Awaitable<ExecutorAnswer> stop(RunStop, Duration) { co_return ExecutorAnswer {}; }
    [[nodiscard]] Awaitable<HoldAnswer> hold(HoldRequest request, Duration)
    {
        holds.push_back(std::move(request));
        co_await sleepFor(5ms);
        HoldAnswer answer;
        if (startedUnixMs && holds.back().lifetime.startedUnixMs != *startedUnixMs) {
            answer.answer.kind = ExecutorAnswerKind::wrongLifetime;
        } else if (!answers.empty()) {
            answer = std::move(answers.front());
            answers.erase(answers.begin());
        }
        co_return answer;
    }
};

static_assert(ExecutorControl<FakeExecutor>);

HoldAnswer accepted(ListExtent extent = ListExtent::complete)
{
    HoldAnswer answer;
    answer.answer.kind = ExecutorAnswerKind::accepted;
    answer.answer.clockMs = 1000;
    answer.extent = extent;
    return answer;
}

/*! @brief An agent with an executor and a leader that stores all ends. */
struct Fixture {
    FakeExecutor executor;
    AgentWithLeader<FakeExecutor> agent { executor };
};

}

// Guards against ended tasks that start again: their ends did not fit into a list whose stored ends were removed.
TEST_CASE("a list that was cut off stays partial after its stored ends were removed")
{
    Fixture f;
    auto list = accepted(ListExtent::partial);
    list.ended = { { 1, "job.0.0.0", 1, RunEndKind::done, {} } };
    f.executor.answers = { list };
    f.agent.announce(1);
    const auto isTrimmed = [](const NodeReport& it) { return it.listedAtMs > 0 && it.ended.empty(); };
    REQUIRE(f.agent.runUntil(isTrimmed));
    const auto reports = f.agent.reports();
    CHECK(std::ranges::find_if(reports, isTrimmed)->listExtent == ListExtent::partial);
}

// Guards against an agent that keeps the lease of a lost executor alive in place of this executor.
TEST_CASE("an agent asks for a permit only after the executor of this lifetime has answered")
{
    Fixture f;
    REQUIRE(f.agent.runUntil([](const NodeReport& it) { return it.state == ExecutorState::absent; }));
    f.agent.announce(1);
    REQUIRE(f.agent.runUntil([](const NodeReport& it) { return it.lifetime.isKnown(); }));
    CHECK(std::ranges::none_of(f.agent.reports(), &NodeReport::extendsLease));
    f.executor.answers.assign(3, accepted());
    CHECK(f.agent.runUntil([](const NodeReport& it) { return it.extendsLease && it.provesExecutor(); }));
}

// Guards against runs that are taken for lost, or counted as crashed, on the evidence of a mere announcement.
TEST_CASE("a lifetime that has never answered is not reported as the one before")
{
    Fixture f;
    f.executor.startedUnixMs = 2;
    f.executor.answers.assign(3, accepted());
    f.agent.announce(1);
    f.agent.runFor(50ms);
    f.agent.announce(2);
    REQUIRE(
        f.agent.runUntil([](const NodeReport& it) { return it.lifetime.startedUnixMs == 2 && it.provesExecutor(); }));
    CHECK_FALSE(f.agent.reports().back().previousLifetime.isKnown());
    f.executor.startedUnixMs = 3;
    f.executor.answers.assign(3, accepted());
    f.agent.announce(3);
    REQUIRE(
        f.agent.runUntil([](const NodeReport& it) { return it.lifetime.startedUnixMs == 3 && it.provesExecutor(); }));
    CHECK(f.agent.reports().back().previousLifetime.startedUnixMs == 2);
}

// Guards against starts that are planned for a crashed executor until its agent's next report is due.
TEST_CASE("an agent reports at once that its executor has stopped answering")
{
    Fixture f;
    f.executor.answers.assign(3, accepted());
    f.agent.announce(1);
    REQUIRE(f.agent.runUntil([](const NodeReport& it) { return it.provesExecutor(); }));
    const auto isSilent = [](const NodeReport& it) { return it.listedAtMs > 0 && !it.extendsLease; };
    REQUIRE(f.agent.runUntil(isSilent));
    const auto reports = f.agent.reports();
    const auto silent = std::ranges::find_if(reports, isSilent);
    REQUIRE(silent != reports.begin());
    CHECK(silent->sentAtMs - std::prev(silent)->sentAtMs < 600);
}

// Guards against a lease of a new executor that lasts longer than the leader knows.
TEST_CASE("a lease is extended only by a permit for its own lifetime")
{
    Fixture f;
    f.executor.answers.assign(20, accepted());
    f.agent.announce(1);
    const auto hasLease = [&](std::int64_t started) {
        return std::ranges::any_of(f.executor.holds,
            [&](const auto& it) { return it.lifetime.startedUnixMs == started && it.leaseEndMs.has_value(); });
    };
    REQUIRE(f.agent.runUntil([&](const NodeReport&) { return hasLease(1); }));
    f.agent.grantsPermits = false;
    f.executor.answers.assign(20, accepted());
    f.executor.startedUnixMs = 2;
    f.agent.announce(2);
    REQUIRE(
        f.agent.runUntil([](const NodeReport& it) { return it.lifetime.startedUnixMs == 2 && it.provesExecutor(); }));
    f.agent.runFor(300ms);
    CHECK_FALSE(hasLease(2));
    f.agent.grantsPermits = true;
    CHECK(f.agent.runUntil([&](const NodeReport&) { return hasLease(2); }));
}
