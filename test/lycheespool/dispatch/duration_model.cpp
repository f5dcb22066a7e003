#include "lycheespool/dispatch/duration_model.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace lycheespool;

namespace {

/*! @brief A queue whose run times and estimation errors are log-normal. */
struct TaskSource {
    double meanMs;
    double taskSpread;
    double errorSpread;
    std::mt19937_64 random { 7 };

    /*! @brief Draws an estimate and a run time. */
    std::pair<double, double> draw()
    {
        const auto run = meanMs * std::exp(std::normal_distribution<double> { 0, taskSpread }(random));
        const auto estimate = run * std::exp(std::normal_distribution<double> { 0, errorSpread }(random));
        return { estimate, run };
    }
};

struct MeanErrors {
    double forecast { 0 };
    double estimate { 0 };
};

/*! @brief Mean error of the logarithm, for forecasts and for plain estimates, after some estimates and runs. */
MeanErrors errorsAfter(TaskSource source, int estimates, int runs)
{
    DurationModel model;
    for (int i = 0; i < std::max(estimates, runs); ++i) {
        const auto [estimate, run] = source.draw();
        model.addEstimate("queue", estimate);
        if (i < runs)
            model.addRun("queue", estimate, run);
    }
    MeanErrors errors;
    constexpr int tries = 500;
    for (int i = 0; i < tries; ++i) {
        const auto [estimate, run] = source.draw();
        errors.forecast += std::abs(std::log(model.forecast("queue", estimate).expectedMs / run)) / tries;
        errors.estimate += std::abs(std::log(estimate / run)) / tries;
    }
    return errors;
}

}

// Guards against ordering a queue by estimates that are wrong by a factor of up to ten.
TEST_CASE("wrong estimates of similar tasks are corrected by the queue's mean")
{
    const TaskSource source { 2500, 0.3, 0.9 };
    const auto learned = errorsAfter(source, 20, 20);
    CHECK(learned.forecast < learned.estimate / 2);
    // Estimates alone already yield the mean before any run has ended.
    const auto early = errorsAfter(source, 20, 0);
    CHECK(early.forecast < early.estimate * 0.6);
}

// Guards against replacing accurate estimates by the mean when tasks differ.
TEST_CASE("accurate estimates of differing tasks are kept")
{
    const auto errors = errorsAfter({ 2500, 1.0, 0.1 }, 100, 100);
    CHECK(errors.forecast < 0.2);
}

TEST_CASE("queues are independent, and an unknown queue yields the estimate")
{
    DurationModel model;
    model.addRun("slow", 10'000, 10'000);
    CHECK(model.forecast("fast", 100).expectedMs == doctest::Approx(100));
    CHECK(model.forecast("slow", 100).expectedMs > 1000);
}

TEST_CASE("missing estimates and run times of zero are ignored")
{
    DurationModel model;
    model.addEstimate("queue", 0);
    model.addRun("queue", 0, 0);
    CHECK(model.forecast("queue", 0).expectedMs == 0);
    model.addRun("queue", 0, 3000);
    CHECK(model.forecast("queue", 0).expectedMs == doctest::Approx(3000));
}

TEST_CASE("the spread shrinks as runs are recorded")
{
    DurationModel model;
    model.addEstimate("queue", 2500);
    const auto before = model.forecast("queue", 2500).spread;
    for (int i = 0; i < 20; ++i)
        model.addRun("queue", 2500, 2500);
    CHECK(model.forecast("queue", 2500).spread < before / 2);
    CHECK(model.forecast("queue", 2500).upperMs(2) > 2500);
}

// Guards against an underestimated run that looks as if it were about to end for as long as it lasts.
TEST_CASE("the remaining time of a run that exceeds its forecast grows with its age")
{
    const DurationForecast forecast { 1000, 0.5 };
    CHECK(forecast.remainingMs(0) == 1000);
    CHECK(forecast.remainingMs(200) == 800);
    CHECK(forecast.remainingMs(1000) > 300);
    CHECK(forecast.remainingMs(8000) > 2 * forecast.remainingMs(2000));
}
