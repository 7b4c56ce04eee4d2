// Heartbeats on one connection, and the state of the peer that they report.
#pragma once

#include "transport/message.h"

namespace orioletrail {

// While attempts are in progress or waiting for credits, an entry sends a heartbeat when it has
// sent nothing else for this long. The sidecar answers each heartbeat.
inline constexpr Millis heartbeatInterval { 250 };
// Longest time between two heartbeats of an entry, on an idle or a busy connection. Only heartbeats
// prove that the configuration is fresh.
inline constexpr Millis idleHeartbeatInterval { 1000 };
// An entry closes a connection on which nothing arrives for this long after a heartbeat.
inline constexpr Millis heartbeatTimeout { 1000 };
// A sidecar closes a connection on which nothing arrives for this long.
inline constexpr Millis peerTimeout { 3000 };

// Proof that the peer's configuration, of the revision in its heartbeat, was current at `asked` -
// `age` or later. It doesn't depend on how long the heartbeat was under way.
struct HeartbeatProof {
    // When this end sent the heartbeat that the peer answered.
    TimePoint asked;
    // Time since the peer knew its configuration to be current, as of its answer.
    Millis age { 0 };
};

// Creates and evaluates heartbeats at one end of a connection.
class Heartbeat {
public:
    // Returns the next heartbeat to send. `revision` and `age` describe the configuration of this
    // end; `closed` is why it takes no new work, or Reason::None.
    Ping make(uint64_t revision, Millis age, Reason closed, TimePoint now) const;

    // Records a heartbeat of the peer. Returns std::nullopt if it does not answer one of this end.
    std::optional<HeartbeatProof> receive(const Ping&);

    // The peer's configuration revision: the one in its last heartbeat, or a later one that was
    // set since.
    uint64_t peerRevision() const { return m_last.revision; }
    // Records that the configuration up to this revision was sent to the peer. Never lowers the
    // value.
    void setPeerRevision(uint64_t revision) { m_last.revision = std::max(m_last.revision, revision); }

    // Why the peer takes no new work, by its last heartbeat; Reason::None if it does.
    Reason peerClosed() const { return m_last.closed; }

private:
    Ping m_last;
};

} // namespace orioletrail
