// Chooses an endpoint for each request, or queues or refuses the request if none has capacity.
#pragma once

#include "admission/endpoint-limits.h"
#include "admission/endpoint-notices.h"
#include "admission/pace-limit.h"
#include "admission/rate-limit.h"
#include "admission/wait-queue.h"
#include "directory/beliefs.h"
#include "explain/explanation.h"
#include "group/group-balance.h"
#include "outage/outages.h"
#include "prefix/saving.h"
#include "rejection/full-endpoints.h"
#include "routing/health.h"
#include "routing/load.h"
#include "routing/placer.h"

#include <set>

namespace orioletrail {

// Slowness factor of an engine that has stopped reporting. Such an engine gets requests only if no
// other engine can take them.
constexpr double unreportedSlowness = 100;

// The properties of a request that dispatching depends on.
struct DispatchRequest {
    std::string service;
    // Null for a check that depends on the service alone.
    const Route* route = nullptr;
    // 0 is the most urgent.
    int priority = 0;
    TimePoint received;
    // Time that the caller allowed for the answer, counted from `received`, if it sent a limit.
    std::optional<Millis> timeLeft;
    // Endpoints that earlier attempts went to.
    std::vector<std::string> tried;
    // Number of earlier attempts.
    uint32_t attempts = 0;
    // Client account of the caller, empty if it has none.
    std::string account {};
    RequestSize size {};
    // Parts at the beginning of the prompt that other requests may share, in their order.
    std::vector<PromptPart> promptParts {};
};

enum class DispatchKind : uint8_t {
    // `endpoint` was chosen, and the request is counted as in flight there.
    Placed,
    // No endpoint has capacity, or other requests are queued already. The request may be queued for
    // up to `longestWait`.
    Wait,
    // The request is refused for `reason`; the caller may retry after `retryAfter`.
    Refused
};

struct DispatchDecision {
    DispatchKind kind = DispatchKind::Refused;
    std::string endpoint {};
    Millis longestWait { 0 };
    Reason reason = Reason::None;
    Millis retryAfter { 0 };
};

// Parts of the dispatch policy, all enabled by default. Experiments disable one at a time to
// measure its benefit.
struct DispatchRules {
    // Limit the streams per engine so that gaps between events stay within the route's objective.
    bool limitPace = true;
    // Queue requests while all endpoints are full, instead of refusing them.
    bool allowWaiting = true;
    // Give slow engines fewer streams, and account for them in the pace limit.
    bool useSlowness = true;
    // Weigh what endpoints save that hold the beginning of a prompt.
    bool useParts = true;
};

// Load balancing and admission control of one instance, for all services. Does no I/O and reads no
// clock, so that tests and the simulation can drive it exactly as an entry does.
class Dispatcher {
public:
    // `instance` determines the order in which equally loaded endpoints are chosen.
    explicit Dispatcher(std::string zone, const DispatchRules& rules = {}, std::string instance = {})
        : m_zone(std::move(zone))
        , m_instance(std::move(instance))
        , m_rules(rules)
        , m_outages(m_instance)
    {
    }

    // Replaces the configuration, endpoints and closed zones, and drops the state of endpoints that
    // are gone or have restarted.
    void setSnapshot(const DirectorySnapshot&);

    // Replaces the slowness factors of slow engines: the time that an engine takes relative to its
    // normal time. Others count as 1. The factors expire if they are not renewed.
    void setSlowness(std::map<std::string, double, std::less<>>, TimePoint);

    // Takes in the leader's report of the groups of engines. While at least two groups of a service are known, pace limit
    // and slowness hold for each group by itself, and a request's group is chosen before its endpoint.
    void setGroups(std::vector<GroupReport>, TimePoint);
    // The groups of all services that have several, with their shares, for metrics.
    std::vector<GroupView> groupViews(TimePoint);
    // Name of the group that the endpoint belongs to, empty if that is unknown.
    std::string groupNameOf(const std::string& endpoint, TimePoint) const;

