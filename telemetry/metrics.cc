#include "telemetry/metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace orioletrail {

namespace bh = boost::histogram;

namespace detail {

    constexpr unsigned latencyBucketCount = 70;
    constexpr double minLatencySeconds = 10e-6;
    constexpr double maxLatencySeconds = 100;

    using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
    using LatencyBuckets = decltype(bh::make_histogram(LatencyAxis(latencyBucketCount, minLatencySeconds, maxLatencySeconds)));

    struct LatencyHistogram {
        LatencyBuckets buckets = bh::make_histogram(LatencyAxis(latencyBucketCount, minLatencySeconds, maxLatencySeconds));
        double sum = 0;
        uint64_t count = 0;
    };

    // Prints one histogram. Empty buckets are omitted; `le` is in seconds.
    void printHistogram(std::ostream& out, const std::string& name, const LatencyHistogram& histogram)
    {
        out << "# TYPE " << name << " histogram\n";
        double cumulative = 0;
        for (auto&& bucket : bh::indexed(histogram.buckets, bh::coverage::all)) {
            if (bucket.index() >= static_cast<int>(latencyBucketCount))
                continue;
            cumulative += *bucket;
            if (*bucket > 0)
                out << name << "_bucket{le=\"" << bucket.bin().upper() << "\"} " << cumulative << '\n';
        }
        out << name << "_bucket{le=\"+Inf\"} " << histogram.count << '\n';
        out << name << "_sum " << histogram.sum << '\n'
            << name << "_count " << histogram.count << '\n';
    }

} // namespace detail

struct Metrics::Histograms {
    std::map<std::string, detail::LatencyHistogram, std::less<>> byName;
};

Metrics::Metrics()
    : m_histograms(std::make_unique<Histograms>())
{
}

Metrics::~Metrics() = default;

std::string Metrics::label(std::string_view name, std::string_view value)
{
    std::string text(name);
    text += "=\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        if (c == '\n')
            text += "\\n";
        else
            text += c;
    }
    return text += '"';
}

void Metrics::count(std::string_view name, std::string_view labels, uint64_t increment)
{
    const std::lock_guard lock(m_mutex);
    auto family = m_counters.find(name);
    if (family == m_counters.end())
        family = m_counters.try_emplace(std::string(name)).first;
    const auto value = family->second.find(labels);
    if (value == family->second.end())
        family->second.emplace(std::string(labels), increment);
    else
        value->second += increment;
}

void Metrics::countRefusal(Reason reason, Outcome outcome)
{
    std::string labels = "reason=\"";
    labels += reasonName(reason);
    labels += "\",run=\"";
    labels += outcomeName(outcome);
    labels += '"';
    count("orioletrail_refusals_total", labels);
}

void Metrics::countRetry(Reason reason)
{
    std::string labels = "reason=\"";
    labels += reasonName(reason);
    labels += '"';
    count("orioletrail_retries_total", labels);
}

void Metrics::setGauge(std::string_view name, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges.insert_or_assign(std::string(name), value);
}

void Metrics::setGauge(std::string_view name, std::string_view labels, double value)
{
    std::string key(name);
    key += '{';
    key += labels;
    key += '}';
    setGauge(key, value);
}

void Metrics::observeLatency(std::string_view name, std::chrono::nanoseconds elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const std::lock_guard lock(m_mutex);
    auto found = m_histograms->byName.find(name);
    if (found == m_histograms->byName.end())
        found = m_histograms->byName.try_emplace(std::string(name)).first;
    found->second.buckets(seconds);
    found->second.sum += seconds;
    ++found->second.count;
}

std::string Metrics::toPrometheusText() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    for (const auto& [name, values] : m_counters) {
        out << "# TYPE " << name << " counter\n";
        for (const auto& [labels, value] : values)
            out << name << (labels.empty() ? "" : "{" + labels + "}") << ' ' << value << '\n';
    }
    std::string family;
    for (const auto& [name, value] : m_gauges) {
        if (std::string withoutLabels = name.substr(0, name.find('{')); withoutLabels != family) {
            family = std::move(withoutLabels);
            out << "# TYPE " << family << " gauge\n";
        }
        out << name << ' ' << value << '\n';
    }
    for (const auto& [name, histogram] : m_histograms->byName)
        detail::printHistogram(out, name, histogram);
    return out.str();
}

uint64_t Metrics::counter(std::string_view name, std::string_view labels) const
{
    const std::lock_guard lock(m_mutex);
    const auto family = m_counters.find(name);
    if (family == m_counters.end())
        return 0;
    const auto value = family->second.find(labels);
    return value == family->second.end() ? 0 : value->second;
}

} // namespace orioletrail
