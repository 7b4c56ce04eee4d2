// Tells other entries how many requests this one has in flight, by datagrams, and hears theirs.
#pragma once

#include "direct/handover.h"
#include "gateway/http.h"
#include "routing/load.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace orioletrail {

// What one entry tells the others.
struct PeerStatus {
    InstanceRun sender;
    // IP:PORT at which it hears.
    std::string address;
    InFlightCounts inFlight;
    // Requests that were lost with their endpoints, by digest, with how often that was.
    std::map<std::string, uint32_t, std::less<>> deaths;
    // It leads the expert maps.
    bool leading = false;
    // It serves no more new requests.
    bool stopping = false;
    // Of an instance that stops, if it led the expert maps.
    std::optional<LeadOffer> offer;
    // Of the leader: endpoints that take longer than usual, with how many times longer.
    std::map<std::string, double, std::less<>> slowness;
};

std::string encodePeerStatus(const PeerStatus&);

// Nothing for bytes that are no status.
std::optional<PeerStatus> decodePeerStatus(std::string_view);

class PeerExchange {
public:
    struct Hooks {
        // This instance's status, asked for before each round.
        std::function<PeerStatus()> own;
        std::function<void(PeerStatus)> heard;
    };

    PeerExchange(boost::asio::any_io_executor, Hooks);

    // Opens the socket and starts to send. False with lastError() set if the address is taken.
    bool start(const std::string& address);

    // Adds an entry to send to. One that is not heard of for a while is dropped, and is added
    // again when it is heard of.
    void add(const std::string& address);

    const std::string& lastError() const { return m_lastError; }

private:
    struct Peer {
        boost::asio::ip::udp::endpoint endpoint;
        TimePoint lastHeard;
    };

    Task<> sendLoop();
    Task<> receiveLoop();

    boost::asio::any_io_executor m_executor;
    Hooks m_hooks;
    boost::asio::ip::udp::socket m_socket;
    std::string m_address;
    std::map<std::string, Peer, std::less<>> m_peers;
    std::string m_lastError;
};

} // namespace orioletrail