    // Decides on a new request or on another attempt. Counts the request as in flight if the result
    // is Placed; the caller has to queue it with enqueue() if the result is Wait.
    DispatchDecision dispatch(const DispatchRequest&, TimePoint);

    // When capacity becomes available, the request is removed from the queue and `wake` is called,
    // which may call reserve().
    WaitQueue::Ticket enqueue(const DispatchRequest&, TimePoint, std::function<void()> wake);
    // Has no effect if the request is no longer in the queue.
    void removeFromQueue(const std::string& service, const WaitQueue::Ticket&);

    // Delay after which the caller may retry a request that found no capacity while it was queued.
    Millis retryAfter(const DispatchRequest&, TimePoint);

    // Chooses the best endpoint and counts the request as in flight there. Empty if none has
    // capacity.
    std::optional<std::string> reserve(const DispatchRequest&, TimePoint);

    // True if an endpoint that the request has not tried yet has capacity for it.
    bool hasUntriedEndpoint(const DispatchRequest&, TimePoint);

    // The request at the endpoint has ended.
    void onEnded(const std::string& service, const std::string& endpoint, TimePoint);
    // Undoes a reservation for which no request was sent.
    void cancelReservation(const std::string& endpoint, TimePoint);

    // An endpoint's answer arrived that names a limit in requests per second, or 0 if it names none. Returns
    // whether the limit has changed.
    bool onLimitNamed(const std::string& endpoint, double perSecond, TimePoint);
    // An endpoint's answer tells that it takes no new requests because it is leaving. Returns whether that is new.
    bool onLeaving(const std::string& endpoint);
    // An endpoint's answer asks for no further requests of this instance for a time.
    void onPause(const std::string& endpoint, Millis, TimePoint);
    // The endpoint's process has ended, an endpoint rejected a request although it had room, or it has begun to answer.
    // `sent` is when the request was sent that showed it. If the endpoint is a rank of a known group and the group is
    // now known to run no requests, or to run them again, that is returned: others of the service are chosen meanwhile.
    bool onRankEnded(const std::string& endpoint, TimePoint sent, TimePoint now);
    bool onRejectedWithRoom(const std::string& endpoint, TimePoint sent, TimePoint now);
    bool onGroupServed(const std::string& endpoint, TimePoint sent, TimePoint now);
    OutageReports outageReports(TimePoint now) const { return m_outages.report(now); }
    void onPeerOutages(std::string_view peer, const OutageReports& reports, TimePoint now) { m_outages.onPeerReport(peer, reports, now); }
    size_t outageCount(TimePoint now) const { return m_outages.count(now); }
    // Merges the limits that another instance knows and the requests that it sent to limited and cold
    // endpoints. Returns whether a limit has changed.
    bool onPeerRates(std::string_view peer, const NamedLimits&, const SentAges&, TimePoint);
    // The same of this instance, for the others.
    NamedLimits namedLimits(TimePoint now) const { return m_limits.report(now); }
    SentAges sentAges(TimePoint now) const { return m_rateLimiter.sentAges(now); }

    // An endpoint rejected a request of this instance, which has ended, because it is full. `load` is the number
    // of its requests, if it stated that. Returns whether that was news.
    bool onRejected(const std::string& endpoint, std::optional<uint32_t> load, TimePoint);
    // An endpoint reported the number of its requests with an answer.
    void onReported(const std::string& endpoint, uint32_t load, TimePoint);
    // Merges what another instance heard from endpoints that are full. Returns how many were news.
    size_t onPeerFull(const FullReports&, TimePoint);
    // The same of this instance, for the others.
    FullReports fullReports(TimePoint now) const { return m_full.report(now); }
    // What others should hear of full endpoints at once.
    FullReports takeFullNews(TimePoint now) { return m_full.takeNews(now); }
    size_t fullEndpoints(TimePoint now) const { return m_full.size(now); }

