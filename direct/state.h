// State of a running direct entry. Used on the traffic thread only, unless a comment says otherwise.
#pragma once

#include "direct/catch-up.h"
#include "direct/direct.h"
#include "direct/feeders.h"
#include "direct/keeper.h"
#include "direct/live-peers.h"
#include "direct/map-driver.h"
#include "direct/peers.h"
#include "direct/registry.h"
#include "direct/watcher.h"
#include "dispatch/dispatcher.h"
#include "drain/answer-times.h"
#include "drain/plan.h"
#include "gateway/events.h"
#include "group/group-log.h"
#include "platform/dialect.h"
#include "platform/settings.h"
#include "retry/budget.h"
#include "retry/crash-evidence.h"
#include "retry/crash-parts.h"
#include "retry/poison.h"
#include "retry/slack-share.h"
#include "retry/suspect-trials.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/thread_pool.hpp>
#include <random>
#include <thread>

namespace orioletrail {

namespace detail {

    // Added to the port of status messages: where an entry serves others what it reads from the store.
    constexpr uint16_t feedPortOffset = 1;

} // namespace detail

// An endpoint with the client that connects to it.
struct Target {
    EndpointRecord record;
    std::shared_ptr<HttpClient> client;
    // See EngineAccess::orderClient.
    std::shared_ptr<HttpClient> orderClient;
};

// Detects that an endpoint sends no response head within its silence limit.
struct SilenceTimer {
    explicit SilenceTimer(boost::asio::io_context& context)
        : timer(context)
    {
    }

    void stop()
    {
        isStopped = true;
        timer.cancel();
    }

    boost::asio::steady_timer timer;
    bool isStopped = false;
    // The attempt was cancelled, so that another endpoint can be tried.
    bool attemptCancelled = false;
};

// A caller's request with the state of its attempts.
struct DirectJob : DispatchRequest {
    CallerRequest caller;
    std::shared_ptr<const Catalog> catalog;
    // Hashes of the request's content, by which it is recognized when it is sent again.
    std::vector<std::string> digests;
    // When the caller stops waiting or the route's timeout ends, whichever is sooner.
    TimePoint deadline;
    bool callerGone = false;
    // The process ends before the request has its answer.
    bool isCutOff = false;
    // True if any attempt so far may have run the request.
    bool mayHaveRun = false;
    // Attempts that the endpoint did not reject.
    uint32_t acceptedAttempts = 0;
    // Attempts that were sent to an endpoint, which is all but those whose connection failed.
    uint32_t sentAttempts = 0;
    // Attempts that were lost when their endpoint crashed, before it had begun to answer.
    uint32_t crashedAttempts = 0;
    // Why the last attempt failed.
    Reason lastReason = Reason::None;
    // A retry was taken from the budget for the attempt that is next.
    bool isRetryCharged = false;
    // The head of a streamed answer has been sent to the caller.
    bool streamBegun = false;
    // How the end of the last attempt's answer was marked.
    BodyFraming framing = BodyFraming::Unknown;
    EventSplitter events;
    // Endpoint at which a place is reserved for the next attempt, or null.
    std::shared_ptr<Target> target;
    // Cancels the current attempt.
    std::shared_ptr<CancellationToken> cancelToken;
    TimePoint lastEventAt;
    // Chunks of the stream that held at least one whole event.
    uint32_t eventChunks = 0;
    // Limits the wait for a place; cancelled when a place is reserved.
    std::shared_ptr<boost::asio::steady_timer> queueTimer;
    // Total time spent waiting for a place.
    Millis queueTime { 0 };
    // What was weighed of shared parts of the prompt when the last attempt's endpoint was chosen.
    PartDecision partDecision;
};

// Result of one attempt.
struct DirectAttemptResult {
    Outcome outcome = Outcome::MayHaveRun;
    Reason reason = Reason::None;
    // The endpoint's process has ended: it refuses connections.
    bool endpointEnded = false;
    // The endpoint had begun to answer.
    bool isAnswering = false;
    // The endpoint's answer, if it can be sent to the caller.
    std::optional<HttpResponse> answer;
};

// Error response to a caller.
struct DirectRefusal {
    unsigned status = 503;
    Reason reason = Reason::None;
    Outcome outcome = Outcome::NotRun;
    // Value of the Retry-After header; 0 for none.
    Millis retryAfter { 0 };
};

struct DirectEntry::State {
    explicit State(DirectSettings);

    // Returns false with `reason` set if the settings are invalid or an address cannot be bound.
    bool start(std::string& reason);
    // Returns when the entry has shut down.
    void run();

