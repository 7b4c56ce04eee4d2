// Messages between an entry and a sidecar, between entries, and between the leader and the ranks
// of a group.
#pragma once

#include "base/types.h"
#include "config/store.h"
#include "expertmap/group.h"

#include <variant>

namespace orioletrail {

// First message from an entry on a new connection. A sidecar accepts attempts of an entry only on
// the connection with the highest `connection` number that it has seen from that entry.
struct Hello {
    // Random start number of the entry process, as in AttemptId.
    uint64_t entryIncarnation = 0;
    // Increases with each connection of the entry to this sidecar.
    uint64_t connection = 0;
    std::string name;
    std::string zone;
    // The endpoint whose sidecar the entry means.
    std::string endpoint;
};

// The sidecar's reply to Hello.
struct Welcome {
    std::string endpoint;
    std::string zone;
    // Random start number of the sidecar process.
    uint64_t incarnation = 0;
};

// Asks the sidecar to run an attempt at a request. Uses one credit.
struct OpenAttempt {
    AttemptId id;
    std::string account;
    std::string service;
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    // Time left for the request, in milliseconds.
    uint32_t deadlineMs = 0;
    bool idempotent = false;
    // The request's idempotency key, or empty if it has none.
    std::string idempotencyKey;
    // Hash of service, target and body. Endpoint deaths are counted by it, to find requests that
    // crash endpoints.
    std::string digest;
    // Run it only while the endpoint runs no other attempt.
    bool runAlone = false;
};

// Cancels an attempt. A non-idempotent one that was already handed to the endpoint keeps running.
struct Cancel {
    AttemptId id;
};

// Head, Chunk and End carry a response; Failed ends an attempt without a complete one.
enum class FrameKind : uint8_t {
    Head,
    Chunk,
    End,
    Failed
};

// One part of the response to an attempt. The frames of an attempt are numbered from 0.
struct Frame {
    AttemptId id;
    uint32_t number = 0;
    FrameKind kind = FrameKind::Chunk;
    // Head: the HTTP status. End: the total number of bytes in the body.
    uint64_t value = 0;
    HeaderList headers;
    std::string data;
    // Outcome and reason are for Failed only.
    Outcome outcome = Outcome::MayHaveRun;
    Reason reason = Reason::None;
};

// Acknowledges all frames of an attempt with a number below `next`. This advances the sidecar's
// send window.
struct Ack {
    AttemptId id;
    uint32_t next = 0;
};

// Sent by an entry on a new connection for each attempt without a complete response. The sidecar
// replays the frames from `next` on; for an attempt that it has never received, it replies with a
// Failed frame and Outcome::NotRun (MayHaveRun if it may have forgotten the attempt), and rejects
// copies of it that arrive later.
struct Resume {
    AttemptId id;
    uint32_t next = 0;
};

// From the sidecar: adds to the entry's credits. Opening an attempt uses one credit.
struct GrantCredits {
    uint32_t credits = 0;
};

// From the entry: how many more attempts it would open now if it had the credits. Replaces the
// number sent before.
struct CreditDemand {
    uint32_t credits = 0;
};

// From the entry: gives unused credits back. Each RecallCredits gets one in reply, even if none are left.
struct ReturnCredits {
    uint32_t credits = 0;
};

// From the sidecar: asks the entry to give back up to this many unused credits.
struct RecallCredits {
    uint32_t credits = 0;
};

// Heartbeat in either direction, with the state of the sender's configuration.
struct Ping {
    // The sender's monotonic clock, in milliseconds.
    uint64_t sentAtMs = 0;
    // `sentAtMs` of the last heartbeat that the sender received, 0 if none. The receiver dates this
    // heartbeat by it, so that time spent in buffers cannot make old state look fresh.
    uint64_t echoMs = 0;
    // The sender's configuration revision.
    uint64_t revision = 0;
    // Milliseconds since the sender's configuration was known to be current.
    uint64_t ageMs = 0;
    // From a sidecar: why its endpoint takes no new work, or Reason::None if it does.
    Reason closed = Reason::None;
};

// An endpoint process that ended while it ran a request, with ages of the attempt in milliseconds.
struct ReportedDeath {
    // Hash of the endpoint and the start of its process.
    uint64_t process = 0;
    uint64_t sentAgoMs = 0;
    uint64_t lostAgoMs = 0;
};

// What the sender knows of requests with this digest (see OpenAttempt::digest). Instances pass on what is
// news to them.
struct PoisonReport {
    std::string digest;
    std::vector<ReportedDeath> deaths;
    // An endpoint completed the request after earlier deaths, `clearedAgoMs` ago.
    bool isCleared = false;
    uint64_t clearedAgoMs = 0;
};

// From one entry to another: the sender's configuration revision, and changes to pass on.
struct GossipRequest {
    std::string name;
    std::string zone;
    uint64_t revision = 0;
    // Changes that the sender has just received. May be empty.
    ConfigDelta recentChanges;
};

// The reply, with all changes after the revision in the request.
struct GossipReply {
    std::string name;
    std::string zone;
    // Milliseconds since the replying entry's configuration was known to be current.
    uint64_t ageMs = 0;
    ConfigDelta delta;
};

// First message from a group's leader on a connection to a rank.
struct GroupHello {
    std::string group;
    uint32_t rank = 0;
};

// Any message. Its index here is the message kind on the wire, so the order is part of the
// protocol.
using Message = std::variant<Hello, Welcome, OpenAttempt, Cancel, Frame, Ack, Resume, GrantCredits, CreditDemand, ReturnCredits, RecallCredits, Ping,
    ConfigDelta, PoisonReport, GossipRequest, GossipReply, GroupHello, GroupMessage>;

} // namespace orioletrail
