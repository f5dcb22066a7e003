#include "lycheespool/request/node_health.h"

#include <algorithm>

namespace lycheespool {

namespace {

// Averages over about 10 calls, so that a sudden slowdown shows within a second at 10 calls per second.
constexpr double smoothing = 0.1;
// An older latency is ignored, so that a slow executor is tried again.
constexpr Duration staleAfter = std::chrono::seconds { 10 };
constexpr std::uint32_t consecutiveFailureLimit = 5;
constexpr double failureRatioLimit = 0.5;
constexpr Duration ejectionTime = std::chrono::seconds { 5 };
constexpr std::uint32_t maxEjectionFactor = 6;
// A success this long after the end of an ejection resets the count of ejections.
constexpr Duration ejectionResetTime = std::chrono::seconds { 60 };
constexpr double minShare = 0.1;

TimePoint::rep ticks(TimePoint time) { return time.time_since_epoch().count(); }

double smooth(double average, double sample) { return average + smoothing * (sample - average); }

}

void NodeHealth::recordSuccess(Duration elapsed, TimePoint now)
{
    const auto us = std::chrono::duration<double, std::micro> { elapsed }.count();
    const auto average = latencyUs(now);
    m_latencyUs.store(average > 0 ? smooth(average, us) : us, std::memory_order_relaxed);
    m_measuredAt.store(ticks(now), std::memory_order_relaxed);
    m_samples.fetch_add(1, std::memory_order_relaxed);
    m_calls.fetch_add(1, std::memory_order_relaxed);
    m_failureRatio.store(smooth(failureRatio(), 0), std::memory_order_relaxed);
    m_consecutiveFailures.store(0, std::memory_order_relaxed);
    if (ticks(now) > m_ejectedUntil.load(std::memory_order_relaxed) + Duration { ejectionResetTime }.count())
        m_ejections.store(0, std::memory_order_relaxed);
}

void NodeHealth::recordFailure()
{
    m_calls.fetch_add(1, std::memory_order_relaxed);
    m_failureRatio.store(smooth(failureRatio(), 1), std::memory_order_relaxed);
    m_consecutiveFailures.fetch_add(1, std::memory_order_relaxed);
}

double NodeHealth::latencyUs(TimePoint now) const
{
    const auto age = ticks(now) - m_measuredAt.load(std::memory_order_relaxed);
    return age < Duration { staleAfter }.count() ? m_latencyUs.load(std::memory_order_relaxed) : 0;
}

bool NodeHealth::isFailing() const
{
    const bool often = m_calls.load(std::memory_order_relaxed) >= minSamples && failureRatio() > failureRatioLimit;
    return often || m_consecutiveFailures.load(std::memory_order_relaxed) >= consecutiveFailureLimit;
}

void NodeHealth::eject(TimePoint now)
{
    const auto factor = std::min(m_ejections.fetch_add(1, std::memory_order_relaxed) + 1, maxEjectionFactor);
    const auto until = now + ejectionTime * factor;
    m_ejectedUntil.store(ticks(until), std::memory_order_relaxed);
    beginSlowStart(until);
    // Earlier measurements do not apply to the executor after its ejection.
    m_samples.store(0, std::memory_order_relaxed);
    m_calls.store(0, std::memory_order_relaxed);
    m_latencyUs.store(0, std::memory_order_relaxed);
    m_failureRatio.store(0, std::memory_order_relaxed);
    m_consecutiveFailures.store(0, std::memory_order_relaxed);
}

bool NodeHealth::isEjected(TimePoint now) const { return ticks(now) < m_ejectedUntil.load(std::memory_order_relaxed); }

void NodeHealth::beginSlowStart(TimePoint from)
{
    m_slowUntil.store(ticks(from + slowStartTime), std::memory_order_relaxed);
}

double NodeHealth::workShare(TimePoint now) const
{
    const auto left = m_slowUntil.load(std::memory_order_relaxed) - ticks(now);
    if (left <= 0)
        return 1;
    const auto whole = static_cast<double>(Duration { slowStartTime }.count());
    return std::max(minShare, 1 - static_cast<double>(left) / whole);
}

}
