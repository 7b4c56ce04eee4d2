#include "gateway/events.h"

namespace orioletrail {

namespace detail {

    // Returns the offset just past the last empty line, or 0 if there is none.
    size_t endOfLastEvent(std::string_view text)
    {
        size_t end = 0;
        const size_t lfEnd = text.rfind("\n\n");
        if (lfEnd != std::string_view::npos)
            end = lfEnd + 2;
        const size_t crlfEnd = text.rfind("\r\n\r\n");
        if (crlfEnd != std::string_view::npos && crlfEnd + 4 > end)
            end = crlfEnd + 4;
        return end;
    }

    // Sets `id` to the value of the last "id" field in `events`; leaves it unchanged if there is
    // none.
    void updateLastId(std::string_view events, std::string& id)
    {
        while (!events.empty()) {
            const size_t end = events.find('\n');
            std::string_view line = events.substr(0, end);
            events = end == std::string_view::npos ? std::string_view() : events.substr(end + 1);
            if (!line.starts_with("id:"))
                continue;
            line.remove_prefix(3);
            if (line.starts_with(' '))
                line.remove_prefix(1);
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            id = line;
        }
    }

} // namespace detail

std::string EventSplitter::push(std::string_view bytes)
{
    m_pending += bytes;
    const size_t end = detail::endOfLastEvent(m_pending);
    if (!end)
        return {};
    std::string complete = m_pending.substr(0, end);
    m_pending.erase(0, end);
    detail::updateLastId(complete, m_lastId);
    return complete;
}

} // namespace orioletrail
