// Internal state of a running entry. Requests are handled on the traffic thread, the configuration
// and the admin port on the control thread. Members belong to the traffic thread unless noted.
#pragma once

#include "admission/fairness.h"
#include "drain/answer-times.h"
#include "drain/plan.h"
#include "entry/entry.h"
#include "entry/link.h"
#include "operator/command.h"
#include "retry/suspect-trials.h"
#include "telemetry/history.h"
#include "telemetry/refusals.h"
#include "transport/poison-report.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <set>
#include <thread>

namespace orioletrail {

// A caller's request while it is being processed.
struct RequestContext {
    // The caller's X-Request-Id, or a generated one.
    std::string requestId;
    std::string account;
    std::string service;
    // Path and query that the endpoint receives.
    std::string target;
    // Empty if the caller sent none.
    std::string idempotencyKey;
    // Digest of service, target and body. Identifies repeats of a request that crashes endpoints.
    std::string contentDigest;
    // Requests in flight allowed to the account over all entries.
    uint32_t accountLimit = 0;
    // Unique within this process.
    uint64_t requestNumber = 0;
    // Hash of the account and the start of the prompt. Requests with equal values prefer the same
    // endpoint; 0 means no preference.
    uint64_t affinity = 0;
    bool idempotent = false;
    // The endpoint must run nothing else meanwhile, since an earlier attempt may have crashed one.
    bool runAlone = false;
    // Set while the request is run as a trial; see SuspectTrials.
    std::string trial;
    bool callerGone = false;
    // The process ends before the request has its answer.
    bool isCutOff = false;
    // True once an attempt ended without proof that the request did not run.
    bool mayHaveRun = false;
    TimePoint receivedAt = Clock::now();
    TimePoint deadline;
    uint32_t attemptCount = 0;
    // Part of the answer has been sent to the caller, so a retry is no longer possible.
    bool answerStarted = false;
    std::vector<std::string> triedEndpoints;
    // Stored for the operators' command "explain request".
    RequestRecord historyRecord;
    // The current attempt.
    std::shared_ptr<SidecarLink> link;
    AttemptId attemptId;
    TimePoint sentAt;
    std::shared_ptr<AttemptStream> stream;
};

// How an attempt ended.
struct AttemptResult {
    Outcome outcome = Outcome::MayHaveRun;
    Reason reason = Reason::None;
    // This entry ended the attempt, not the sidecar.
    bool isFailedHere = false;
};

// An error answer to the caller.
struct Refusal {
    // HTTP status.
    unsigned status = 503;
    Reason reason = Reason::None;
    Outcome outcome = Outcome::NotRun;
    // Explanation for the caller. If empty, the answer says whether the request may be sent again.
    std::string detail;
};

struct Entry::State {
    explicit State(EntrySettings);

    // Opens all ports. Returns false and sets `reason` if the settings are invalid or an address
    // cannot be used.
    bool start(std::string& reason);

    // Runs the traffic thread on the calling thread, and the control thread, until the shutdown
    // is complete.
    void run();

    // Requests. Functions that return a Refusal return nothing if the request may proceed.

    Task<> handleRequest(const HttpRequest&, Responder&);
    Task<> waitForFreshConfig();
    Task<> admitAndForward(const HttpRequest&, Responder&, RequestContext&);
    std::optional<Refusal> parseRequest(const HttpRequest&, RequestContext&);
    // Parses a call of an OpenAI-style completion API; the model's name is the service.
    std::optional<Refusal> parseModelCall(const HttpRequest&, RequestContext&);
    // Parses a call of a plain service, "/services/NAME/PATH".
    std::optional<Refusal> parseServiceCall(const HttpRequest&, RequestContext&);
    // Finds the account of the bearer token.
    std::optional<Refusal> authenticate(const HttpRequest&, RequestContext&);
    // Refuses requests that crashed endpoints and those over the account's limit or fair share.
    // An admitted request counts as in flight until fairShare.finish().
    std::optional<Refusal> checkAdmission(RequestContext&);
    // Refuses requests that come too late before the process ends, or wait too long to be sent.
    std::optional<Refusal> checkDrain(const RequestContext&, bool isTaken) const;
    // Makes attempts until one is answered or no retry is possible, and answers the caller.
    Task<> forwardWithRetries(const HttpRequest&, Responder&, RequestContext&);
    // Waits up to queueTimeout for a link with a credit. Returns null if there is none, the queue
    // is full or the caller has gone.
    Task<std::shared_ptr<SidecarLink>> waitForLink(RequestContext&);
    bool allEndpointsTried(const RequestContext&) const;
    // The link for the next attempt, or null if none has a credit now.
    std::shared_ptr<SidecarLink> chooseLink(const RequestContext&);
    // The link to the endpoint that owns the ledger shard of the request's idempotency key: of the
    // available and untried endpoints, the one with the highest rendezvous score. Null if none.
    std::shared_ptr<SidecarLink> ledgerOwnerLink(const RequestContext&);
    // Makes one attempt over the context's link and forwards the answer to the caller.
    Task<AttemptResult> runAttempt(const HttpRequest&, Responder&, RequestContext&);
    Task<AttemptResult> receiveAnswer(Responder&, RequestContext&, Frame head);
    // Forwards the answer chunk by chunk. `received` holds its head and the body so far.
    Task<AttemptResult> streamAnswer(Responder&, RequestContext&, HttpResponse received);
    // Forwards the answer once it is complete, or streams it if it grows too large.
    Task<AttemptResult> bufferAnswer(Responder&, RequestContext&, HttpResponse);
    // Whether to make another attempt. Spends retry budget if the request may have run.
    bool shouldRetry(const RequestContext&, const AttemptResult&);
    // Takes a retry from the budgets of the service and the account, or returns false if one is empty.
    bool takeRetry(const RequestContext&);
    // The sidecar that ran the request's attempt has started anew: counts a death.
    void onSidecarEnded(const RequestContext&);
    // A sidecar reported a request that crashes endpoints: passes on what is news.
    void onPoisonReport(const PoisonReport&);
    // Tells all sidecars what is known of the request.
    void sendPoisonReport(std::string_view digest);
    // Refuses a request that may crash endpoints, or has it run alone.
    std::optional<Refusal> checkPoison(RequestContext&, TimePoint);
    // Updates history, refusal counts and poison records.
    void onAttemptEnded(RequestContext&, const AttemptResult&);
    Task<> sendRefusal(Responder&, RequestContext&, const Refusal&);
    void addToHistory(RequestContext&&);
    HttpResponse makeRefusalAnswer(std::string_view requestId, const Refusal&);

