#include "telemetry/refusals.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    constexpr size_t maxMinutes = 24 * 60;

} // namespace detail

bool isSystemRefusal(Reason reason)
{
    switch (reason) {
    case Reason::BadRequest:
    case Reason::Unauthorized:
    case Reason::UnknownRoute:
    case Reason::MethodNotAllowed:
    case Reason::BodyTooLarge:
    case Reason::HeaderTooLarge:
    case Reason::KeyRequired:
    case Reason::KeyReused:
    case Reason::KeyExpired:
    case Reason::AccountLimit:
    case Reason::Poisoned:
    case Reason::CallerGone:
        return false;
    default:
        return true;
    }
}

RefusalMinutes::MinuteCounts& RefusalMinutes::countsOf(int64_t minute)
{
    MinuteCounts& found = m_minutes[minute];
    while (m_minutes.size() > detail::maxMinutes)
        m_minutes.erase(m_minutes.begin());
    return found;
}

void RefusalMinutes::onRefusal(int64_t minute, std::string_view service, Reason reason, Outcome outcome)
{
    ++countsOf(minute).refusals[RefusalKey { std::string(service), reason, outcome }];
}

void RefusalMinutes::onAnswer(int64_t minute, std::string_view service)
{
    auto& answers = countsOf(minute).answers;
    const auto found = answers.find(service);
    if (found == answers.end())
        answers.emplace(std::string(service), 1);
    else
        ++found->second;
}

std::vector<RefusalCount> RefusalMinutes::counts() const
{
    std::vector<RefusalCount> counts;
    for (const auto& [number, minute] : m_minutes)
        for (const auto& [key, count] : minute.refusals)
            counts.push_back({ number, key.service, key.reason, key.outcome, count });
    return counts;
}

uint64_t RefusalMinutes::answers(int64_t minute, std::string_view service) const
{
    const auto found = m_minutes.find(minute);
    if (found == m_minutes.end())
        return 0;
    const auto answers = found->second.answers.find(service);
    return answers == found->second.answers.end() ? 0 : answers->second;
}

size_t RefusalMinutes::minutesWithRefusals() const
{
    return static_cast<size_t>(std::count_if(m_minutes.begin(), m_minutes.end(), [](const auto& minute) {
        return std::any_of(minute.second.refusals.begin(), minute.second.refusals.end(), [](const auto& item) { return isSystemRefusal(item.first.reason); });
    }));
}

} // namespace orioletrail
