#include "lycheespool/request/outlier_ejection.h"

#include <algorithm>
#include <vector>

namespace lycheespool {

namespace {

// Averages over about 100 calls of all executors.
constexpr double smoothing = 0.01;
// Below this ratio to the average the median is not computed, so ordinary calls do not pay for it.
constexpr double medianCheckFactor = 2;

}

void OutlierEjection::ejectIfOutlier(const Membership::Nodes& nodes, ExecutorNode& node, TimePoint now)
{
    updateAverageLatency(node, now);
    const bool mayBeSlow
        = node.health.latencyUs(now) > medianCheckFactor * m_averageLatencyUs.load(std::memory_order_relaxed);
    if (node.health.isEjected(now) || (!node.health.isFailing() && !(mayBeSlow && isSlow(nodes, node, now))))
        return;
    if (m_evaluating.test_and_set(std::memory_order_acquire))
        return;
    const auto ejected = static_cast<std::size_t>(
        std::ranges::count_if(nodes, [&](const auto& it) { return it->health.isEjected(now); }));
    if ((ejected + 1) * nodesPerEjection <= nodes.size())
        node.health.eject(now);
    m_evaluating.clear(std::memory_order_release);
}

void OutlierEjection::updateAverageLatency(const ExecutorNode& node, TimePoint now)
{
    const auto average = m_averageLatencyUs.load(std::memory_order_relaxed);
    const auto sample = node.health.latencyUs(now);
    if (sample > 0)
        m_averageLatencyUs.store(
            average > 0 ? average + smoothing * (sample - average) : sample, std::memory_order_relaxed);
}

bool OutlierEjection::isSlow(const Membership::Nodes& nodes, const ExecutorNode& node, TimePoint now)
{
    const auto latency = node.health.latencyUs(now);
    if (!node.health.hasEnoughSamples() || latency == 0)
        return false;
    std::vector<double> all;
    for (const auto& it : nodes) {
        if (it->health.hasEnoughSamples() && it->health.latencyUs(now) > 0)
            all.push_back(it->health.latencyUs(now));
    }
    if (all.size() < nodesPerEjection)
        return false;
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
    std::ranges::nth_element(all, middle);
    return latency > slowFactor * *middle;
}

}
