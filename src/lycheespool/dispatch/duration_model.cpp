#include "lycheespool/dispatch/duration_model.h"

#include <algorithm>
#include <cmath>

namespace lycheespool {

namespace {

// Prior variance of the estimation error: the platform states a standard deviation of 0.9 of its logarithm.
constexpr double errorVariance = 0.81;
// Prior variance of the tasks of one queue, whose run times differ by about 40%.
constexpr double taskVariance = 0.16;
// Weight of both priors, as a number of observations.
constexpr double priorWeight = 5;

double variance(double squares, double count, double prior)
{
    return (squares + priorWeight * prior) / (count + priorWeight);
}

}

double DurationForecast::upperMs(double deviations) const { return expectedMs * std::exp(deviations * spread); }

double DurationForecast::remainingMs(double elapsedMs) const
{
    // Three quarters of a normal distribution are below this number of deviations, so half of the runs that last longer
    // than expected end within this share of their elapsed time.
    constexpr double deviations = 0.6745;
    return std::max(expectedMs - elapsedMs, elapsedMs * std::expm1(deviations * spread));
}

void DurationModel::Moments::add(double value)
{
    ++count;
    const auto deviation = value - mean;
    mean += deviation / static_cast<double>(count);
    squares += deviation * (value - mean);
}

void DurationModel::addEstimate(const std::string& queue, double estimateMs)
{
    if (estimateMs > 0)
        m_queues[queue].estimates.add(std::log(estimateMs));
}

void DurationModel::addRun(const std::string& queue, double estimateMs, double runMs)
{
    if (runMs <= 0)
        return;
    auto& statistics = m_queues[queue];
    statistics.runs.add(std::log(runMs));
    if (estimateMs <= 0)
        return;
    const auto error = std::log(estimateMs) - std::log(runMs);
    statistics.errorSquares += error * error;
    ++statistics.errors;
}

DurationForecast DurationModel::forecast(std::string_view queue, double estimateMs) const
{
    const auto it = m_queues.find(queue);
    if (it == m_queues.end() || (it->second.estimates.count == 0 && it->second.runs.count == 0))
        return { estimateMs, std::sqrt(errorVariance) };
    const auto& statistics = it->second;
    const auto runs = static_cast<double>(statistics.runs.count);
    const auto estimates = static_cast<double>(statistics.estimates.count);
    const auto estimatedErrorVariance
        = variance(statistics.errorSquares, static_cast<double>(statistics.errors), errorVariance);
    const auto estimatedTaskVariance = variance(statistics.runs.squares, runs, taskVariance);
    // An estimate also informs the queue's mean, but with a smaller weight than a run.
    const auto estimateInRuns = estimatedTaskVariance / (estimatedTaskVariance + estimatedErrorVariance);
    const auto weight = runs + estimates * estimateInRuns;
    const auto mean = (runs * statistics.runs.mean + estimates * estimateInRuns * statistics.estimates.mean) / weight;
    const auto meanVariance = estimatedTaskVariance / weight;
    if (estimateMs <= 0)
        return { std::exp(mean), std::sqrt(estimatedTaskVariance + meanVariance) };
    const auto estimateWeight
        = (estimatedTaskVariance + meanVariance) / (estimatedTaskVariance + meanVariance + estimatedErrorVariance);
    const auto expected = mean + estimateWeight * (std::log(estimateMs) - mean);
    return { std::exp(expected), std::sqrt((1 - estimateWeight) * (estimatedTaskVariance + meanVariance)) };
}

}
