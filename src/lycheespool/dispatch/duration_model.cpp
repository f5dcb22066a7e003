#include "lycheespool/dispatch/duration_model.h"

#include <algorithm>
#include <cmath>

namespace lycheespool {

namespace {

// Prior for the error of estimates: the platform says that their logarithm is off by 0.9 (standard deviation).
constexpr double errorVariance = 0.81;
// Prior for the tasks of one queue, which differ by about 40%.
constexpr double taskVariance = 0.16;
// Weight of the priors, in observations.
constexpr double priorWeight = 5;

double variance(double squares, double count, double prior)
{
    return (squares + priorWeight * prior) / (count + priorWeight);
}

}

double DurationForecast::upperMs(double deviations) const { return expectedMs * std::exp(deviations * spread); }

void DurationModel::Moments::add(double value)
{
    ++count;
    const auto before = value - mean;
    mean += before / static_cast<double>(count);
    squares += before * (value - mean);
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
    auto& known = m_queues[queue];
    known.runs.add(std::log(runMs));
    if (estimateMs <= 0)
        return;
    const auto error = std::log(estimateMs) - std::log(runMs);
    known.errorSquares += error * error;
    ++known.errors;
}

DurationForecast DurationModel::forecast(std::string_view queue, double estimateMs) const
{
    const auto it = m_queues.find(queue);
    if (it == m_queues.end() || (it->second.estimates.count == 0 && it->second.runs.count == 0))
        return { estimateMs, std::sqrt(errorVariance) };
    const auto& known = it->second;
    const auto runs = static_cast<double>(known.runs.count);
    const auto estimates = static_cast<double>(known.estimates.count);
    const auto ofErrors = variance(known.errorSquares, static_cast<double>(known.errors), errorVariance);
    const auto ofTasks = variance(known.runs.squares, runs, taskVariance);
    // Each estimate tells of the queue's mean as well, but less than a run does.
    const auto estimateInRuns = ofTasks / (ofTasks + ofErrors);
    const auto weight = runs + estimates * estimateInRuns;
    const auto mean = (runs * known.runs.mean + estimates * estimateInRuns * known.estimates.mean) / weight;
    const auto ofMean = ofTasks / weight;
    if (estimateMs <= 0)
        return { std::exp(mean), std::sqrt(ofTasks + ofMean) };
    const auto trust = (ofTasks + ofMean) / (ofTasks + ofMean + ofErrors);
    const auto expected = mean + trust * (std::log(estimateMs) - mean);
    return { std::exp(expected), std::sqrt((1 - trust) * (ofTasks + ofMean)) };
}

}
