#include "gateway/events.h"

namespace orioletrail {

namespace detail {

    // Offset past the last empty line, or 0 if there is none.
    size_t endOfLastEvent(std::string_view text)
    {
        size_t end = 0;
        const size_t newline = text.rfind("\n\n");
        if (newline != std::string_view::npos)
            end = newline + 2;
        const size_t carriage = text.rfind("\r\n\r\n");
        if (carriage != std::string_view::npos && carriage + 4 > end)
            end = carriage + 4;
        return end;
    }

    // The value of the last "id" field in whole events, or nothing found leaves `id` as it was.
    void findLastId(std::string_view events, std::string& id)
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
    std::string whole = m_pending.substr(0, end);
    m_pending.erase(0, end);
    detail::findLastId(whole, m_lastId);
    return whole;
}

} // namespace orioletrail
