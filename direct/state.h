// State of a running direct entry. Everything here lives on the traffic thread unless it says otherwise.
#pragma once

#include "direct/direct.h"
#include "direct/keeper.h"
#include "direct/live-peers.h"
#include "direct/map-driver.h"
#include "direct/peers.h"
#include "direct/registry.h"
#include "direct/watcher.h"
#include "dispatch/dispatcher.h"
#include "gateway/events.h"
#include "platform/dialect.h"
#include "platform/settings.h"
#include "retry/crash-evidence.h"
#include "retry/poison.h"
#include "retry/window.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <random>
#include <thread>

namespace orioletrail {

// An endpoint that requests can be sent to.
struct Target {
    EndpointRecord record;
    std::shared_ptr<HttpClient> client;
};

// Notices that an endpoint answers nothing to a request.
struct SilenceWatch {
    explicit SilenceWatch(boost::asio::io_context& context)
        : timer(context)
    {
    }

    void end()
    {
        over = true;
        timer.cancel();
    }

    boost::asio::steady_timer timer;
    bool over = false;
    // The attempt was given up for another endpoint.
    bool gaveUp = false;
};

// A caller's request on its way.
struct DirectJob : DispatchRequest {
    CallerRequest caller;
    std::shared_ptr<const Catalog> catalog;
    std::string account;
    // The end of the caller's patience or of the route's timeout, whichever is sooner.
    TimePoint deadline;
    bool callerGone = false;
    // Some attempt may have run, whatever became of later ones.
    bool mayHaveRun = false;
    // Attempts that the endpoint did not reject.
    uint32_t accepted = 0;
    // The head of a streamed answer has been passed on.
    bool begun = false;
    EventSplitter events;
    // The attempt under way.
    std::shared_ptr<Target> target;
    std::shared_ptr<HttpCallToken> token;
    TimePoint lastEventAt;
    // Pieces with events that were passed on.
    uint32_t pieces = 0;
    // Ends the wait for a place.
    std::shared_ptr<boost::asio::steady_timer> wait;
    Millis waited { 0 };
};

// How an attempt ended. An answer of the endpoint's that is to be passed on is kept in `answer`.
struct DirectResult {
    Outcome outcome = Outcome::MayHaveRun;
    Reason reason = Reason::None;
    std::optional<HttpAnswer> answer;
};

// A refusal to be told to the caller.
struct DirectRefusal {
    unsigned status = 503;
    Reason reason = Reason::None;
    Outcome outcome = Outcome::NotRun;
    Millis retryAfter { 0 };
};

struct DirectEntry::State {
    explicit State(DirectSettings);

    bool start(std::string& reason);
    void run();

    // Requests.
    Task<> handle(const HttpRequest&, Responder&);
    std::optional<DirectRefusal> resolve(const HttpRequest&, DirectJob&);
    void chooseService(DirectJob&);
    Task<> attemptUntilAnswered(const HttpRequest&, Responder&, DirectJob&);
    // Gives the job a target with a reserved place, or a refusal.
    Task<std::optional<DirectRefusal>> findPlace(DirectJob&);
    bool reserve(DirectJob&);
    void onEvents(DirectJob&, TimePoint sent);
    bool mayRetry(DirectJob&, const DirectResult&);
    // Ends the attempt if the endpoint stays silent and another one may be asked.
    std::shared_ptr<SilenceWatch> watchSilence(DirectJob&, const std::shared_ptr<Target>&);
    bool mayAskAnother(const DirectJob&);
    // Names what a request asks for and of whom, so that it is known when it comes again.
    std::string digestOf(const HttpRequest&, const DirectJob&) const;
    // The process of an endpoint has ended.
    void onEndpointEnded(const std::string& endpoint);
    Task<DirectResult> attempt(const HttpRequest&, Responder&, DirectJob&);
    DirectResult judge(DirectJob&, const HttpResult&, const EndpointHead&, std::string body);
    void onAttemptEnded(DirectJob&, const DirectResult&, const HttpResult&, const EndpointHead&);
    Task<> finish(Responder&, DirectJob&, const DirectResult&);
    Task<> refuse(Responder&, DirectJob&, const DirectRefusal&);
    HttpAnswer refusalAnswer(std::string_view requestId, const DirectRefusal&) const;
    void logEnd(const DirectJob&, unsigned status, Reason, Outcome) const;

    // Beliefs and peers.
    void onSnapshot(BeliefSnapshot);
    void updateTargets();
    PeerStatus ownStatus();
    void onPeer(PeerStatus);
    Task<> joinPeers();
    void startMaps();
    void takeSlowness(std::map<std::string, double, std::less<>>);
    // The engine parameters of a service with expert maps, or null.
    const EngineProfile* expertProfile(const std::string& service) const;
    Task<std::optional<std::vector<EngineAccess>>> findSidecars();
    // Takes the lead of the expert maps, on the control thread and back.
    Task<std::optional<uint64_t>> claimLead();

    // Readiness and metrics.
    Task<> serveReadiness(const HttpRequest&, Responder&);
    Task<> tickLoop();

    void shutDown();
    Task<> drain();
    void awaitStop();
    void awaitReload();
    void reload();

    DirectSettings settings;
    PlatformSettings platform;
    Metrics metrics;
    boost::asio::io_context traffic { 1 };
    boost::asio::io_context controlIo { 1 };
    boost::asio::signal_set stopSignals { traffic, SIGTERM, SIGINT };
    boost::asio::signal_set reloadSignals { traffic, SIGHUP };
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> readiness;
    std::unique_ptr<HttpServer> metricsServer;
    std::unique_ptr<StoreClient> store;
    std::unique_ptr<BeliefKeeper> keeper;
    std::unique_ptr<InstanceRegistry> registry;
    std::unique_ptr<StoreWatcher> watcher;
    std::unique_ptr<PeerExchange> peers;
    std::unique_ptr<MapDriver> maps;
    // Engines that take longer than usual, as the leader of the expert maps says.
    std::map<std::string, double, std::less<>> slowness;
    std::unique_ptr<LeadHandover> handover;
    LivePeers livePeers;
    BeliefSnapshot beliefs;
    std::map<std::string, std::shared_ptr<Target>, std::less<>> targets;
    std::unique_ptr<Dispatcher> dispatcher;
    PoisonRecords poison;
    CrashEvidence crashes;
    RetryWindow retries { RetryWindowSettings {} };
    std::mt19937_64 random { std::random_device {}() };
    // Set at SIGTERM.
    std::optional<TimePoint> stoppingSince;
    std::thread controlThread;
};

} // namespace orioletrail