    // Called for each request for a streaming route: the route's gap objective and timeout become
    // those that the service's pace limit is calculated from.
    void updatePaceProfile(const std::string& service, const Route&, TimePoint);
    // A streamed answer delivered its first event.
    void onFirstEvent(const std::string& service, Clock::duration sinceSent);
    // Time between two consecutive events of one stream from the endpoint.
    void onEventGap(const std::string& service, const std::string& endpoint, Clock::duration, TimePoint);
    // A complete answer arrived. `events` is the number of events that arrived at separate times, 0
    // for an answer that is not streamed.
    void onAnswered(const std::string& service, Clock::duration inFlightTime, uint32_t events);

    // Sets how long engines keep parts of prompts after the last request that has them. Drops what is known.
    void setPartRetention(Millis);
    // The endpoint has sent the first event of the answer, so it has read the prompt.
    void onPromptRead(const DispatchRequest&, const std::string& endpoint, TimePoint);
    // A request for which onPromptRead() was called has ended at the endpoint.
    void onPromptEnded(const DispatchRequest&, const std::string& endpoint, TimePoint);
    // The endpoint may have lost what it held. All endpoints of its service may have, since a group of engines
    // forms anew when one of them ends.
    void onPartsLost(const std::string& endpoint);
    // What was weighed for the request that was placed last.
    const PartDecision& lastPartDecision() const { return m_lastPartDecision; }
    const PartTable& parts() const { return m_parts; }

    // Explains where the request would go now. Runs the decision on a copy, so that it is the same and leaves
    // no trace.
    Explanation explain(const DispatchRequest&, TimePoint) const;

    // Wakes queued requests, of all services or of one, for as long as there is capacity.
    void wakeWaiting(TimePoint);
    void wakeWaiting(const std::string& service, TimePoint);

    // Predicted gap between events, relative to its objective, with an expert map of this
    // unevenness (load of the most loaded rank over the mean). 1 for a service without a gap
    // objective.
    double expectedGapRatio(const std::string& service, const std::string& group, double mapUnevenness, TimePoint);

    // Sets the number of instances that may exist, including this one and those that are not heard.
    void setKnownInstances(size_t count) { m_knownInstances = count; }
    // Adds the name of an instance that may exist. If the rate of an endpoint has fewer requests in its window
    // than there are instances, only as many of them use it, by rendezvous of the names: otherwise all could
    // send one request before they hear of each other's.
    void addInstance(std::string_view name);
    // Number of instances that share the rate limits of endpoints, including this one.
    size_t instanceCount(TimePoint) const;

    LoadTable& loads() { return m_loads; }
    EndpointHealth& health() { return m_health; }
    // Number of queued requests.
    size_t queueLength(const std::string& service) { return m_services[service].queue.size(); }

private:
    // Queue and statistics of one service.
    struct ServiceState {
        WaitQueue queue;
        // Of the service as a whole, used while fewer than two of its groups are known.
        PaceLimit pace;
        PaceProfile profile;
        GroupBalance groups;
        // Moving average of the time from sending a streamed request to its first event.
        double meanFirstEventMs = 0;
        // Moving average of the time from sending a request to its complete answer.
        double meanInFlightMs = 0;
        // Moving average of the events per streamed answer that arrive at separate times.
        double meanEvents = 0;
    };

