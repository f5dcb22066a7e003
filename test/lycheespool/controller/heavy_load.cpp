#include "lycheespool/controller/cluster_simulation.h"
#include "lycheespool/controller/simulated_load.h"

#include <doctest/doctest.h>

using namespace lycheespool;

namespace {

/*! @brief One class of jobs and the credit for its results. */
struct LoadClass {
    std::uint32_t priority;
    double perSecond;
    std::int64_t workMs;
    ResourceVector perTask;
    std::uint32_t maxTasks;
    bool isGang;
    double slowdownFactor;
    std::int64_t targetMs;
    double credit;
    /*! @brief Share of the credit that late work earns. */
    double lateShare;
};

constexpr std::size_t nodeCount = 11;
constexpr std::int64_t loadMs = 34000;
constexpr std::int64_t finishMs = 14000;

// Load at about the capacity of 11 executors: long gangs that fill an executor's memory, short urgent gangs that also
// arrive in a burst, and wide jobs of low credit.
const std::vector<LoadClass> heavyLoad {
    { 1, 0.60, 8500, { 26000, 68000, 4 }, 3, true, 3.0, 1000, 3.0, 0.3 },
    { 0, 0.90, 2500, { 7500, 20000, 4 }, 6, true, 1.5, 250, 4.0, 0.8 },
    { 2, 0.40, 9500, { 5600, 11000, 1 }, 18, false, 3.0, 3000, 1.0, 0.1 },
};

/*! @brief Options of a simulated load. */
struct LoadOptions {
    /*! @brief Orders the queue by priority and slack; otherwise by age. */
    bool ordersBySlack { true };
    /*! @brief Forecasts run times from other jobs of the queue; otherwise each job has a queue of its own. */
    bool learns { true };
    /*! @brief Standard deviation of the logarithm of the estimates' errors. */
    double errorSpread { 0 };
};

/*! @brief Simulates the load and returns the share of the possible credit that is earned. */
double creditShare(std::uint64_t seed, const LoadOptions& options)
{
    std::mt19937_64 random { seed };
    ClusterSimulation simulation { seed, nodeCount, {} };
    std::map<std::string, const LoadClass*> classes;
    int next = 0;
    while (simulation.nowMs() < loadMs) {
        for (const auto& it : heavyLoad) {
            const bool isBurst = it.priority == 0 && simulation.nowMs() > 8000 && simulation.nowMs() < 14000;
            const auto chance = it.perSecond * (isBurst ? 2.4 : 1.0) / 10;
            if (!std::bernoulli_distribution { chance }(random))
                continue;
            JobRow row;
            const auto id = "job-" + std::to_string(next++);
            row.queue = options.learns ? "queue-" + std::to_string(it.priority) : "queue of " + id;
            row.workspace = it.priority == 0 ? "guaranteed" : "other";
            // One policy for all jobs orders them by age.
            row.policy = options.ordersBySlack
                ? QueuePolicy { "service", it.priority, 4, it.slowdownFactor, it.targetMs }
                : QueuePolicy { "service", 1, 4, 100.0, 0 };
            StepSpec step;
            step.tasks = std::uniform_int_distribution<std::uint32_t> { 1, it.maxTasks }(random);
            step.perTask = it.perTask;
            step.isGang = it.isGang;
            const auto error = std::exp(std::normal_distribution<double> { 0, 1 }(random)*options.errorSpread);
            step.estimatedMs = static_cast<std::uint32_t>(static_cast<double>(it.workMs) * error);
            row.request.steps.push_back(step);
            classes[id] = &it;
            simulation.submit(id, std::move(row), it.workMs);
        }
        simulation.runUntil(simulation.nowMs() + 100);
    }
    simulation.runUntil(loadMs + finishMs);
    CHECK(simulation.violations().empty());
    double earned = 0;
    double possible = 0;
    for (const auto& [id, job] : simulation.jobs()) {
        const auto& load = *classes.at(id);
        const auto objective
            = load.slowdownFactor * static_cast<double>(load.workMs) + static_cast<double>(load.targetMs);
        const auto took = job.endedMs < 0 ? std::numeric_limits<double>::infinity()
                                          : static_cast<double>(job.endedMs - job.submittedMs);
        possible += load.credit;
        earned += load.credit * earnedShare(took, objective, load.lateShare);
    }
    return earned / possible;
}

/*! @brief Returns the mean share of the credit over several seeds. */
double meanCreditShare(const LoadOptions& options)
{
    constexpr std::uint64_t seeds = 8;
    double share = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        share += creditShare(seed, options) / seeds;
    return share;
}

}

TEST_CASE("under heavy load the order by priority and slack earns more credit than the order by age")
{
    const auto ordered = meanCreditShare({});
    const auto byAge = meanCreditShare({ .ordersBySlack = false });
    MESSAGE("share of the credit: by priority and slack " << ordered << ", by age " << byAge);
    CHECK(ordered > byAge);
}

// Guards against an order by unadjusted estimates, which abandons work that could still be in time.
TEST_CASE("wrong estimates cost less credit when run times are learned from the queue")
{
    constexpr double errorSpread = 0.9;
    const auto learned = meanCreditShare({ .learns = true, .errorSpread = errorSpread });
    const auto unadjusted = meanCreditShare({ .learns = false, .errorSpread = errorSpread });
    MESSAGE("share of the credit: learned " << learned << ", estimates only " << unadjusted);
    CHECK(learned > unadjusted);
}
