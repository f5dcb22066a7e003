#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

namespace lycheespool::bench {

/*! @brief A figure measured at one size. */
struct Point {
    double x { 0 };
    double y { 0 };
};

/*! @brief Least-squares line through points. */
struct Line {
    double slope { 0 };
    double intercept { 0 };
    /*! @brief Coefficient of determination, 0 to 1. */
    double r2 { 0 };
};

/**
 * @brief Fits a line by least squares.
 * @param points Points with at least two different x.
 * @return The line.
 */
[[nodiscard]] inline Line fitLine(const std::vector<Point>& points)
{
    const auto n = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    for (const auto& it : points) {
        sumX += it.x;
        sumY += it.y;
    }
    const double meanX = sumX / n;
    const double meanY = sumY / n;
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (const auto& it : points) {
        xx += (it.x - meanX) * (it.x - meanX);
        xy += (it.x - meanX) * (it.y - meanY);
        yy += (it.y - meanY) * (it.y - meanY);
    }
    Line line;
    line.slope = xy / xx;
    line.intercept = meanY - line.slope * meanX;
    line.r2 = yy > 0 ? xy * xy / (xx * yy) : 1;
    return line;
}

/*! @brief Median and range of repeated measurements. */
struct Spread {
    double median { 0 };
    double min { 0 };
    double max { 0 };
};

/**
 * @brief Summarises repeated measurements.
 * @param samples At least one measurement.
 * @return Median and range.
 */
[[nodiscard]] inline Spread spreadOf(std::vector<double> samples)
{
    std::ranges::sort(samples);
    const auto middle = samples.size() / 2;
    const double median = samples.size() % 2 == 1 ? samples[middle] : (samples[middle - 1] + samples[middle]) / 2;
    return { median, samples.front(), samples.back() };
}

/**
 * @brief Prints one figure on a line of standard output.
 * @param setting Varied parameter, as in `agents=100`.
 * @param name Name of the figure.
 * @param spread Its value.
 * @param unit Unit of the value.
 */
inline void printFigure(std::string_view setting, std::string_view name, const Spread& spread, std::string_view unit)
{
    fmt::print("{} {} {:.6g} {} ({:.6g}..{:.6g})\n", setting, name, spread.median, unit, spread.min, spread.max);
    std::fflush(stdout);
}

/**
 * @brief Prints the linear fit of a figure over sizes.
 * @param setting Fixed parameters.
 * @param name Name of the figure.
 * @param points Figures by size.
 * @param unit Unit of the figure.
 * @param per Unit of the size.
 */
inline void printFit(std::string_view setting, std::string_view name, const std::vector<Point>& points,
    std::string_view unit, std::string_view per)
{
    const auto line = fitLine(points);
    fmt::print("{} fit {} = {:.6g} {} + {:.6g} {} per {}, r2 {:.4f}\n", setting, name, line.intercept, unit, line.slope,
        unit, per, line.r2);
    std::fflush(stdout);
}

/**
 * @brief Measures the mean time of an action in several repeats.
 * @tparam Action Callable without arguments.
 * @param repeats Number of measurements.
 * @param count Number of calls in each of them.
 * @param action Action to measure.
 * @return Time of one call in nanoseconds.
 */
template <typename Action>
[[nodiscard]] Spread timeOf(std::size_t repeats, std::size_t count, Action action)
{
    std::vector<double> samples;
    for (std::size_t i = 0; i < repeats; ++i) {
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t k = 0; k < count; ++k)
            action();
        const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
        samples.push_back(elapsed.count() / static_cast<double>(count));
    }
    return spreadOf(std::move(samples));
}

}