    // Requests.
    Task<> handleRequest(const HttpRequest&, Responder&);
    // Finds route, account, priority, deadline and service of the request, or returns a refusal.
    std::optional<DirectRefusal> resolve(const HttpRequest&, DirectJob&);
    // Returns a refusal if the request, or a part of its prompt, crashes endpoints.
    std::optional<DirectRefusal> refusalForCrashes(const DirectJob&, TimePoint) const;
    // Returns a refusal if this entry takes no requests, because it has no configuration yet.
    std::optional<DirectRefusal> refusalForState();
    // Returns a refusal if this entry is stopping and takes or sends no request like this one any more.
    std::optional<DirectRefusal> refusalForStop(const DirectJob&, bool isTaken, TimePoint) const;
    // Finds route, account and deadline for a path, or returns a refusal.
    std::optional<DirectRefusal> findRoute(std::string_view path, DirectJob&);
    // Picks one of the route's services at random, by weight.
    void chooseService(DirectJob&);
    Task<> attemptUntilAnswered(const HttpRequest&, Responder&, DirectJob&);
    // Reserves a place at an endpoint, which becomes the job's target. Waits in the queue if
    // necessary. Returns a refusal if there was no place in time.
    Task<std::optional<DirectRefusal>> reservePlace(DirectJob&);
    // Reserves a place if one is free now.
    bool tryReservePlace(DirectJob&);
    // A place was reserved for the job at the endpoint.
    void onPlaced(DirectJob&, const std::string& endpoint);
    // Updates the latency statistics when a chunk with whole events has arrived.
    void onEvents(DirectJob&, TimePoint sent);
    // True if the request may be attempted again. Takes a retry from the budget if an attempt has reached
    // an endpoint.
    bool mayRetry(DirectJob&, const DirectAttemptResult&);
    // True if the endpoint's process has ended: it refuses connections. With `askProcess` the endpoint
    // also has to answer with a status, which shows a new process too.
    Task<bool> hasEnded(std::shared_ptr<Target>, bool askProcess);
    // Applies the limit that an endpoint's answer names, or the lack of one.
    void onLimitNamed(const std::string& endpoint, const EndpointHead&);
    // Applies what an endpoint's answer tells about taking further requests.
    void onNotices(const std::string& endpoint, const EndpointHead&);
    // Starts the timer that cancels the attempt if the endpoint stays silent and another one may be
    // tried.
    std::shared_ptr<SilenceTimer> startSilenceTimer(DirectJob&, const std::shared_ptr<Target>&);
    bool mayTryAnother(const DirectJob&);
    // The endpoint's process has ended: counts a death for each request that was lost with it.
    void onEndpointEnded(const std::string& endpoint);
    // Notes that the endpoint's group of engines runs no requests, if the attempt shows that, or that it runs them again.
    void updateOutages(const Target&, const DirectAttemptResult&, const EndpointHead&, bool hasEnded, TimePoint sent);
    void onServing(const Target&, TimePoint sent);
    // Updates what is known of the parts of the request's prompt after an attempt.
    void updateCrashParts(const HttpRequest&, DirectJob&, const Target&, const DirectAttemptResult&);
    void onPartRefused(PartHash, std::optional<double> chance, size_t crashes);
    // Reserves memory for what is kept of an answer. The endpoint waits meanwhile, since nothing is read from it. Returns
    // false if there was none in time.
    Task<bool> holdAnswer(Responder&, const DirectJob&, size_t bytes);
    Task<DirectAttemptResult> attempt(const HttpRequest&, Responder&, DirectJob&);
    // The same, as a trial if the request may crash its endpoint.
    Task<DirectAttemptResult> attemptWithCare(const HttpRequest&, Responder&, DirectJob&);
    // Determines outcome and reason of an attempt whose answer was not streamed whole.
    DirectAttemptResult classifyAttempt(DirectJob&, const HttpResult&, const EndpointHead&, std::string body);
    void onAttemptEnded(DirectJob&, const DirectAttemptResult&, const HttpResult&, const EndpointHead&);
    // Responds to the caller after the last attempt has failed.
    Task<> finishFailed(Responder&, DirectJob&, const DirectAttemptResult&);
    Task<> refuse(Responder&, DirectJob&, const DirectRefusal&);
    HttpResponse refusalAnswer(std::string_view requestId, const DirectRefusal&) const;
    // Writes the log line that summarizes a finished request.
    void logRequestEnd(const DirectJob&, unsigned status, Reason, Outcome) const;

