// Both promises at a reservation: idle executors are not kept from small work, and small work does not starve a gang.
#include "lycheespool/controller/cluster_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <ranges>
#include <string>
#include <vector>

using namespace lycheespool;

namespace {

constexpr std::size_t executors = 6;
// The rule on accepted jobs allows 3 s beside idle capacity.
constexpr std::int64_t maxIdleWaitMs = 3000;
// A waiting gang may stop the tasks that use its executors: two orders, two outcomes and the next plan, of at most 100
// ms each in the simulation.
constexpr std::int64_t stopMs = 500;
constexpr ResourceVector small { 5600, 23000, 1 };
constexpr ResourceVector wholeExecutor { 26000, 75000, 8 };

JobRow job(std::uint32_t tasks, const ResourceVector& perTask, std::uint32_t estimatedMs, std::uint32_t priority = 1)
{
    JobRow row;
    row.queue = "queue-" + std::to_string(priority);
    row.workspace = "workspace";
    row.policy = { "service", priority, 4, 3.0, 1000 };
    StepSpec step;
    step.tasks = tasks;
    step.perTask = perTask;
    step.estimatedMs = estimatedMs;
    row.request.steps.push_back(step);
    return row;
}

JobRow gang(std::uint32_t tasks)
{
    auto row = job(tasks, wholeExecutor, 11000);
    row.request.steps[0].isGang = true;
    return row;
}

/*! @brief Six executors with one task each, which take workMs, and then the given jobs that need whole executors. */
class OccupiedCluster {
public:
    OccupiedCluster(std::int64_t workMs, std::uint32_t estimatedMs, const std::vector<JobRow>& waiting)
        : simulation { 20261207, executors, SimulationFaults {} }
    {
        auto occupying = job(executors, small, estimatedMs);
        occupying.request.steps[0].maxPerExecutor = 1;
        simulation.runUntil(1000);
        simulation.submit("occupying", occupying, workMs);
        simulation.runUntil(2000);
        for (std::size_t i = 0; i < waiting.size(); ++i)
            simulation.submit("waiting-" + std::to_string(i), waiting[i], 11000);
        simulation.runUntil(2500);
    }

    /*! @brief Submits a job and returns its wait for its first start, ms; infinite if that takes longer than 20 s. */
    std::int64_t waitOf(const std::string& id, const JobRow& row, std::int64_t workMs)
    {
        simulation.submit(id, row, workMs);
        const auto submittedMs = simulation.nowMs();
        while (simulation.jobs().at(id).startedMs < 0 && simulation.nowMs() < submittedMs + 20000)
            simulation.runUntil(simulation.nowMs() + 10);
        const auto startedMs = simulation.jobs().at(id).startedMs;
        return startedMs < 0 ? std::numeric_limits<std::int64_t>::max() : startedMs - submittedMs;
    }

    ClusterSimulation simulation;
};

/*! @brief Submits a steady flow of small jobs of a less important queue and returns the start of the gang, ms after its
 * submission; infinite if that takes longer than 60 s. */
std::int64_t gangWaitBesideFlow(std::int64_t everyMs, std::int64_t workMs, std::uint32_t estimatedMs)
{
    OccupiedCluster cluster { 8000, 8000, { gang(executors) } };
    auto& simulation = cluster.simulation;
    const auto submittedMs = simulation.jobs().at("waiting-0").submittedMs;
    for (int i = 0; simulation.nowMs() < submittedMs + 60000; ++i) {
        if (simulation.jobs().at("waiting-0").startedMs >= 0)
            return simulation.jobs().at("waiting-0").startedMs - submittedMs;
        simulation.submit("small-" + std::to_string(i), job(1, small, estimatedMs, 2), workMs);
        simulation.runUntil(simulation.nowMs() + everyMs);
    }
    return std::numeric_limits<std::int64_t>::max();
}

}

// Guards against idle executors that are kept whole and without a time limit for a gang that waits for long tasks.
TEST_CASE("a small job starts beside waiting work that needs whole executors")
{
    auto lasting = job(1, small, 0, 2);
    lasting.request.steps[0].isService = true;
    const std::vector<std::pair<std::string, std::vector<JobRow>>> waiting {
        { "gang", { gang(executors) } },
        { "two gangs", { gang(3), gang(3) } },
        { "single tasks", { job(executors, wholeExecutor, 11000) } },
    };
    // The long tasks take 30 s; their estimate is right or a quarter of that.
    for (const std::uint32_t estimatedMs : { 7600U, 30000U }) {
        for (const auto& [name, rows] : waiting) {
            CAPTURE(estimatedMs);
            CAPTURE(name);
            OccupiedCluster cluster { 30000, estimatedMs, rows };
            CHECK(cluster.waitOf("early", job(1, small, 2500, 2), 2500) < maxIdleWaitMs);
            CHECK(cluster.waitOf("longer than the gang's wait", job(1, small, 60000, 2), 2500) < maxIdleWaitMs);
            // The estimates of the long tasks are over by now if they are wrong.
            cluster.simulation.runUntil(12000);
            CHECK(cluster.waitOf("late", job(1, small, 2500, 2), 2500) < maxIdleWaitMs);
            CHECK(cluster.waitOf("lasting", lasting, 3600000) < maxIdleWaitMs);
            CHECK(cluster.simulation.violations().empty());
        }
    }
}

// Guards against a flow of small jobs, each of which would end before the gang could start, that puts off the start of
// the gang again and again.
TEST_CASE("a gang beside a steady flow of small jobs starts when the tasks that it waits for have ended")
{
    // The tasks that the gang waits for end 7 s after its submission.
    constexpr std::int64_t possibleMs = 7000;
    CHECK(gangWaitBesideFlow(150, 2500, 2500) < possibleMs + stopMs);
    CHECK(gangWaitBesideFlow(550, 9000, 9000) < possibleMs + stopMs);
    // Estimates of the small jobs that are wrong by a factor of ten.
    CHECK(gangWaitBesideFlow(550, 9000, 900) < possibleMs + stopMs);
}

// Guards against small jobs that are stopped for a waiting gang and are then lost or never end.
TEST_CASE("small jobs that make way for a gang end after it")
{
    OccupiedCluster cluster { 8000, 8000, { gang(executors) } };
    auto& simulation = cluster.simulation;
    for (int i = 0; i < 12; ++i)
        simulation.submit("small-" + std::to_string(i), job(1, small, 900, 2), 9000);
    simulation.runUntil(45000);
    CHECK(std::ranges::all_of(simulation.jobs() | std::views::values, [](const auto& it) { return it.endedMs >= 0; }));
    CHECK(simulation.violations().empty());
}
