// Heartbeats on one connection, and what they tell of the other end.
#pragma once

#include "transport/message.h"

namespace orioletrail {

inline constexpr Millis heartbeatInterval { 250 };
// A connection that is silent for this long is given up.
inline constexpr Millis heartbeatTimeout { 1000 };

// When the peer's configuration was current, as a heartbeat proves it.
struct HeartbeatProof {
    // When this end sent the heartbeat that the peer has answered.
    TimePoint asked;
    Millis age { 0 };
};

// Makes and reads the heartbeats of one end of a connection.
class Heartbeat {
public:
    // The next heartbeat to send.
    Ping make(uint64_t revision, Millis age, Reason closed, TimePoint now) const;

    // Nothing if the heartbeat does not answer one of this end.
    std::optional<HeartbeatProof> receive(const Ping&);

    // Configuration revision of the peer by its last heartbeat.
    uint64_t peerRevision() const { return m_last.revision; }
    void setPeerRevision(uint64_t revision) { m_last.revision = std::max(m_last.revision, revision); }

    // Why the peer takes no new work.
    Reason peerClosed() const { return m_last.closed; }

private:
    Ping m_last;
};

} // namespace orioletrail
