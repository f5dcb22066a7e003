#include "lycheespool/controller/cluster_simulation.h"
#include "lycheespool/controller/simulated_load.h"

#include <doctest/doctest.h>

using namespace lycheespool;

namespace {

/*! @brief One class of jobs of a planner that mixes urgent wide steps with long gangs. */
struct LoadClass {
    std::uint32_t priority;
    double perSecond;
    double workMs;
    double workSpread;
    double estimateSpread;
    std::int64_t milliCores;
    std::int64_t memoryMiB;
    std::vector<std::int64_t> accelerators;
    double width;
    std::uint32_t maxWidth;
    double slowdownFactor;
    std::int64_t targetMs;
    double credit;
    /*! @brief Share of the credit that late work earns. */
    double lateShare;
};

constexpr std::int64_t loadMs = 34000;
constexpr std::int64_t endMs = 60000;
constexpr std::size_t nodeCount = 11;

// More work than the executors can do in time. Urgent steps take whole executors as often as parts of them, arrive in
// bursts, and their run times are known only within a factor of two.
const std::vector<LoadClass> plannerLoad {
    { 1, 0.72, 8500, 0.3, 0.2, 26000, 38000, { 1, 2, 4, 8, 8 }, 1.5, 9, 3.0, 1000, 3.0, 0.3 },
    { 0, 0.90, 2500, 0.5, 0.5, 7500, 15000, { 1, 2, 4, 8, 8 }, 3.4, 21, 1.5, 250, 4.0, 0.2 },
    { 2, 0.44, 6100, 0.3, 0.5, 5500, 11500, { 1 }, 9.2, 55, 3.0, 3000, 1.0, 0.3 },
};

/*! @brief Plays the load and returns the share of the possible credit that callers get. */
double creditShare(std::uint64_t seed, const DecisionPolicy& policy)
{
    std::mt19937_64 random { seed };
    ClusterSimulation simulation { seed, SimulationSize { nodeCount }, {}, policy };
    std::map<std::string, const LoadClass*> classes;
    const auto submit = [&](const LoadClass& load) {
        const auto id = "job-" + std::to_string(classes.size());
        const auto workMs = draw(random, load.workMs, load.workSpread);
        JobRow row;
        row.queue = "queue-" + std::to_string(load.priority);
        row.workspace = "workspace";
        row.policy = { "service", load.priority, 4, load.slowdownFactor, load.targetMs };
        StepSpec step;
        step.tasks
            = std::clamp<std::uint32_t>(static_cast<std::uint32_t>(draw(random, load.width, 0.8)), 1, load.maxWidth);
        const auto pick = std::uniform_int_distribution<std::size_t> { 0, load.accelerators.size() - 1 }(random);
        step.perTask = { load.milliCores, load.memoryMiB, load.accelerators[pick] };
        step.estimatedMs = static_cast<std::uint32_t>(draw(random, workMs, load.estimateSpread));
        row.request.steps.push_back(step);
        classes[id] = &load;
        simulation.submit(id, std::move(row), static_cast<std::int64_t>(workMs));
    };
    while (simulation.nowMs() < loadMs) {
        for (const auto& load : plannerLoad) {
            const bool isBurst = load.priority == 0 && simulation.nowMs() > 8000 && simulation.nowMs() < 14000;
            if (std::bernoulli_distribution { load.perSecond * (isBurst ? 2.4 : 1.0) / 10 }(random))
                submit(load);
        }
        simulation.runUntil(simulation.nowMs() + 100);
    }
    simulation.runUntil(endMs);
    CHECK(simulation.violations().empty());
    double earned = 0;
    double possible = 0;
    for (const auto& [id, job] : simulation.jobs()) {
        const auto& load = *classes.at(id);
        const auto objective
            = load.slowdownFactor * static_cast<double>(job.workMs) + static_cast<double>(load.targetMs);
        const auto took = static_cast<double>((job.endedMs < 0 ? 2 * endMs : job.endedMs) - job.submittedMs);
        const auto work = static_cast<double>(job.workMs) / load.workMs;
        const auto weight = 0.3 + 0.7 * work;
        possible += load.credit * weight;
        earned += load.credit * weight * earnedShare(took, objective, load.lateShare);
    }
    return earned / possible;
}

double meanCreditShare(const DecisionPolicy& policy)
{
    constexpr std::uint64_t seeds = 4;
    double share = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        share += creditShare(seed, policy) / seeds;
    return share;
}

}

// Guards against an order that lets old work of no urgency hold up urgent work in an overload.
TEST_CASE("in an overload of the planner's mix the order by slack earns callers more than the order by age")
{
    DecisionPolicy byAge;
    byAge.ordersBySlack = false;
    const auto bySlackShare = meanCreditShare({});
    const auto byAgeShare = meanCreditShare(byAge);
    MESSAGE("share of the credit: by slack " << bySlackShare << ", by age " << byAgeShare);
    CHECK(bySlackShare > byAgeShare);
}
