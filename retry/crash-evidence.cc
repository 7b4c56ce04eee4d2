#include "retry/crash-evidence.h"

#include <algorithm>
#include <tuple>

namespace orioletrail {

namespace detail {

    // A request lost longer ago than this is unrelated to the end of the process: the registration
    // of an endpoint that crashed would have expired on the platform by then.
    constexpr Millis maxLossAge { 5000 };
    // Several times the number of requests that one endpoint runs at once.
    constexpr size_t maxLostRequests = 512;

} // namespace detail

void CrashEvidence::onLost(LostRequest lost)
{
    while (!m_lost.empty() && (m_lost.size() >= detail::maxLostRequests || m_lost.front().lostAt + detail::maxLossAge < lost.lostAt))
        m_lost.pop_front();
    m_lost.push_back(std::move(lost));
}

std::vector<CrashEvidence::LostRequest> CrashEvidence::onEnded(std::string_view endpoint, TimePoint now)
{
    std::vector<LostRequest> ended;
    std::erase_if(m_lost, [&](LostRequest& lost) {
        if (lost.endpoint != endpoint)
            return false;
        if (lost.lostAt + detail::maxLossAge >= now)
            ended.push_back(std::move(lost));
        return true;
    });
    std::sort(ended.begin(), ended.end(), [](const LostRequest& a, const LostRequest& b) { return std::tie(a.digest, b.sentAt) < std::tie(b.digest, a.sentAt); });
    ended.erase(std::unique(ended.begin(), ended.end(), [](const LostRequest& a, const LostRequest& b) { return a.digest == b.digest; }), ended.end());
    return ended;
}

} // namespace orioletrail
