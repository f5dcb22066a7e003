#include "lycheespool/controller/cluster_simulation.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace lycheespool;

namespace {

JobRow randomJob(std::mt19937_64& random)
{
    const auto pick = [&](int low, int high) { return std::uniform_int_distribution<int> { low, high }(random); };
    JobRow row;
    row.queue = "queue";
    row.workspace = pick(0, 1) == 0 ? "guaranteed" : "other";
    row.policy = { "service", static_cast<std::uint32_t>(pick(0, 2)), 1000, 3.0, 1000 };
    const auto steps = pick(1, 3);
    for (int i = 0; i < steps; ++i) {
        StepSpec step;
        step.tasks = static_cast<std::uint32_t>(pick(1, 6));
        const std::int64_t accelerators = pick(0, 8);
        step.perTask = { 2000 + 5000 * accelerators, 4000, accelerators };
        step.isGang = pick(0, 1) == 0;
        step.prefersOneRack = pick(0, 1) == 0;
        step.estimatedMs = static_cast<std::uint32_t>(pick(100, 4000));
        if (i > 0 && pick(0, 1) == 0)
            step.after = { static_cast<std::uint32_t>(i - 1) };
        row.request.steps.push_back(std::move(step));
    }
    return row;
}

/*! @brief Runs random jobs under faults, lets the rest end without faults, and returns the violations. */
std::vector<std::string> simulate(std::uint64_t seed, const SimulationFaults& faults)
{
    std::mt19937_64 random { seed };
    ClusterSimulation simulation { seed, 8, faults };
    const auto pick = [&](int low, int high) { return std::uniform_int_distribution<int> { low, high }(random); };
    for (int i = 0; i < 40; ++i) {
        const auto id = "job-" + std::to_string(i);
        simulation.submit(id, randomJob(random), pick(200, 4000));
        simulation.runUntil(simulation.nowMs() + pick(10, 1200));
        if (pick(0, 9) == 0)
            simulation.cancel("job-" + std::to_string(pick(0, i)));
    }
    simulation.stopFaults();
    simulation.runUntil(simulation.nowMs() + 120000);
    auto violations = simulation.violations();
    for (const auto& [id, job] : simulation.jobs()) {
        if (!job.isCancelled && job.endedMs < 0)
            violations.push_back(id + " did not end");
    }
    return violations;
}

void simulateSeeds(const SimulationFaults& faults, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        const auto violations = simulate(seed, faults);
        const auto first = violations.empty() ? std::string {} : violations.front();
        CAPTURE(first);
        CHECK(violations.empty());
    }
}

/*! @brief Number of seeds per test case: 4 by default, or the value of LYCHEESPOOL_SEEDS. */
std::uint64_t seedsPerCase()
{
    const auto* const text = std::getenv("LYCHEESPOOL_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : 4;
}

}

TEST_CASE("without faults every job ends and no invariant is violated") { simulateSeeds({}, seedsPerCase()); }

// Guards against ended tasks that start again because a list was cut off, and stored ends were removed from it.
TEST_CASE("lists that omit ends and are reported again without the stored ones violate no invariant")
{
    SimulationFaults faults;
    faults.endsPerList = 2;
    simulateSeeds(faults, seedsPerCase());
}

// Guards against a list that arrives after a newer one and releases a run that started between the two.
TEST_CASE("seed 7: an outdated list does not release a run that started after it") { CHECK(simulate(7, {}).empty()); }

TEST_CASE("lost outcomes and unanswered starts cause neither duplicate runs nor lost jobs")
{
    simulateSeeds({ .lostOutcome = 0.2, .unansweredStart = 0.2 }, seedsPerCase());
}

TEST_CASE("commits without an answer leave no run that a successor does not know")
{
    simulateSeeds({ .unknownCommit = 0.3, .leaderChangeMs = 8000 }, seedsPerCase());
}

TEST_CASE("a leader change at any time neither duplicates nor loses work")
{
    simulateSeeds(
        { .lostOutcome = 0.1, .unknownCommit = 0.1, .failure = 0.05, .leaderChangeMs = 5000 }, seedsPerCase());
}

TEST_CASE("a partitioned node runs its tasks until its permit expires, and they restart elsewhere only after that")
{
    simulateSeeds({ .failure = 0.02, .partitionMs = 3000 }, seedsPerCase());
}

TEST_CASE("an executor that restarts loses its tasks at once, and they are restarted")
{
    simulateSeeds({ .restartMs = 2000 }, seedsPerCase());
}

// Guards against runs that are taken for lost on the evidence of an announcement (TWICE).
TEST_CASE("agents that restart and first report an announced lifetime cause neither duplicate runs nor lost jobs")
{
    simulateSeeds({ .leaderChangeMs = 9000, .agentRestartMs = 1000 }, seedsPerCase());
}

// Guards against a leader that goes back to a former lifetime of an executor (TWICE).
TEST_CASE("reports that arrive late cause neither duplicate runs nor lost jobs")
{
    simulateSeeds({ .restartMs = 2000, .lateReport = 0.3 }, seedsPerCase());
}

// Guards against an executor that is kept out because of its earlier start time, and against runs that are released
// while the order of two lifetimes is unknown.
TEST_CASE("executors that restart after their clocks were set back cause neither duplicate runs nor lost jobs")
{
    simulateSeeds({ .restartMs = 2000, .lateReport = 0.1, .clockSetBack = 0.5 }, seedsPerCase());
}

// Guards against runs that are kept for an executor that is gone, because its agent or nobody reports (LOST).
TEST_CASE("executors that never return, with or without their agents, hold no task")
{
    simulateSeeds({ .restartMs = 2000, .neverReturns = 0.3 }, seedsPerCase());
}

TEST_CASE("restarts of agents, late reports and clocks set back beside other faults violate no invariant")
{
    simulateSeeds({ .lostOutcome = 0.05,
                      .unknownCommit = 0.1,
                      .failure = 0.02,
                      .leaderChangeMs = 9000,
                      .partitionMs = 5000,
                      .restartMs = 6000,
                      .agentRestartMs = 3000,
                      .lateReport = 0.1,
                      .clockSetBack = 0.3 },
        2 * seedsPerCase());
}

TEST_CASE("all faults combined violate no invariant")
{
    simulateSeeds({ .lostOutcome = 0.1,
                      .unansweredStart = 0.1,
                      .unknownCommit = 0.1,
                      .failure = 0.05,
                      .leaderChangeMs = 9000,
                      .partitionMs = 5000,
                      .restartMs = 6000 },
        2 * seedsPerCase());
}
