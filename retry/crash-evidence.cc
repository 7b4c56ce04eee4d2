#include "retry/crash-evidence.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // A registration that is not renewed is gone from the platform by then.
    constexpr Millis evidenceFor { 5000 };
    // Requests of one endpoint several times over.
    constexpr size_t mostLost = 512;

} // namespace detail

void CrashEvidence::onLost(std::string_view endpoint, std::string_view digest, TimePoint now)
{
    while (!m_lost.empty() && (m_lost.size() >= detail::mostLost || m_lost.front().at + detail::evidenceFor < now))
        m_lost.pop_front();
    m_lost.push_back({ std::string(endpoint), std::string(digest), now });
}

std::vector<std::string> CrashEvidence::onEnded(std::string_view endpoint, TimePoint now)
{
    std::vector<std::string> digests;
    std::erase_if(m_lost, [&](const Lost& lost) {
        if (lost.endpoint != endpoint)
            return false;
        if (lost.at + detail::evidenceFor >= now)
            digests.push_back(lost.digest);
        return true;
    });
    std::sort(digests.begin(), digests.end());
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    return digests;
}

} // namespace orioletrail