    // Name of the group that the endpoint is a rank of; empty if that is unknown, or if its service has no other group.
    std::string outageGroupOf(const std::string& endpoint, TimePoint) const;
    // The shortest pause of an endpoint that would take the request otherwise, 0 if one is not paused or there is none.
    Millis shortestPause(const DispatchRequest&, TimePoint) const;
    // True if the endpoint is leaving or in a closed zone.
    bool isClosed(const EndpointRecord&) const;
    // Chooses an endpoint without reserving it. Fills `candidates` with all endpoints of the
    // service; the index in the result refers to them.
    PlaceChoice choosePlacement(const DispatchRequest&, TimePoint, std::vector<const EndpointRecord*>& candidates, std::vector<PlaceOption>* explained = nullptr);
    // The engine of the request's service if the parts of its prompt are weighed, or null.
    const EngineProfile* partsEngine(const DispatchRequest&, std::span<const PromptPrefix>) const;
    PartDecision partDecision(const DispatchRequest&, const PlaceChoice&, const EndpointRecord& chosen, TimePoint) const;
    void explainCandidate(const DispatchRequest&, const EndpointRecord&, const PlaceOption&, TimePoint, ExplainedCandidate&);
    // The same among the groups of the service: the group first, then the endpoint in it.
    PlaceChoice placeInGroups(const DispatchRequest&, std::span<const PlaceOption>, std::span<const EndpointRecord* const> candidates, TimePoint);
    // Chooses among those of the options whose `groupOf` is `group`.
    PlaceChoice placeInGroup(std::span<const PlaceOption>, std::span<const size_t> groupOf, size_t group) const;
    // The group of the endpoint if its service has several, otherwise null.
    const GroupReport* groupOf(const EndpointRecord&, TimePoint) const;
    // The loads of the service's groups. Endpoints without a group belong to none of them.
    std::vector<GroupLoad> groupLoads(const std::string& service, TimePoint) const;
    // Adds an endpoint to the load of its group. Returns the index of the group.
    size_t addToGroup(std::vector<GroupLoad>&, const GroupReport&, const EndpointRecord&, double streams, double limit, TimePoint) const;
    // Slowness of the fastest rank of each group, which all of its ranks are compared with.
    std::map<const GroupReport*, double> fastestOf(std::span<const EndpointRecord* const> candidates, TimePoint) const;
    // Most streams of the service that stay within the objective, of `endpoints` open endpoints.
    double paceCapacity(const std::string& service, size_t endpoints, TimePoint);
    bool hasCapacity(const std::string& service, TimePoint);
    bool isStreamLimitReached(const std::string& service, size_t endpoints, TimePoint);
    // Mean number of requests in flight per endpoint, from all instances.
    double meanStreams(const std::string& service, TimePoint) const;
    // The same of one group.
    double meanStreams(const GroupReport&, TimePoint) const;
    WaitRequest waitRequest(const DispatchRequest&, TimePoint);
    // Requests per second that the service can complete for this instance, assuming that live
    // instances share its capacity equally.
    double estimatedCompletionRate(const std::string& service, TimePoint);
    double slownessOf(std::string_view endpoint, TimePoint) const;
    // True if the rate of the endpoint allows one more request of this instance.
    bool hasRateLeft(const std::string& endpoint, const Rate&, TimePoint);
    // True if this instance is one of the first `count` by rendezvous with the endpoint.
    bool isAmongFirst(const std::string& endpoint, size_t count);
    // A request of this instance goes to the endpoint and is counted there.
    void onSentTo(const EndpointRecord&, TimePoint);
    // Most requests that the endpoint may have in flight.
    double limitFor(const EndpointRecord&) const;
    CountedRequests countedAt(std::string_view endpoint, TimePoint) const;
    // The limit that the endpoint's process has named in requests per second, 0 if it has none.
    double limitOf(const EndpointRecord&) const;
    // The requests to the endpoint are counted, since a rate limit holds for it.
    bool isRateLimited(const EndpointRecord&, TimePoint) const;

    std::string m_zone;
    std::string m_instance;
    DispatchRules m_rules;
    size_t m_knownInstances = 0;
    // Names of all instances that may exist, and how many of them come before this one for an endpoint.
    std::set<std::string, std::less<>> m_instanceNames;
    std::map<std::string, size_t, std::less<>> m_instancesBefore;
    DirectorySnapshot m_snapshot;
    // Preference for each endpoint.
    std::map<std::string, double, std::less<>> m_preferences;
    std::map<std::string, ServiceState, std::less<>> m_services;
    LoadTable m_loads;
    EndpointHealth m_health;
    RateLimiter m_rateLimiter;
    EndpointLimits m_limits;
    EndpointNotices m_notices;
    Outages m_outages;
    GroupTable m_groups;
    FullEndpoints m_full;
    std::map<std::string, double, std::less<>> m_slowness;
    TimePoint m_slownessReceived;
    PartTable m_parts;
    PartDecision m_lastPartDecision;
};

} // namespace orioletrail
