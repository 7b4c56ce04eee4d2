// Counters and latency histograms of one process, printed in the Prometheus text format.
#pragma once

#include "base/types.h"

#include <map>
#include <memory>
#include <mutex>

namespace orioletrail {

// Counts events by name and label. Safe to use from any thread.
class Metrics {
public:
    Metrics();
    ~Metrics();

    // Adds to a counter; `labels` is empty or in the form name="value".
    void count(std::string_view name, std::string_view labels = {}, uint64_t by = 1);

    // Counts a refusal sent to a caller, by reason and outcome.
    void countRefusal(Reason, Outcome);

    // Counts a retry, by the reason of the attempt that failed.
    void countRetry(Reason);

    // Sets a gauge.
    void set(std::string_view name, double value);

    // Adds a latency to a histogram with logarithmic bins from 10 us to 100 s.
    void observe(std::string_view name, std::chrono::nanoseconds);

    // All values in the Prometheus text format, sorted by name.
    std::string print() const;

    // The value of a counter with these labels, 0 if it was never counted.
    uint64_t counter(std::string_view name, std::string_view labels = {}) const;

private:
    struct Histograms;

    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, uint64_t, std::less<>>, std::less<>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
    std::unique_ptr<Histograms> m_histograms;
};

} // namespace orioletrail
