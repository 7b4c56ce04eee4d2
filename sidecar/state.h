// State of a running sidecar, used on the traffic thread except where noted.
#pragma once

#include "admission/credits.h"
#include "admission/endpoint-notices.h"
#include "gateway/events.h"
#include "gateway/http.h"
#include "retry/poison.h"
#include "sidecar/claims.h"
#include "sidecar/sidecar.h"
#include "transport/connection.h"
#include "transport/heartbeat.h"
#include "transport/poison-report.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace orioletrail {

struct Sidecar::State {
    // A connection from an entry.
    struct Peer {
        // Identifies the connection within this process; the key of `peers`.
        uint64_t number = 0;
        std::shared_ptr<Connection> connection;
        Heartbeat heartbeat;
        // Random number that identifies the entry process, 0 until its Hello arrives.
        uint64_t entry = 0;
        // Number that the entry gave to this connection.
        uint64_t entryConnection = 0;
        std::string zone;
    };

    // An attempt that an entry has opened and that has not ended.
    struct ActiveAttempt {
        ActiveAttempt(const boost::asio::any_io_executor& executor, OpenAttempt request)
            : open(std::move(request))
            , windowTimer(executor)
        {
        }

        OpenAttempt open;
        // Identifies the attempt's ledger claim, 0 if there is none.
        uint64_t ticket = 0;
        // When the request was sent to the endpoint.
        TimePoint started = Clock::now();
        // The endpoint's process at that time, see Sidecar::State::endpointStart.
        uint64_t endpointStart = 0;
        TimePoint deadline;
        std::optional<TimePoint> firstByte;
        // Counted among the attempts in flight of the credit pool.
        bool inPool = false;
        // Waits for the result of its ledger claim.
        bool claiming = false;
        // The request may crash the endpoint, so it runs only while no other does.
        bool exclusive = false;
        // Key of the ledger claim, empty if the request is not claimed.
        std::string claimKey;
        // Cancels the call to the endpoint.
        std::shared_ptr<CancellationToken> token = std::make_shared<CancellationToken>();
        // Wakes the reading of the answer, which pauses while the window of unacknowledged bytes
        // is full. Cancelled by each acknowledgement.
        boost::asio::steady_timer windowTimer;
        // Body bytes of the answer sent to the entry so far.
        uint64_t bytes = 0;
        bool isEventStream = false;
        // Splits an event stream, so that the entry gets whole events only.
        EventSplitter events;
        // The answer as recorded in the ledger; its body is kept only if the request was claimed.
        RecordedAnswer answer;
    };

    using AttemptPtr = std::shared_ptr<ActiveAttempt>;

    explicit State(SidecarSettings);

    // Opens the listening sockets. Returns false with `reason` set on failure.
    bool start(std::string& reason);
    // Serves until the sidecar has shut down.
    void run();

    // Connections from entries.

    Task<> acceptLoop();
    void addPeer(boost::asio::ip::tcp::socket);
    void removePeer(uint64_t number);
    void receive(uint64_t number, Message&&);
    void onHello(Peer&, const Hello&);
    void onPing(Peer&, const Ping&);
    void onResume(Peer&, const Resume&);
    void onAck(const Ack&);
    void onReturn(const Peer&, const ReturnCredits&);
    void onCancel(const Cancel&);
    // Keeps a frame of an answer and sends it if the entry is connected.
    void sendFrame(const AttemptId&, Frame);
    void sendPing(Peer&);
    // Sends a peer the configuration changes after revision `since`.
    void sendConfigTo(uint64_t number, uint64_t since);

    // Admission.

    // Why the endpoint takes no new work, None if it does.
    Reason closedReason(TimePoint) const;
    // Refuses a request that has crashed endpoints, and any request while an exclusive attempt
    // waits or runs. Otherwise returns None and sets `exclusive` of the attempt.
    Reason checkPoison(Peer&, ActiveAttempt&, TimePoint) const;
    // An entry reported a request that crashes endpoints: passes on what is news.
    void onPoisonReport(const PoisonReport&);
    // Tells all entries what is known of the request.
    void sendPoisonReport(std::string_view digest);
    void onOpenAttempt(Peer&, OpenAttempt&&);
    // Sets the credit pool's limit and sends the resulting grants and recalls to entries.
    void updateCredits();
    // Writes a log line on a change of the credits that a peer holds.
    void logCredits(const Peer&, std::string_view event, uint32_t credits) const;
    void onControlView(const ControlView&);

