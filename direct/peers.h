// Exchanges status messages between entries over UDP: requests in flight, endpoint deaths and the
// leadership of the expert maps.
#pragma once

#include "admission/endpoint-limits.h"
#include "admission/rate-limit.h"
#include "direct/handover.h"
#include "direct/store-progress.h"
#include "gateway/http.h"
#include "group/group-report.h"
#include "outage/messages.h"
#include "rejection/full-endpoints.h"
#include "retry/crash-parts.h"
#include "retry/poison.h"
#include "routing/load.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace orioletrail {

// Status message of one entry to all others.
struct PeerStatus {
    InstanceProcess sender;
    // IP:PORT at which the sender receives status messages.
    std::string address;
    InFlightCounts inFlight;
    // Endpoint deaths of requests that were lost with them.
    std::vector<PoisonEvidence> poison;
    // Crashes of endpoints and the parts of prompts that are refused for them.
    CrashReport crashes;
    // Version of the sender's configuration, 0 if it does not answer requests yet.
    uint64_t configuration = 0;
    // Zones that get no requests from the sender.
    std::set<std::string, std::less<>> closedZones;
    // Limits that endpoints have named, and what the sender sent to limited and cold endpoints.
    NamedLimits limits;
    SentAges sent;
    // What the sender heard from endpoints that are full.
    FullReports full;
    std::string zone;
    // Outages of groups of engines that the sender has seen.
    OutageReports outages;
    // How far the sender has followed the store.
    StoreProgress progress;
    // Processor time per second that the sender may use, in cores.
    double processorShare = 0;
    // The sender leads the expert maps.
    bool leading = false;
    // The sender leads and is changing a map.
    bool changingMap = false;
    // The sender is shutting down.
    bool stopping = false;
    // Set by a stopping sender that led the expert maps.
    std::optional<LeadershipOffer> offer;
    // Set by the leader: endpoints that are slower than usual, with the factor by which they are, or
    // unreportedSlowness for an engine that sends no reports.
    std::map<std::string, double, std::less<>> slowness;
    // Set by the leader, at most once a second or on a change.
    std::vector<GroupReport> groups;
};

std::string encodePeerStatus(const PeerStatus&);

// Returns nothing if the text is not a valid status message.
std::optional<PeerStatus> decodePeerStatus(std::string_view);

struct PeerExchangeSettings {
    // Time between two status messages to a peer; a twentieth of the duration of a streamed answer,
    // so that peers know of most requests in flight.
    Millis interval { 100 };
    // A peer that has sent nothing for this long may be gone, and gets a status at silentInterval
    // only.
    Millis silentAfter { 10'000 };
    Millis silentInterval { 1000 };
    // A silent peer is removed after this time, which is longer than entries stay cut off.
    Millis forgetAfter { 600'000 };
};

// Sends this entry's status to all known peers at a fixed interval, and receives theirs.
class PeerExchange {
public:
    struct Hooks {
        // Returns this entry's status; called before each round of messages.
        std::function<PeerStatus()> ownStatus;
        // Called with each status that a peer sent.
        std::function<void(PeerStatus)> onStatus;
        // Called with what a peer told at once of full endpoints.
        std::function<void(const FullReports&)> onFull {};
    };

    PeerExchange(boost::asio::any_io_executor, Hooks, const PeerExchangeSettings& = {});

    // Binds the socket to `address` (IP:PORT) and starts the exchange. Returns false with
    // lastError() set if that fails.
    bool start(const std::string& address);

    // Adds a peer (IP:PORT) to send to. Peers that send a status are added as well.
    void addPeer(const std::string& address);

    // Tells the peers of full endpoints at once. Does nothing if there are too many peers. Returns whether it did.
    bool tellFull(const FullReports&);

    const std::string& lastError() const { return m_lastError; }

private:
    struct Peer {
        boost::asio::ip::udp::endpoint endpoint;
        TimePoint lastReceived;
        TimePoint lastSent;
    };

    Task<> sendLoop();
    Task<> receiveLoop();

    boost::asio::any_io_executor m_executor;
    Hooks m_hooks;
    PeerExchangeSettings m_settings;
    boost::asio::ip::udp::socket m_socket;
    std::string m_address;
    std::map<std::string, Peer, std::less<>> m_peers;
    std::string m_lastError;
};

} // namespace orioletrail