    // Links to sidecars.

    void onControlView(const ControlView&);
    // Opens links to the endpoints of the current configuration and closes idle ones to endpoints
    // that were removed or moved.
    void updateLinks();
    // Sends the sidecar all configuration changes after revision `since`.
    void sendConfigDelta(const std::string& endpoint, uint64_t since);
    // Attempts that this entry may have in flight for the service: credits held and spent.
    uint32_t serviceCapacity(std::string_view service) const;
    // Tells each sidecar how many requests are queued for its service.
    void updateCreditDemand();
    // Every gaugeInterval, sets the gauges and copies the sidecars' configuration revisions to the
    // control thread.
    void updateGauges(TimePoint, size_t openLinks);
    Task<> tickLoop();

    // Admin port, on the control thread.

    Task<> handleAdminRequest(const HttpRequest&, Responder&);
    Task<> handleCommand(const HttpRequest&, Responder&);
    Task<CommandResult> runCommand(const Command&);
    // Sets a boolean field of a stored object.
    Task<CommandResult> setFlag(std::string key, std::string field, bool value);
    // Writes an object that is at revision `expectedRevision`, or at whatever revision it has now.
    Task<CommandResult> writeObject(std::string key, std::string value, std::optional<uint64_t> expectedRevision);
    Task<CommandResult> applyObjects(const Command&);
    Task<CommandResult> removeObject(std::string key);
    // The configuration revision of every entry, and of every linked sidecar by its last heartbeat.
    Task<CommandResult> showRevisions();
    // The latest stored expert map of each group.
    Task<CommandResult> showMaps();
    // Runs a function on the traffic thread and returns its result to the control thread.
    Task<CommandResult> runOnTrafficThread(std::function<CommandResult()>);
    // On the traffic thread.
    CommandResult explainRequest(const std::string& requestId) const;
    // On the traffic thread.
    CommandResult showRefusals() const;
    // Waits until this entry's configuration has reached the revision, or a timeout.
    Task<> waitForRevision(uint64_t revision);

    void shutDown();
    // Waits until the load balancer in front sends no more connections and the requests in progress have ended, at most
    // for the drain timeout, and then stops.
    Task<> drain();
    // Ends the requests that are still in progress. Those that wait for a link have not run, others may have.
    void cutOffRequests();

    EntrySettings settings;
    // Random number that identifies this run of the process in attempt IDs.
    uint64_t incarnation = 0;
    // Used on both threads.
    Metrics metrics;
    boost::asio::io_context trafficIo { 1 };
    boost::asio::io_context controlIo { 1 };
    boost::asio::signal_set signals { trafficIo, SIGTERM, SIGINT };
    std::unique_ptr<HttpServer> callerServer;
    // On the control thread.
    std::unique_ptr<HttpServer> adminServer;
    // On the control thread, except for agent->control(), which any thread may use.
    std::unique_ptr<ConfigAgent> agent;
    // On the control thread.
    Platform platform;
    ControlView view;
    // Copy of `view` for the control thread.
    ControlView controlThreadView;
    // By endpoint name.
    std::map<std::string, std::shared_ptr<SidecarLink>, std::less<>> links;
    FairShare fairShare;
    // Limit retries by service and by account.
    RetryBudget retryBudget;
    RetryBudget accountRetryBudget;
    PoisonRecords poisonRecords;
    SuspectTrials trials;
    // Configuration revisions that the sidecars reported in heartbeats, by endpoint name; 0 if not
    // connected. On the control thread.
    std::map<std::string, uint64_t> sidecarRevisions;
    TimePoint nextGaugeUpdate;
    RefusalHistory refusals;
    RequestHistory requestHistory { 4'000 };
    // Number of requests that wait for a credit, by service.
    std::map<std::string, uint32_t, std::less<>> queuedByService;
    size_t queuedTotal = 0;
    // Queued requests wait on this timer. It is cancelled when they should look for a link again, and at each
    // tick, since one timer can't hold the time limits of several requests: setting it would wake all others.
    boost::asio::steady_timer queueWakeup { trafficIo, TimePoint::max() };
    // Cache of SHA-256 digests by bearer token.
    std::map<std::string, std::string, std::less<>> tokenDigests;
    uint64_t lastRequestNumber = 0;
    // Requests in progress.
    std::set<RequestContext*> contexts;
    // Set when a stop signal has arrived.
    std::optional<DrainPlan> drainPlan;
    // Requests are refused, since the process is about to end.
    bool isClosing = false;
    // By service.
    AnswerTimes answerTimes;
    // Read by the control thread for /readyz.
    std::atomic<bool> stopping { false };
    std::atomic<bool> ready { false };
    std::thread controlThread;
};

} // namespace orioletrail
