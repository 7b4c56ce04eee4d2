// Heartbeats on one connection, and what they tell of the other end.
#pragma once

#include "transport/message.h"

namespace orioletrail {

// An entry sends a heartbeat when it has sent nothing else for this long while attempts are
// in progress, and the sidecar answers each.
inline constexpr Millis heartbeatInterval { 250 };
// Least rate of heartbeats: on an idle connection, and for the proof of fresh configuration.
inline constexpr Millis idleHeartbeatInterval { 1000 };
// An entry gives up a connection on which nothing came for this long after a heartbeat.
inline constexpr Millis heartbeatTimeout { 1000 };
// A sidecar gives up a connection on which nothing came for this long.
inline constexpr Millis peerTimeout { 3000 };

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
