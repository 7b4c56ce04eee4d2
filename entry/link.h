// The entry's end of the connection to one sidecar.
#pragma once

#include "admission/link-credits.h"
#include "gateway/http.h"
#include "transport/connection.h"
#include "transport/heartbeat.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>

namespace orioletrail {

// Queue of the answer frames of one attempt: each frame once and in order.
class AttemptStream {
public:
    AttemptStream(const boost::asio::any_io_executor&, bool idempotent);

    // Appends a frame. Returns false and drops it if it is a duplicate, not the next in order, or
    // follows the end of the answer.
    bool push(Frame&&);

    // Ends the stream with a Failed frame made by this entry instead of the sidecar.
    void fail(Outcome, Reason);

    // Waits for the next frame. Returns nothing if none arrives before `until`.
    Task<std::optional<Frame>> nextFrame(TimePoint until);

    // True if nextFrame() would return a Chunk without waiting.
    bool nextFrameIsChunk() const { return !m_frames.empty() && m_frames.front().kind == FrameKind::Chunk; }

    // Number of the next frame to be pushed; equals the number of frames received so far.
    uint32_t expectedNumber() const { return m_expectedNumber; }

    bool isIdempotent() const { return m_idempotent; }

    // True if fail() ended the stream.
    bool isFailedHere() const { return m_failedHere; }

private:
    std::deque<Frame> m_frames;
    bool m_failedHere = false;
    uint32_t m_expectedNumber = 0;
    bool m_ended = false;
    bool m_idempotent;
    // Cancelled when a frame arrives.
    boost::asio::steady_timer m_frameArrival;
};

// Maintains a connection to one sidecar. Reconnects when the connection is lost or the sidecar
// stops answering heartbeats, then asks the sidecar to resume the attempts that are unanswered.
class SidecarLink {
public:
    struct Hooks {
        // The credits or the state of the sidecar may have changed.
        std::function<void()> onAvailabilityChanged;
        // The sidecar's configuration, at revision `since`, is older than this entry's.
        std::function<void(uint64_t since)> onConfigBehind;
        // The sidecar sent configuration changes.
        std::function<void(ConfigDelta&&)> onConfigDelta;
        // The sidecar answered a heartbeat, which shows how recent its configuration is.
        std::function<void(std::string_view endpoint, const Ping&, const FreshnessProof&)> onHeartbeatAnswered;
        // Returns this entry's configuration revision and its age, for the next heartbeat.
        std::function<std::pair<uint64_t, Millis>()> configRevisionAndAge;
        // The sidecar reported a request that crashes endpoints.
        std::function<void(const PoisonReport&)> onPoisonReport;
        // Returns what this entry knows of such requests, for a sidecar that has just connected.
        std::function<std::vector<PoisonReport>()> poisonReports;
        // Increments the named counter.
        std::function<void(std::string_view)> incrementCounter;
    };

    // Identifies this entry to the sidecar.
    struct Identity {
        // Random number of this run of the process.
        uint64_t incarnation = 0;
        std::string name;
        std::string zone;
    };

    // Starts to connect to `address`, "IP:PORT". `endpoint` is the name that the sidecar must report.
    SidecarLink(boost::asio::any_io_executor, Identity, std::string_view endpoint, std::string_view address, Hooks);
    ~SidecarLink();

    SidecarLink(const SidecarLink&) = delete;
    SidecarLink& operator=(const SidecarLink&) = delete;

    const std::string& endpoint() const { return m_endpoint; }
    const std::string& address() const { return m_address; }

    // True if connected and the sidecar accepts new attempts.
    bool isOpen() const { return m_handshakeDone && m_heartbeat.peerUnavailableReason() == Reason::None; }
    // True once the sidecar has answered the handshake on the current connection.
    bool isConnected() const { return m_handshakeDone; }
    // Number of attempts that may be opened now.
    uint32_t credits() const { return m_credits.available(); }
    uint32_t inFlight() const { return static_cast<uint32_t>(m_streams.size()); }

    // Sends an attempt and spends a credit. Requires isOpen() and credits() > 0.
    std::shared_ptr<AttemptStream> openAttempt(OpenAttempt&&);

    // Tells the sidecar that all frames numbered below `next` have been processed.
    void acknowledge(const AttemptId&, uint32_t next);

    // Tells the sidecar that the answer is no longer needed. Frames that still arrive are dropped. A
    // non-idempotent request that has already reached the endpoint keeps running.
    void cancelAttempt(const AttemptId&);

    // Stops tracking an attempt that has ended. Sends nothing.
    void removeAttempt(const AttemptId& id) { m_streams.erase(id); }

    // Tells the sidecar how many more attempts this entry would open now if it had the credits.
    void setCreditDemand(uint32_t credits);

    // Sends heartbeats that are due, replaces a lost or silent connection and fails attempts whose
    // outcome could not be learned in time. To be called every few tens of milliseconds.
    void tick(TimePoint);

    // Sends a message, or drops it if there is no connection.
    void send(const Message&);

    // Configuration revision that the sidecar is known to have.
    // Random start number of the sidecar, 0 before it has answered.
    uint64_t peerIncarnation() const { return m_peerIncarnation; }

    uint64_t peerRevision() const { return m_heartbeat.peerRevision(); }
    void setPeerRevision(uint64_t revision) { m_heartbeat.setPeerRevision(revision); }

private:
    void connect(TimePoint);
    void onConnected(boost::asio::ip::tcp::socket);
    void onClosed(std::string_view cause);
    void onMessage(Message&&);
    void onWelcome(const Welcome&);
    void onPing(const Ping&);
    void onFrame(Frame&&);
    void failAll(Reason);
    void onGrant(const GrantCredits&);
    void onRecall(const RecallCredits&);
    // Writes a log line on a change of the credits, with the number that is left.
    void logCredits(std::string_view event, uint32_t credits) const;
    // Fails attempts whose sidecar has been disconnected for too long.
    void failUnresolved(Millis disconnectedFor);
    void sendPing(TimePoint);
    bool isSilent(TimePoint);
    bool needsPing(TimePoint) const;

    boost::asio::any_io_executor m_executor;
    Identity m_identity;
    std::string m_endpoint;
    std::string m_address;
    Hooks m_hooks;
    // Null while not connected.
    std::shared_ptr<Connection> m_connection;
    Heartbeat m_heartbeat;
    std::map<AttemptId, std::shared_ptr<AttemptStream>> m_streams;
    // Number of the latest connection, sent in Hello.
    uint64_t m_connectionNumber = 0;
    // Incarnation of the sidecar process, 0 until the first handshake.
    uint64_t m_peerIncarnation = 0;
    LinkCredits m_credits;
    uint32_t m_creditDemand = 0;
    bool m_handshakeDone = false;
    bool m_connecting = false;
    TimePoint m_lastPingAt;
    // Send time of the oldest heartbeat since which nothing was received.
    std::optional<TimePoint> m_unansweredSince;
    // Earliest time of the next connection attempt.
    TimePoint m_nextConnectAt;
    // When the connection was lost; empty again after the next handshake.
    std::optional<TimePoint> m_disconnectedAt;
    // False after destruction. Shared with callbacks that may outlive the link.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace orioletrail
