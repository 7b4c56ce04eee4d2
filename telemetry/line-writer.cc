#include "telemetry/line-writer.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace orioletrail {

bool LineBudget::take(TimePoint now)
{
    if (m_last != TimePoint())
        m_lines = std::min(m_settings.burst, m_lines + m_settings.perSecond * std::chrono::duration<double>(now - m_last).count());
    m_last = now;
    if (m_lines < 1) {
        ++m_dropped;
        return false;
    }
    m_lines -= 1;
    return true;
}

bool writeLineNow(int descriptor, std::string_view line)
{
    if (line.size() > PIPE_BUF)
        return false;
    pollfd ready { descriptor, POLLOUT, 0 };
    if (poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT))
        return false;
    return write(descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace orioletrail
