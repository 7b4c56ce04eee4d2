#include "retry/completed-requests.h"

#include "base/digest.h"

namespace orioletrail {

void CompletedRequests::add(std::string_view digest, TimePoint now)
{
    if (now - m_started >= generationTime || m_current.size() >= maxPerGeneration) {
        m_previous = std::exchange(m_current, {});
        m_started = now;
    }
    m_current.insert_or_assign(hash64(digest), now);
}

std::optional<TimePoint> CompletedRequests::find(std::string_view digest) const
{
    const uint64_t key = hash64(digest);
    for (const Generation* generation : { &m_current, &m_previous })
        if (const auto found = generation->find(key); found != generation->end())
            return found->second;
    return std::nullopt;
}

} // namespace orioletrail
