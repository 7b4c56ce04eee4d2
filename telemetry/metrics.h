// Counters, gauges and latency histograms of one process, in the Prometheus text format.
#pragma once

#include "base/types.h"

#include <map>
#include <memory>
#include <mutex>

namespace orioletrail {

// Registry of metrics by name. A metric is created when it gets its first value. Thread-safe.
class Metrics {
public:
    // A label whose value may hold any characters, for the `labels` below.
    static std::string label(std::string_view name, std::string_view value);

    Metrics();
    ~Metrics();

    // Adds to a counter; `labels` is empty or a comma-separated list of name="value".
    void count(std::string_view name, std::string_view labels = {}, uint64_t increment = 1);

    // Counts a refusal sent to a caller in orioletrail_refusals_total, by reason and outcome.
    void countRefusal(Reason, Outcome);

    // Counts a retry in orioletrail_retries_total, by the reason for which the last attempt failed.
    void countRetry(Reason);

    void setGauge(std::string_view name, double value);
    // The same with labels, as for count().
    void setGauge(std::string_view name, std::string_view labels, double value);

    // Adds a latency to a histogram, in seconds, with logarithmic buckets from 10 us to 100 s.
    void observeLatency(std::string_view name, std::chrono::nanoseconds);

    // Returns counters, gauges and histograms, each sorted by name.
    std::string toPrometheusText() const;

    // Returns the value of the counter with exactly these labels, or 0 if it was never counted.
    uint64_t counter(std::string_view name, std::string_view labels = {}) const;

private:
    struct Histograms;

    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, uint64_t, std::less<>>, std::less<>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
    std::unique_ptr<Histograms> m_histograms;
};

} // namespace orioletrail
