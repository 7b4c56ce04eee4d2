#include "admission/endpoint-notices.h"

namespace orioletrail {

EndpointNotices::Notice& EndpointNotices::noticeOf(std::string_view endpoint, uint64_t process)
{
    auto found = m_notices.find(endpoint);
    if (found == m_notices.end())
        found = m_notices.emplace(endpoint, Notice {}).first;
    if (found->second.process != process)
        found->second = Notice { process, false, {} };
    return found->second;
}

const EndpointNotices::Notice* EndpointNotices::find(std::string_view endpoint, uint64_t process) const
{
    const auto found = m_notices.find(endpoint);
    return found == m_notices.end() || found->second.process != process ? nullptr : &found->second;
}

bool EndpointNotices::onLeaving(std::string_view endpoint, uint64_t process)
{
    return !std::exchange(noticeOf(endpoint, process).isLeaving, true);
}

void EndpointNotices::onPause(std::string_view endpoint, uint64_t process, TimePoint end)
{
    Notice& notice = noticeOf(endpoint, process);
    notice.pauseEnd = std::max(notice.pauseEnd, end);
}

bool EndpointNotices::isLeaving(std::string_view endpoint, uint64_t process) const
{
    const Notice* notice = find(endpoint, process);
    return notice && notice->isLeaving;
}

Millis EndpointNotices::pauseLeft(std::string_view endpoint, uint64_t process, TimePoint now) const
{
    const Notice* notice = find(endpoint, process);
    return notice && now < notice->pauseEnd ? std::chrono::ceil<Millis>(notice->pauseEnd - now) : Millis(0);
}

void EndpointNotices::removeEndpoint(std::string_view endpoint)
{
    const auto found = m_notices.find(endpoint);
    if (found != m_notices.end())
        m_notices.erase(found);
}

} // namespace orioletrail
