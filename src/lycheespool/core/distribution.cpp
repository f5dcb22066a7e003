#include "lycheespool/core/distribution.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <thread>

namespace lycheespool {

namespace acc = boost::accumulators;

struct Distribution::State {
    using Moments = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max>>;
    using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

    Moments moments;
    Quantile median { acc::quantile_probability = 0.5 };
    Quantile p99 { acc::quantile_probability = 0.99 };
};

Distribution::Distribution()
    : m_state { std::make_unique<State>() }
{
}

Distribution::~Distribution() = default;

void Distribution::record(double sample)
{
    if (m_busy.test_and_set(std::memory_order_acquire)) {
        m_skipped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    m_state->moments(sample);
    m_state->median(sample);
    m_state->p99(sample);
    m_busy.clear(std::memory_order_release);
}

DistributionSummary Distribution::summary() const
{
    while (m_busy.test_and_set(std::memory_order_acquire))
        std::this_thread::yield();
    DistributionSummary summary;
    summary.count = acc::count(m_state->moments);
    if (summary.count > 0) {
        summary.mean = acc::mean(m_state->moments);
        summary.max = acc::max(m_state->moments);
        summary.median = acc::p_square_quantile(m_state->median);
        summary.p99 = acc::p_square_quantile(m_state->p99);
    }
    m_busy.clear(std::memory_order_release);
    return summary;
}

}