    // Directory and peers.
    void onSnapshot(DirectorySnapshot);
    void updateTargets();
    PeerStatus ownStatus();
    // Notes how far another entry has followed the store, and where it serves readers.
    void onPeerProgress(const PeerStatus&);
    // Tells the watcher which other entries to read from.
    void updateFeeders(TimePoint);
    void onPeerStatus(PeerStatus);
    void onPeerFull(const FullReports&);
    // Tells the peers at once what is new of full endpoints.
    void tellFull();
    // An endpoint rejected a request: counts it as full if that is why.
    void onRejected(const Target&, const EndpointHead&);
    // Registers this entry in the store and adds all registered entries as peers. Runs on the control
    // thread.
    Task<> joinPeers();
    // Registers this entry again after the store has come back from an older copy, which may lack it.
    Task<> rejoinPeers();
    void addPeers(std::span<const RegisteredInstance>);
    // Counts an instance that is registered or was heard in the limits that all instances share.
    void addKnownInstance(std::string_view name);
    // Applies a change of this process's share of the retry slack to the retry budget.
    void updateSlackShare(TimePoint);
    // True if requests may be answered by what this entry knows.
    bool isCaughtUp();
    // Fetches the configuration from another entry.
    Task<> fetchConfiguration(std::string address);
    // Answers another entry that asks for the configuration.
    Task<> serveConfiguration(const HttpRequest&, Responder&);
    // Hands the snapshot to the dispatcher, with the zones that are closed for other entries.
    void updateDispatcher();
    void createMapDriver();
    // Replaces the slowdown factors of the endpoints.
    void updateSlowness(std::map<std::string, double, std::less<>>);
    // Applies what this entry knows of the groups while it leads, and updates their metrics.
    void updateGroups(TimePoint);
    // The engine parameters of a service with expert maps, or null.
    const EngineProfile* expertProfile(const std::string& service) const;
    Task<std::optional<std::vector<EngineAccess>>> listSidecars();
    // Acquires the leadership of the expert maps in the store. Resumes on the traffic thread after
    // the call, which is made on the control thread.
    Task<std::optional<uint64_t>> acquireMapLeadership();

    // Readiness and metrics.
    Task<> serveReadinessOrMetrics(const HttpRequest&, Responder&);
    // Answers where a request would go now.
    HttpResponse explainPlacement(const HttpRequest&);
    Task<> tickLoop();

    void shutDown();
    // Waits until the load balancer in front sends no more requests and those in progress have ended,
    // at most as long as the plan allows, and then stops.
    Task<> drain();
    // Refuses requests that wait for a place and are too late to be sent to an endpoint.
    void refuseLateJobs();
    // Ends the requests that are still in progress. Those that wait for a place have not run, others may have.
    void cutOffJobs();
    void awaitStop();
    void awaitReload();
    void reload();

    DirectSettings settings;
    PlatformSettings platform;
    Metrics metrics;
    boost::asio::io_context traffic { 1 };
    // Runs on `controlThread`: calls to the store.
    boost::asio::io_context controlIo { 1 };
    // Plans expert maps, which takes too long for the traffic thread.
    boost::asio::thread_pool plannerThread { 1 };
    boost::asio::signal_set stopSignals { traffic, SIGTERM, SIGINT };
    boost::asio::signal_set reloadSignals { traffic, SIGHUP };
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> metricsServer;
    // Serves other entries.
    std::unique_ptr<HttpServer> peerServer;
    std::unique_ptr<StoreClient> store;
    std::unique_ptr<DirectoryKeeper> keeper;
    std::unique_ptr<InstanceRegistry> registry;
    std::unique_ptr<StoreFeed> feed;
    // Serves other entries what this one reads from the store, on the control thread.
    std::unique_ptr<HttpServer> feedServer;
    std::unique_ptr<StoreWatcher> watcher;
    std::unique_ptr<Feeders> feeders;
    std::vector<std::string> currentFeeders;
    // Whether the watcher has been told of feeders, or that there are none.
    bool hasFeeders = false;
    StoreProgress storeProgress;
    // The farthest progress of all other entries.
    StoreProgress peerProgress;
    std::unique_ptr<PeerExchange> peers;
    std::unique_ptr<MapDriver> mapDriver;
    // Endpoints that are slower than usual, with the factor by which they are, as measured by the
    // leader of the expert maps.
    std::map<std::string, double, std::less<>> slowness;
    // Groups of engines as this entry knows them while it leads.
    GroupWatch groupWatch;
    bool wasLeading = false;
    GroupLog groupLog;
    std::unique_ptr<LeadershipHandover> handover;
    LivePeers livePeers;
    CatchUp catchUp { Clock::now() };
    // Zones in the dispatcher that only other entries keep closed.
    std::set<std::string, std::less<>> peerClosedZones;
    DirectorySnapshot snapshot;
    // By endpoint.
    std::map<std::string, std::shared_ptr<Target>, std::less<>> targets;
    std::unique_ptr<Dispatcher> dispatcher;
    PoisonRecords poison;
    SuspectTrials trials;
    CrashEvidence crashes;
    CrashParts crashParts;
    RetryBudget retries;
    SlackShare slackShare;
    // The share of the retry slack that is in use.
    double currentSlackShare = 0;
    std::mt19937_64 random { std::random_device {}() };
    // Set when a stop signal has arrived.
    std::optional<TimePoint> stoppingSince;
    std::optional<DrainPlan> drainPlan;
    // Requests are refused, since the process is about to end.
    bool isClosing = false;
    AnswerTimes answerTimes;
    // Requests in progress that have a route.
    std::set<DirectJob*> jobs;
    std::thread controlThread;
};

} // namespace orioletrail
