#include "telemetry/metrics.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("counters, gauges and histograms are printed in the Prometheus text format")
{
    Metrics metrics;
    metrics.countRefusal(Reason::ZoneOut, Outcome::NotRun);
    metrics.countRefusal(Reason::ZoneOut, Outcome::NotRun);
    metrics.countRetry(Reason::EndpointDied);
    metrics.setGauge("g", 1.5);
    metrics.observeLatency("h", std::chrono::milliseconds(10));
    metrics.observeLatency("h", std::chrono::hours(1));
    const std::string text = metrics.toPrometheusText();
    CHECK(text.find("orioletrail_refusals_total{reason=\"zone-out\",run=\"not-run\"} 2\n") != std::string::npos);
    CHECK(text.find("orioletrail_retries_total{reason=\"endpoint-died\"} 1\n") != std::string::npos);
    CHECK(text.find("# TYPE g gauge\ng 1.5\n") != std::string::npos);
    CHECK(text.find("h_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    CHECK(text.find("h_count 2\n") != std::string::npos);
    CHECK(metrics.counter("orioletrail_retries_total", "reason=\"endpoint-died\"") == 1);
    CHECK(metrics.counter("none") == 0);
}

TEST_CASE("every reason has a unique, non-empty name")
{
    std::map<std::string_view, int> names;
    for (size_t i = 0; i < static_cast<size_t>(Reason::Count); ++i) {
        const std::string_view name = reasonName(static_cast<Reason>(i));
        CHECK_FALSE(name.empty());
        CHECK(++names[name] == 1);
    }
}

// Fails if a name from elsewhere ends the line of a metric.
TEST_CASE("a label holds any characters")
{
    Metrics metrics;
    metrics.setGauge("g", Metrics::label("name", "a\"b\\c\nd"), 1);
    CHECK(metrics.toPrometheusText() == "# TYPE g gauge\ng{name=\"a\\\"b\\\\c\\nd\"} 1\n");
}