    // Active attempts.

    // Starts an attempt, or makes it the exclusive attempt, which starts once all others have ended.
    void startOrWait(const AttemptPtr&);
    // Starts the exclusive attempt if it waits and no other attempt is in flight.
    void startExclusive();
    // Runs an attempt, after claiming its idempotency key if it has one.
    void claimAndRun(const AttemptPtr&);
    void onClaimed(const AttemptPtr&, ClaimResult);
    // Answers with the recorded answer of an earlier request that had the same key.
    void replay(const AttemptPtr&, const RecordedAnswer&);
    // Sends the request to the endpoint and streams its answer to the entry.
    Task<> execute(AttemptPtr);
    Task<> onHead(AttemptPtr, unsigned status, HeaderList);
    Task<bool> onChunk(AttemptPtr, std::string);
    // Sends a part of the answer to the entry; nothing if it is empty.
    void sendChunk(const AttemptPtr&, std::string data);
    void onExecuted(const AttemptPtr&, const HttpResult&, bool died);
    // Ends an attempt with a Failed frame.
    void fail(const AttemptPtr&, Outcome, Reason);
    // Removes an attempt and frees its credit.
    void end(const AttemptPtr&);
    // Records the answer in the ledger, or releases the claim if the endpoint was not reached. If
    // the request may have run without an answer, the claim stays.
    void resolveClaim(const AttemptPtr&, const HttpResult&);

    // Periodic work, probes and shutdown.

    Task<> tickLoop();
    Task<> ledgerLoop();
    // Fails attempts whose deadline passed while they waited, and closes silent connections.
    void tick();
    Task<> probeLoop();
    Task<std::optional<LoadReport>> fetchLoadReport(HttpFailure&);
    Task<> probe();
    // Whether the endpoint process has ended or restarted, asked after a connection was lost.
    Task<bool> hasEndpointDied();
    void updateGauges();
    void shutDown();
    // Waits for attempts in progress, up to the drain timeout, and stops the traffic thread.
    Task<> drain();
    // Runs on the control thread.
    Task<> serveAdmin(const HttpRequest&, Responder&);

    SidecarSettings settings;
    // Random number that identifies this run of the process.
    uint64_t startNumber = 0;
    Metrics metrics;
    // Serves entries and the endpoint on the traffic thread, which is the one that calls run().
    boost::asio::io_context trafficIo { 1 };
    // Exchanges configuration and serves metrics and health checks on the control thread.
    boost::asio::io_context controlIo { 1 };
    boost::asio::ip::tcp::acceptor acceptor { trafficIo };
    boost::asio::signal_set signals { trafficIo, SIGTERM, SIGINT };
    std::unique_ptr<HttpClient> endpoint;
    std::unique_ptr<HttpServer> admin;
    std::unique_ptr<ConfigAgent> agent;
    std::unique_ptr<Claims> claims;
    CreditPool pool;
    Ramp ramp;
    AttemptTable attempts;
    ControlView view;
    std::map<uint64_t, Peer> peers;
    // Number of the newest connection of each entry.
    std::map<uint64_t, uint64_t> peerOfEntry;
    std::map<AttemptId, AttemptPtr> activeAttempts;
    uint64_t nextPeer = 0;
    uint64_t nextTicket = 0;
    // Consecutive failed probes.
    uint32_t probeFailures = 0;
    PoisonRecords poison;
    // The exclusive attempt that waits or runs; no other attempt is admitted until it ends.
    AttemptPtr exclusiveAttempt;
    bool exclusiveWaits = false;
    // Identifies the endpoint process, as given by its last load report.
    uint64_t endpointStart = 0;
    // What the endpoint has said in its answers about taking further requests.
    EndpointNotices notices;
    bool wasZoneOut = false;
    std::atomic<bool> stopping { false };
    std::atomic<bool> ready { false };
    std::thread controlThread;
};

} // namespace orioletrail
