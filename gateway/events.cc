#include "gateway/events.h"

#include "base/types.h"

#include <algorithm>
#include <utility>

namespace orioletrail {

namespace detail {

    constexpr size_t maxEventIdBytes = 1024;

    // A line without its end, which is LF, CR or CRLF.
    struct Line {
        std::string_view text;
        // False if the end of the line is missing.
        bool isEnded = false;
    };

    // Removes and returns the first line of `text`.
    Line takeLine(std::string_view& text)
    {
        const size_t at = text.find_first_of("\r\n");
        if (at == std::string_view::npos)
            return { std::exchange(text, {}), false };
        const Line line { text.substr(0, at), true };
        text.remove_prefix(text.substr(at).starts_with("\r\n") ? at + 2 : at + 1);
        return line;
    }

    // Sets `id` to the value of the last "id" field in `events`; leaves it unchanged if there is
    // none.
    void updateLastId(std::string_view events, std::string& id)
    {
        constexpr std::string_view field = "id:";
        while (!events.empty()) {
            std::string_view line = takeLine(events).text;
            if (!line.starts_with(field))
                continue;
            line.remove_prefix(field.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            id = line.size() <= maxEventIdBytes && (line.empty() || isHeaderValue(line)) ? line : std::string_view();
        }
    }

} // namespace detail

std::string EventSplitter::push(std::string_view bytes)
{
    m_pending += bytes;
    size_t endOfEvents = 0;
    for (m_scanned = m_pending.find_first_of("\r\n", m_scanned); m_scanned < m_pending.size(); m_scanned = m_pending.find_first_of("\r\n", m_scanned)) {
        const bool isCr = m_pending[m_scanned] == '\r';
        // The LF that belongs to this CR may still arrive.
        if (isCr && m_scanned + 1 == m_pending.size())
            break;
        const bool isEmptyLine = m_scanned == m_lineStart;
        m_scanned += isCr && m_pending[m_scanned + 1] == '\n' ? 2 : 1;
        m_lineStart = m_scanned;
        if (isEmptyLine)
            endOfEvents = m_scanned;
    }
    m_scanned = std::min(m_scanned, m_pending.size());
    std::string complete = m_pending.substr(0, endOfEvents);
    m_pending.erase(0, endOfEvents);
    m_scanned -= endOfEvents;
    m_lineStart -= endOfEvents;
    detail::updateLastId(complete, m_lastId);
    return complete;
}

void EventSplitter::dropRemainder()
{
    m_pending.clear();
    m_scanned = m_lineStart = 0;
}

bool EventSplitter::isWithinEvent() const
{
    bool isWithin = false;
    for (std::string_view rest = m_pending; !rest.empty();) {
        const detail::Line line = detail::takeLine(rest);
        if (!line.isEnded)
            return true;
        if (!line.text.starts_with(':'))
            isWithin = !line.text.empty();
    }
    return isWithin;
}

} // namespace orioletrail
