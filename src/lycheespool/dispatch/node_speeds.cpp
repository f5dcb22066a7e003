#include "lycheespool/dispatch/node_speeds.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lycheespool {

namespace {

// With fewer runs, the mean is not meaningful.
constexpr std::size_t minRuns = 6;
// Limit of the deviation of a single run: a task far from its data or on a disturbed node says little about the speed
// of the node.
constexpr double maxDeviation = 0.5;
// Weight, in runs, of the prior that a node has mean speed: the tasks of a step differ by about as much as the nodes.
constexpr double priorRuns = 1.3;
// Beyond this number of runs the older ones lose weight, since the speed of a node may change.
constexpr double maxRunWeight = 12;

}

void NodeSpeeds::addStep(std::span<const NodeRun> runs)
{
    if (runs.size() < minRuns)
        return;
    const auto logOf = [](const NodeRun& it) { return std::log(std::max(it.runMs, 1.0)); };
    const auto sum = std::transform_reduce(runs.begin(), runs.end(), 0.0, std::plus<> {}, logOf);
    const auto mean = sum / static_cast<double>(runs.size());
    for (const auto& it : runs) {
        auto& statistics = m_nodes[it.node];
        if (statistics.count >= maxRunWeight) {
            statistics.sum *= (maxRunWeight - 1) / statistics.count;
            statistics.count = maxRunWeight - 1;
        }
        statistics.sum += std::clamp(logOf(it) - mean, -maxDeviation, maxDeviation);
        statistics.count += 1;
    }
}

double NodeSpeeds::slownessOf(std::string_view node) const
{
    const auto it = m_nodes.find(node);
    return it == m_nodes.end() ? 0.0 : it->second.sum / (it->second.count + priorRuns);
}

}
