#include "telemetry/history.h"

#include <algorithm>

namespace orioletrail {

void RequestHistory::add(RequestNote request)
{
    m_requests.push_back(std::move(request));
    if (m_requests.size() > m_capacity)
        m_requests.pop_front();
}

const RequestNote* RequestHistory::find(std::string_view requestId) const
{
    const auto found = std::find_if(m_requests.rbegin(), m_requests.rend(), [&](const RequestNote& request) { return request.requestId == requestId; });
    return found == m_requests.rend() ? nullptr : &*found;
}

} // namespace orioletrail
