#include "lycheespool/controller/cluster_simulation.h"

#include <doctest/doctest.h>

using namespace lycheespool;

namespace {

/*! @brief One class of a day's jobs and what an answer is worth to its callers. */
struct LoadClass {
    std::uint32_t priority;
    double perSecond;
    std::int64_t workMs;
    ResourceVector perTask;
    std::uint32_t maxTasks;
    bool isGang;
    double stretch;
    std::int64_t targetMs;
    double worth;
    double lateWorth;
};

constexpr std::size_t nodeCount = 11;
constexpr std::int64_t dayMs = 34000;
constexpr std::int64_t finishMs = 14000;

// A day at about the capacity of 11 executors: long gangs that fill an executor's memory, short urgent gangs with a
// burst of them, and wide cheap work.
const std::vector<LoadClass> heavyDay {
    { 1, 0.60, 8500, { 26000, 68000, 4 }, 3, true, 3.0, 1000, 3.0, 0.3 },
    { 0, 0.90, 2500, { 7500, 20000, 4 }, 6, true, 1.5, 250, 4.0, 0.8 },
    { 2, 0.40, 9500, { 5600, 11000, 1 }, 18, false, 3.0, 3000, 1.0, 0.1 },
};

/*! @brief What a day is played with. */
struct DayRules {
    /*! @brief Orders by priority and slack; else by age. */
    bool isOrdered { true };
    /*! @brief Learns run times from other jobs of the queue; else each job is alone in its queue. */
    bool learns { true };
    /*! @brief Standard deviation of the logarithm of the estimates' errors. */
    double errorSpread { 0 };
};

/*! @brief Plays the day and gives the share of the worth that its callers get. */
double playDay(std::uint64_t seed, const DayRules& rules)
{
    std::mt19937_64 random { seed };
    ClusterSimulation simulation { seed, nodeCount, {} };
    std::map<std::string, const LoadClass*> classes;
    int next = 0;
    while (simulation.nowMs() < dayMs) {
        for (const auto& it : heavyDay) {
            const bool isBurst = it.priority == 0 && simulation.nowMs() > 8000 && simulation.nowMs() < 14000;
            const auto chance = it.perSecond * (isBurst ? 2.4 : 1.0) / 10;
            if (!std::bernoulli_distribution { chance }(random))
                continue;
            JobRow row;
            const auto id = "job-" + std::to_string(next++);
            row.queue = rules.learns ? "queue-" + std::to_string(it.priority) : "queue of " + id;
            row.workspace = it.priority == 0 ? "guaranteed" : "other";
            // The plain rule treats all work alike, which orders it by age.
            row.policy = rules.isOrdered ? QueuePolicy { "service", it.priority, 4, it.stretch, it.targetMs }
                                         : QueuePolicy { "service", 1, 4, 100.0, 0 };
            StepSpec step;
            step.tasks = std::uniform_int_distribution<std::uint32_t> { 1, it.maxTasks }(random);
            step.perTask = it.perTask;
            step.isGang = it.isGang;
            const auto error = std::exp(std::normal_distribution<double> { 0, 1 }(random)*rules.errorSpread);
            step.estimatedMs = static_cast<std::uint32_t>(static_cast<double>(it.workMs) * error);
            row.request.steps.push_back(step);
            classes[id] = &it;
            simulation.submit(id, std::move(row), it.workMs);
        }
        simulation.runUntil(simulation.nowMs() + 100);
    }
    simulation.runUntil(dayMs + finishMs);
    CHECK(simulation.violations().empty());
    double earned = 0;
    double owed = 0;
    for (const auto& [id, job] : simulation.jobs()) {
        const auto& load = *classes.at(id);
        const auto objective
            = static_cast<std::int64_t>(load.stretch * static_cast<double>(load.workMs)) + load.targetMs;
        const auto took = job.endedMs < 0 ? std::numeric_limits<std::int64_t>::max() : job.endedMs - job.submittedMs;
        owed += load.worth;
        if (took <= objective)
            earned += load.worth;
        else if (took <= 3 * objective)
            earned += load.worth * load.lateWorth;
    }
    return earned / owed;
}

/*! @brief Mean share of the worth over some days. */
double playDays(const DayRules& rules)
{
    constexpr std::uint64_t days = 8;
    double share = 0;
    for (std::uint64_t seed = 1; seed <= days; ++seed)
        share += playDay(seed, rules) / days;
    return share;
}

}

TEST_CASE("on a heavy day callers get more from the order by priority and slack than from the order by age")
{
    const auto ordered = playDays({});
    const auto plain = playDays({ .isOrdered = false });
    MESSAGE("share of the worth: ordered " << ordered << ", by age " << plain);
    CHECK(ordered > plain);
}

// Guards against an order by bare estimates, which gives up work that could still be in time.
TEST_CASE("wrong estimates cost callers less when run times are learned from the queue")
{
    constexpr double errorSpread = 0.9;
    const auto learned = playDays({ .learns = true, .errorSpread = errorSpread });
    const auto bare = playDays({ .learns = false, .errorSpread = errorSpread });
    MESSAGE("share of the worth: learned " << learned << ", bare estimates " << bare);
    CHECK(learned > bare);
}
