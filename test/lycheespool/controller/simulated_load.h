#pragma once

#include <cmath>
#include <random>

namespace lycheespool {

/*! @brief Draws from a log-normal distribution with a mean and a standard deviation of the logarithm. */
inline double draw(std::mt19937_64& random, double mean, double spread)
{
    return mean * std::exp(spread * std::normal_distribution<double> { 0, 1 }(random)-spread * spread / 2);
}

/*! @brief Returns the share of its credit that a job earns: late work earns less, and none past three objectives. */
inline double earnedShare(double tookMs, double objectiveMs, double lateShare)
{
    if (tookMs <= objectiveMs)
        return 1;
    return tookMs <= 3 * objectiveMs ? lateShare : 0;
}

}
