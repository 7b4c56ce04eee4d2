#include "telemetry/line-writer.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace orioletrail {

bool LineRateLimiter::tryAcquire(TimePoint now)
{
    if (m_lastRefill != TimePoint())
        m_tokens = std::min(m_settings.burst, m_tokens + m_settings.perSecond * std::chrono::duration<double>(now - m_lastRefill).count());
    m_lastRefill = now;
    if (m_tokens < 1) {
        ++m_dropped;
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool tryWriteLine(int descriptor, std::string_view line)
{
    if (line.size() > PIPE_BUF)
        return false;
    pollfd ready { descriptor, POLLOUT, 0 };
    if (poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT))
        return false;
    return write(descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace orioletrail
