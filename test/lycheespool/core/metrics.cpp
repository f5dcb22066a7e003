#include "lycheespool/core/metrics.h"

#include <doctest/doctest.h>

using namespace lycheespool;

// Guards against durations of which a reader sees quantiles only: they cannot be added over processes.
TEST_CASE("a histogram is rendered with its type and cumulative buckets")
{
    Metrics metrics;
    auto& histogram = metrics.histogram("wait_ms");
    histogram.record(3);
    histogram.record(150);
    const auto text = metrics.render();
    CHECK(text.find("# TYPE lycheespool_wait_ms histogram") != std::string::npos);
    CHECK(text.find("lycheespool_wait_ms_bucket{le=\"5\"} 1") != std::string::npos);
    CHECK(text.find("lycheespool_wait_ms_bucket{le=\"200\"} 2") != std::string::npos);
    CHECK(text.find("lycheespool_wait_ms_bucket{le=\"+Inf\"} 2") != std::string::npos);
    CHECK(text.find("lycheespool_wait_ms_sum 153") != std::string::npos);
}

// Guards against a second counter of the same name, whose events the first holder would not see.
TEST_CASE("a counter that is asked for twice is one counter")
{
    Metrics metrics;
    metrics.counter("calls_total").add();
    metrics.counter("calls_total").add(2);
    CHECK(metrics.counter("calls_total").value() == 3);
    CHECK(metrics.render().find("# TYPE lycheespool_calls_total counter") != std::string::npos);
}

// Guards against a gauge that keeps the value of its registration.
TEST_CASE("a gauge is read at each rendering")
{
    Metrics metrics;
    double value = 1;
    metrics.gauge("age_ms", [&value] { return value; });
    value = 7;
    CHECK(metrics.render().find("lycheespool_age_ms 7") != std::string::npos);
}
