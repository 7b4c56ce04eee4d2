#include "gateway/events.h"

#include <utility>

namespace orioletrail {

namespace detail {

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

    // Returns the offset just past the last empty line, or 0 if there is none.
    size_t endOfLastEvent(std::string_view text)
    {
        // The LF that belongs to this CR may still arrive.
        if (text.ends_with('\r'))
            text.remove_suffix(1);
        size_t end = 0;
        for (std::string_view rest = text; !rest.empty();) {
            const Line line = takeLine(rest);
            if (line.isEnded && line.text.empty())
                end = text.size() - rest.size();
        }
        return end;
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
