#include "retry/crash-evidence.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // A request lost longer ago than this is unrelated to the end of the process: the registration
    // of an endpoint that crashed would have expired on the platform by then.
    constexpr Millis maxLossAge { 5000 };
    // Several times the number of requests that one endpoint runs at once.
    constexpr size_t maxLostRequests = 512;

} // namespace detail

void CrashEvidence::onLost(std::string_view endpoint, std::string_view digest, TimePoint now)
{
    while (!m_lost.empty() && (m_lost.size() >= detail::maxLostRequests || m_lost.front().lostAt + detail::maxLossAge < now))
        m_lost.pop_front();
    m_lost.push_back({ std::string(endpoint), std::string(digest), now });
}

std::vector<std::string> CrashEvidence::onEnded(std::string_view endpoint, TimePoint now)
{
    std::vector<std::string> digests;
    std::erase_if(m_lost, [&](const LostRequest& lost) {
        if (lost.endpoint != endpoint)
            return false;
        if (lost.lostAt + detail::maxLossAge >= now)
            digests.push_back(lost.digest);
        return true;
    });
    std::sort(digests.begin(), digests.end());
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    return digests;
}

} // namespace orioletrail
