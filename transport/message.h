// Messages between an entry and a sidecar, and between entries.
#pragma once

#include "base/types.h"
#include "config/store.h"
#include "expertmap/group.h"

#include <variant>

namespace orioletrail {

// First message from an entry on a new connection. A sidecar accepts attempts of this
// entry only on the connection with the highest `connection` number it has seen.
struct Hello {
    uint64_t entry = 0;
    uint64_t connection = 0;
    std::string name;
    std::string zone;
};

// The sidecar's reply to Hello.
struct Welcome {
    std::string endpoint;
    std::string zone;
    // Random start number of the sidecar process.
    uint64_t start = 0;
};

// Asks the sidecar to run a request.
struct Open {
    AttemptId id;
    std::string account;
    std::string service;
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    uint32_t deadlineMs = 0;
    bool idempotent = false;
    // Empty if the request has no idempotency key.
    std::string key;
    // Identifies the content among requests during which endpoints died.
    std::string digest;
    // Run it only while the endpoint runs nothing else.
    bool alone = false;
};

// Gives up on an attempt. A non-idempotent attempt that was handed on keeps running.
struct Cancel {
    AttemptId id;
};

// One frame of an answer. Frames of an attempt are numbered from 0.
enum class FrameKind : uint8_t {
    Head,
    Chunk,
    End,
    Failed
};

struct Frame {
    AttemptId id;
    uint32_t number = 0;
    FrameKind kind = FrameKind::Chunk;
    // Head: the HTTP status. End: the total number of body bytes.
    uint64_t value = 0;
    HeaderList headers;
    std::string data;
    // Failed only.
    Outcome outcome = Outcome::MayHaveRun;
    Reason reason = Reason::None;
};

// Acknowledges all frames of an attempt below `next`, which opens the sidecar's window.
struct Ack {
    AttemptId id;
    uint32_t next = 0;
};

// Sent on a new connection for each attempt that is unanswered: the sidecar replays frames
// from `next`, or replies Failed with NotRun and refuses the attempt from then on.
struct Resume {
    AttemptId id;
    uint32_t next = 0;
};

// Changes the number of attempts that the entry may open, on top of those it holds.
struct Grant {
    uint32_t credits = 0;
};

// The entry's need for credits: attempts it would open now if it could.
struct Want {
    uint32_t credits = 0;
};

// Returns credits after a Recall, or on its own.
struct Return {
    uint32_t credits = 0;
};

struct Recall {
    uint32_t credits = 0;
};

// Heartbeat in both directions, with the configuration revision of the sender.
struct Ping {
    // The sender's monotonic clock, in milliseconds.
    uint64_t sentAtMs = 0;
    // `sentAtMs` of the last heartbeat that the sender received, 0 if none. It bounds how long
    // this heartbeat may have waited in a buffer.
    uint64_t echoMs = 0;
    uint64_t revision = 0;
    // Milliseconds since the sender's configuration was known to be current.
    uint64_t ageMs = 0;
    // From a sidecar: its endpoint takes no new work, for this reason.
    Reason closed = Reason::None;
};

// Digests of requests during which endpoints died, with the number of deaths.
struct PoisonReport {
    std::string digest;
    uint32_t deaths = 0;
};

// From one entry to another: what the sender holds, and changes that it has just learned.
struct GossipRequest {
    std::string name;
    std::string zone;
    uint64_t revision = 0;
    ConfigDelta news;
};

// The reply, with the changes that the sender of the request lacks.
struct GossipReply {
    std::string name;
    std::string zone;
    uint64_t ageMs = 0;
    ConfigDelta delta;
};

// First message of a group's leader on a connection to a rank.
struct GroupHello {
    std::string group;
    uint32_t rank = 0;
};

using Message = std::variant<Hello, Welcome, Open, Cancel, Frame, Ack, Resume, Grant, Want, Return, Recall, Ping,
    ConfigDelta, PoisonReport, GossipRequest, GossipReply, GroupHello, GroupMessage>;

} // namespace orioletrail
