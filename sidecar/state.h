// State of a running sidecar. Everything here lives on the traffic thread unless it says otherwise.
#pragma once

#include "admission/credits.h"
#include "gateway/http.h"
#include "retry/poison.h"
#include "sidecar/claims.h"
#include "sidecar/sidecar.h"
#include "transport/connection.h"
#include "transport/heartbeat.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace orioletrail {

struct Sidecar::State {
    // A connection from an entry.
    struct Peer {
        uint64_t number = 0;
        std::shared_ptr<Connection> connection;
        Heartbeat heartbeat;
        uint64_t entry = 0;
        uint64_t entryConnection = 0;
        std::string zone;
    };

    // An attempt that has a place at the endpoint.
    struct Running {
        Running(const boost::asio::any_io_executor& executor, Open request)
            : open(std::move(request))
            , window(executor)
        {
        }

        Open open;
        uint64_t ticket = 0;
        TimePoint started = Clock::now();
        TimePoint deadline;
        std::optional<TimePoint> firstByte;
        // Holds a place of the credit pool.
        bool counted = false;
        bool claiming = false;
        // Under suspicion: runs only when nothing else does.
        bool alone = false;
        // The ledger key, empty if the request is not claimed.
        std::string claimKey;
        std::shared_ptr<HttpCallToken> token = std::make_shared<HttpCallToken>();
        // Cancelled whenever frames are acknowledged.
        boost::asio::steady_timer window;
        uint64_t bytes = 0;
        // The answer, kept for the ledger if the request has a key.
        RecordedAnswer answer;
    };

    using RunningPtr = std::shared_ptr<Running>;

    explicit State(SidecarSettings);

    bool start(std::string& reason);
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
    void onCancel(const Cancel&);
    void sendFrame(const AttemptId&, Frame);
    void sendPing(Peer&);
    void sendConfigTo(uint64_t number, uint64_t since);

    // Admission.
    Reason closedReason(TimePoint) const;
    Reason poisonReason(Running&, TimePoint) const;
    void onOpen(Peer&, Open&&);
    void updateCredits();
    void onView(const ControlView&);

    // Running attempts.
    void startOrHold(const RunningPtr&);
    void startSolo();
    void admit(const RunningPtr&);
    void onClaimed(const RunningPtr&, ClaimResult);
    void replay(const RunningPtr&, const RecordedAnswer&);
    Task<> execute(RunningPtr);
    Task<> onHead(RunningPtr, unsigned status, HeaderList);
    Task<> onChunk(RunningPtr, std::string);
    void onExecuted(const RunningPtr&, const HttpResult&, bool died);
    void fail(const RunningPtr&, Outcome, Reason);
    void end(const RunningPtr&);
    void settleClaim(const RunningPtr&, const HttpResult&);

    // Regular work.
    Task<> tickLoop();
    Task<> ledgerLoop();
    void tick();
    Task<> probeLoop();
    Task<std::optional<LoadReport>> askLoad(HttpFailure&);
    Task<> probe();
    Task<bool> hasEndpointDied();
    void updateGauges();
    void shutDown();
    Task<> drain();
    Task<> serveAdmin(const HttpRequest&, Responder&);

    SidecarSettings settings;
    uint64_t startNumber = 0;
    Metrics metrics;
    boost::asio::io_context traffic { 1 };
    boost::asio::io_context controlIo { 1 };
    boost::asio::ip::tcp::acceptor acceptor { traffic };
    boost::asio::signal_set signals { traffic, SIGTERM, SIGINT };
    std::unique_ptr<HttpClient> endpoint;
    std::unique_ptr<HttpServer> admin;
    std::unique_ptr<Agent> agent;
    std::unique_ptr<Claims> claims;
    CreditPool pool;
    Ramp ramp;
    AttemptTable attempts;
    ControlView view;
    std::map<uint64_t, Peer> peers;
    std::map<uint64_t, uint64_t> peerOfEntry;
    std::map<AttemptId, RunningPtr> running;
    uint64_t nextPeer = 0;
    uint64_t nextTicket = 0;
    uint32_t probeFailures = 0;
    PoisonRecords poison;
    // The attempt under suspicion that waits or runs; nothing else is admitted until it ends.
    RunningPtr soloAttempt;
    bool soloWaits = false;
    // Start number of the endpoint by its last report.
    uint64_t endpointStart = 0;
    bool wasZoneOut = false;
    std::atomic<bool> stopping { false };
    std::atomic<bool> ready { false };
    std::thread controlThread;
};

} // namespace orioletrail
