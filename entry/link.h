// An entry's side of the connection to one sidecar.
#pragma once

#include "gateway/http.h"
#include "transport/connection.h"
#include "transport/heartbeat.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>

namespace orioletrail {

// Receives the frames of one attempt in order, each once. A consumer takes them with next().
class AttemptStream {
public:
    AttemptStream(const boost::asio::any_io_executor&, bool idempotent);

    // Adds a frame if it is the next in order. False for one that is late, doubled or early.
    bool push(Frame&&);

    // Ends the stream without the sidecar's word.
    void fail(Outcome, Reason);

    // The next frame, or nothing if none came before the time.
    Task<std::optional<Frame>> next(TimePoint until);

    // True if next() would return a Chunk at once.
    bool nextIsChunk() const { return !m_frames.empty() && m_frames.front().kind == FrameKind::Chunk; }

    // Number of the frame that is expected.
    uint32_t expected() const { return m_expected; }

    bool isIdempotent() const { return m_idempotent; }

private:
    std::deque<Frame> m_frames;
    uint32_t m_expected = 0;
    bool m_ended = false;
    bool m_idempotent;
    boost::asio::steady_timer m_wake;
};

// Keeps one connection to a sidecar, reconnects when it is lost or silent, and resolves
// attempts that were unanswered by asking the sidecar over the new connection.
class Link {
public:
    struct Hooks {
        // Credits or the state of the sidecar changed.
        std::function<void()> changed;
        // The sidecar's configuration revision was seen to be lower.
        std::function<void(uint64_t since)> behind;
        std::function<void(ConfigDelta&&)> delta;
        std::function<void(std::string_view zone, const Ping&, const HeartbeatProof&)> proof;
        // Values for the next heartbeat.
        std::function<std::pair<uint64_t, Millis>()> revisionAndAge;
        // Counts an event by name.
        std::function<void(std::string_view)> count;
    };

    struct Identity {
        uint64_t entry = 0;
        std::string name;
        std::string zone;
    };

    Link(boost::asio::any_io_executor, Identity, std::string_view endpoint, std::string_view address, Hooks);
    ~Link();

    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    const std::string& endpoint() const { return m_endpoint; }
    const std::string& address() const { return m_address; }

    // True if attempts may be opened: connected, greeted, and the sidecar has not closed itself.
    bool isOpen() const { return m_welcomed && m_heartbeat.peerClosed() == Reason::None; }
    bool isConnected() const { return m_welcomed; }
    uint32_t credits() const { return m_credits; }
    uint32_t inFlight() const { return static_cast<uint32_t>(m_streams.size()); }

    // Sends an attempt and spends a credit. Call only if isOpen() and credits() is not 0.
    std::shared_ptr<AttemptStream> open(Open&&);

    // Tells the sidecar that frames below `next` were passed on.
    void ack(const AttemptId&, uint32_t next);

    // Gives up on an attempt; its frames are dropped from now on.
    void cancel(const AttemptId&);

    // Ends the interest in an attempt that has been answered.
    void forget(const AttemptId& id) { m_streams.erase(id); }

    // Tells the sidecar how many more attempts would be opened now.
    void want(uint32_t credits);

    // Sends heartbeats, and reconnects if the connection was lost or is silent.
    void tick(TimePoint);

    void send(const Message&);

    // Configuration revision that the sidecar is known to have.
    uint64_t peerRevision() const { return m_heartbeat.peerRevision(); }
    void setPeerRevision(uint64_t revision) { m_heartbeat.setPeerRevision(revision); }

private:
    void connect(TimePoint);
    void onConnected(boost::asio::ip::tcp::socket);
    void onClosed(std::string_view cause);
    void receive(Message&&);
    void onWelcome(const Welcome&);
    void onPing(const Ping&);
    void onFrame(Frame&&);
    void failAll(Reason);
    void failUnresolved(Millis lostFor);
    void sendPing(TimePoint);
    bool isSilent(TimePoint);
    bool needsPing(TimePoint) const;

    boost::asio::any_io_executor m_executor;
    Identity m_identity;
    std::string m_endpoint;
    std::string m_address;
    Hooks m_hooks;
    std::shared_ptr<Connection> m_connection;
    Heartbeat m_heartbeat;
    std::map<AttemptId, std::shared_ptr<AttemptStream>> m_streams;
    uint64_t m_connections = 0;
    uint64_t m_peerStart = 0;
    uint32_t m_credits = 0;
    uint32_t m_wanted = 0;
    bool m_welcomed = false;
    bool m_connecting = false;
    TimePoint m_lastPing;
    // When the first heartbeat was sent that nothing has come after; none if something has.
    std::optional<TimePoint> m_unansweredSince;
    TimePoint m_nextConnect;
    // Since when the sidecar could not be asked about attempts.
    std::optional<TimePoint> m_lostAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace orioletrail
