// The credits that an entry holds for one sidecar.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

namespace orioletrail {

// The entry's end of the exchange whose other end is CreditPool. Credits belong to one connection and
// are lost with it; the sidecar then frees them too.
class LinkCredits {
public:
    uint32_t available() const { return m_available; }

    void onGranted(uint32_t credits) { m_available += credits; }

    // Spends one credit. Requires available() > 0.
    void onUsed() { --m_available; }

    // The sidecar wants credits back. Returns how many are given back, which have to be reported even
    // if there are none: the sidecar counts one reply for each recall.
    uint32_t onRecalled(uint32_t credits)
    {
        const uint32_t returned = std::min(credits, m_available);
        m_available -= returned;
        return returned;
    }

    // The connection has ended. Returns the number of credits that are lost with it.
    uint32_t onDisconnected() { return std::exchange(m_available, 0); }

private:
    uint32_t m_available = 0;
};

} // namespace orioletrail
