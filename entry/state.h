// State of a running entry. Everything here lives on the traffic thread unless it says otherwise.
#pragma once

#include "admission/fairness.h"
#include "entry/entry.h"
#include "entry/link.h"
#include "operator/command.h"
#include "telemetry/history.h"
#include "telemetry/refusals.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <thread>

namespace orioletrail {

// A caller's request on its way.
struct Job {
    std::string requestId;
    std::string account;
    std::string service;
    std::string target;
    std::string key;
    // Identifies the content of the request among those that endpoints died with.
    std::string digest;
    uint32_t maxInFlight = 0;
    uint64_t number = 0;
    uint64_t affinity = 0;
    bool idempotent = false;
    bool alone = false;
    bool callerGone = false;
    // Some attempt may have run, whatever became of later ones.
    bool mayHaveRun = false;
    TimePoint received = Clock::now();
    TimePoint deadline;
    uint32_t attempts = 0;
    // The sidecar's answer has reached the caller in part.
    bool begun = false;
    std::vector<std::string> tried;
    // For operators who ask about the request.
    RequestNote note;
    // The attempt under way.
    std::shared_ptr<Link> link;
    AttemptId attempt;
    std::shared_ptr<AttemptStream> stream;
};

// How an attempt ended.
struct AttemptResult {
    Outcome outcome = Outcome::MayHaveRun;
    Reason reason = Reason::None;
};

// A refusal to be told to the caller.
struct Refusal {
    unsigned status = 503;
    Reason reason = Reason::None;
    Outcome outcome = Outcome::NotRun;
    std::string detail;
};

struct Entry::State {
    explicit State(EntrySettings);

    bool start(std::string& reason);
    void run();

    // Requests.
    Task<> handle(const HttpRequest&, Responder&);
    Task<> waitUntilFresh();
    Task<> serve(const HttpRequest&, Responder&, Job&);
    std::optional<Refusal> parse(const HttpRequest&, Job&);
    std::optional<Refusal> parseModelCall(const HttpRequest&, Job&);
    std::optional<Refusal> parseServiceCall(const HttpRequest&, Job&);
    std::optional<Refusal> authenticate(const HttpRequest&, Job&);
    std::optional<Refusal> admit(Job&);
    Task<> attemptUntilAnswered(const HttpRequest&, Responder&, Job&);
    Task<std::shared_ptr<Link>> waitForLink(Job&);
    bool wasTriedEverywhere(const Job&) const;
    std::shared_ptr<Link> chooseLink(const Job&);
    std::shared_ptr<Link> ledgerOwner(const Job&);
    Task<AttemptResult> attempt(const HttpRequest&, Responder&, Job&);
    Task<AttemptResult> receive(Responder&, Job&, Frame head);
    Task<AttemptResult> passOn(Responder&, Job&, HttpAnswer begun);
    Task<AttemptResult> collect(Responder&, Job&, HttpAnswer);
    bool mayRetry(const Job&, const AttemptResult&);
    void onAttemptEnded(Job&, const AttemptResult&);
    Task<> refuse(Responder&, Job&, const Refusal&);
    void remember(Job&&);
    HttpAnswer refusalAnswer(std::string_view requestId, const Refusal&);

    // Links to sidecars.
    void onView(const ControlView&);
    void updateLinks();
    void sendConfigTo(const std::string& endpoint, uint64_t since);
    uint32_t capacityOf(std::string_view service) const;
    void updateWants();
    // Sets the gauges and the control thread's copy of the sidecars' revisions, now and then.
    void updateGauges(TimePoint, size_t openLinks);
    Task<> tickLoop();

    // Admin port, on the control thread.
    Task<> serveAdmin(const HttpRequest&, Responder&);
    Task<> serveCommand(const HttpRequest&, Responder&);
    Task<CommandResult> runCommand(const Command&);
    Task<CommandResult> setFlag(std::string key, std::string field, bool value);
    Task<CommandResult> writeObject(std::string key, std::string value, std::optional<uint64_t> expected);
    Task<CommandResult> applyObjects(const Command&);
    Task<CommandResult> removeObject(std::string key);
    Task<CommandResult> showRevisions();
    Task<CommandResult> showMaps();
    // Asks the traffic thread for something that it owns.
    Task<CommandResult> askTraffic(std::function<CommandResult()>);
    CommandResult explainRequest(const std::string& requestId) const;
    CommandResult showRefusals() const;
    Task<> waitUntilInForce(uint64_t revision);

    void shutDown();
    Task<> drain();

    EntrySettings settings;
    uint64_t startNumber = 0;
    Metrics metrics;
    boost::asio::io_context traffic { 1 };
    boost::asio::io_context controlIo { 1 };
    boost::asio::signal_set signals { traffic, SIGTERM, SIGINT };
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpServer> admin;
    std::unique_ptr<Agent> agent;
    Platform platform;
    ControlView view;
    // The control thread's copy of the view.
    ControlView controlView;
    std::map<std::string, std::shared_ptr<Link>, std::less<>> links;
    FairShare fairness;
    RetryBudget budget;
    PoisonRecords poison;
    // Configuration revisions of sidecars by their heartbeats, 0 if not connected; the control thread's copy.
    std::map<std::string, uint64_t> sidecarRevisions;
    TimePoint nextGauges;
    RefusalMinutes refusals;
    RequestHistory history { 4'000 };
    // Requests that wait for a credit, by service.
    std::map<std::string, uint32_t, std::less<>> waiting;
    size_t waitingTotal = 0;
    // Cancelled whenever credits may have come.
    boost::asio::steady_timer creditWake { traffic };
    // Digests of bearer tokens seen, so that each is computed once.
    std::map<std::string, std::string, std::less<>> tokenDigests;
    uint64_t nextRequest = 0;
    std::atomic<bool> stopping { false };
    std::atomic<bool> ready { false };
    std::thread controlThread;
};

} // namespace orioletrail
