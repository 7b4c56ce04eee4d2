#include "cost/output-estimates.h"

#include <algorithm>
#include <cmath>

namespace orioletrail {

namespace detail {

    constexpr double answerWeight = 0.01;
    // Spread that is assumed before answers have shown one: answers differ from an estimate by a factor of two.
    constexpr double assumedSpread = 0.7;
    // Routes are few and named by the configuration; this only bounds a mistake.
    constexpr size_t maxRoutes = 4096;

    double normalBelow(double z)
    {
        return std::erfc(-z / std::sqrt(2.0)) / 2;
    }

} // namespace detail

const OutputEstimates::Error* OutputEstimates::find(std::string_view route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? nullptr : &found->second;
}

void OutputEstimates::onAnswered(std::string_view route, const RequestSize& size, double tokens)
{
    if (tokens <= 0 || (m_routes.size() >= detail::maxRoutes && !m_routes.contains(route)))
        return;
    auto found = m_routes.find(route);
    if (found == m_routes.end())
        found = m_routes.emplace(std::string(route), Error { 0, detail::assumedSpread * detail::assumedSpread, 0, tokens }).first;
    Error& error = found->second;
    error.meanTokens += detail::answerWeight * (tokens - error.meanTokens);
    // Answers that were cut off at the caller's maximum do not show how long they would have been.
    if (!size.estimatedOutputTokens || (size.maxOutputTokens && tokens >= size.maxOutputTokens))
        return;
    const double logRatio = std::log(tokens / size.estimatedOutputTokens);
    ++error.answers;
    // A plain mean until there are as many answers as the moving average counts.
    const double weight = std::max(detail::answerWeight, 1.0 / (error.answers + 1));
    const double deviation = logRatio - error.mean;
    error.mean += weight * deviation;
    error.variance = (1 - weight) * (error.variance + weight * deviation * deviation);
}

double OutputEstimates::medianRatio(std::string_view route) const
{
    const Error* error = find(route);
    return error ? std::exp(error->mean) : 1;
}

double OutputEstimates::spread(std::string_view route) const
{
    const Error* error = find(route);
    return error ? std::sqrt(error->variance) : detail::assumedSpread;
}

double OutputEstimates::expected(std::string_view route, const RequestSize& size, double written) const
{
    const Error* error = find(route);
    const double most = size.maxOutputTokens ? size.maxOutputTokens : std::max(written, 1e9);
    if (!size.estimatedOutputTokens) {
        const double mean = error ? error->meanTokens : size.maxOutputTokens;
        return std::min(most, std::max(mean, written));
    }
    const double median = size.estimatedOutputTokens * medianRatio(route);
    const double sigma = std::max(0.01, spread(route));
    double expected = median * std::exp(sigma * sigma / 2);
    if (written > 0) {
        // Mean of a log-normal distribution above `written`.
        const double z = std::log(written / median) / sigma;
        const double above = detail::normalBelow(-z);
        // Beyond six deviations both terms vanish; the remaining length is then as the distribution falls there.
        expected = above > 1e-9 ? expected * detail::normalBelow(sigma - z) / above : written * (1 + sigma / std::max(1.0, z));
    }
    return std::min(most, std::max(expected, written));
}

} // namespace orioletrail
