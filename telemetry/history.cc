#include "telemetry/history.h"

#include <algorithm>

namespace orioletrail {

void RequestHistory::add(RequestNote note)
{
    m_notes.push_back(std::move(note));
    if (m_notes.size() > m_capacity)
        m_notes.pop_front();
}

const RequestNote* RequestHistory::find(std::string_view requestId) const
{
    const auto found = std::find_if(m_notes.rbegin(), m_notes.rend(), [&](const RequestNote& note) { return note.requestId == requestId; });
    return found == m_notes.rend() ? nullptr : &*found;
}

} // namespace orioletrail
