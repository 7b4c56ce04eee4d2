#include "drain/answer-times.h"

#include <cmath>

namespace orioletrail {

namespace detail {

    // Weight of the last answer.
    constexpr double answerTimeWeight = 1.0 / 16;
    constexpr double deviations = 2;

} // namespace detail

void AnswerTimes::onAnswered(std::string_view name, Millis took)
{
    const auto millis = static_cast<double>(took.count());
    const auto [found, isNew] = m_routes.try_emplace(std::string(name), Route { millis, millis / 2 });
    if (isNew)
        return;
    Route& route = found->second;
    const double error = millis - route.meanMs;
    route.meanMs += detail::answerTimeWeight * error;
    route.deviationMs += detail::answerTimeWeight * (std::abs(error) - route.deviationMs);
}

std::optional<Millis> AnswerTimes::mostTake(std::string_view name) const
{
    const auto found = m_routes.find(name);
    if (found == m_routes.end())
        return std::nullopt;
    const Route& route = found->second;
    return Millis(std::llround(route.meanMs + detail::deviations * route.deviationMs));
}

} // namespace orioletrail
