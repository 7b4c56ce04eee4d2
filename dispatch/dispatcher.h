// Decides where each request goes, which requests wait for a place, and which are refused.
#pragma once

#include "admission/cold-limit.h"
#include "admission/pace-limit.h"
#include "admission/wait-queue.h"
#include "directory/beliefs.h"
#include "routing/health.h"
#include "routing/load.h"
#include "routing/placer.h"

namespace orioletrail {

// Told in place of a factor for an engine that does not report: it gets requests only if there is
// no other.
constexpr double silentSlowness = 100;

// What the decisions need to know of a request.
struct DispatchRequest {
    std::string service;
    // Null if only the service matters.
    const Route* route = nullptr;
    // 0 is the most urgent.
    int priority = 0;
    TimePoint received;
    // How long its caller was willing to wait when it arrived, if it said so.
    std::optional<Millis> timeLeft;
    // Endpoints that were tried, and how many attempts were made.
    std::vector<std::string> tried;
    uint32_t attempts = 0;
};

enum class DispatchKind : uint8_t {
    // It has a place at `endpoint`.
    Placed,
    // It may wait for one, for `longestWait`.
    Wait,
    // It is refused for `reason` and may come back after `retryAfter`.
    Refused
};

struct DispatchDecision {
    DispatchKind kind = DispatchKind::Refused;
    std::string endpoint {};
    Millis longestWait { 0 };
    Reason reason = Reason::None;
    Millis retryAfter { 0 };
};

// Decisions that an experiment can switch off, to show what each is worth. All hold by default.
struct DispatchRules {
    // Engines hold no more streams than keep their pace.
    bool limitPace = true;
    // Requests may wait for a place.
    bool allowWaiting = true;
    // Slow engines hold fewer streams, and the pace limit knows of them.
    bool weighSlowness = true;
};

// All decisions of one instance on load, for all services. It makes no calls and reads no clock, so
// that a test or a model can drive it as an entry does.
class Dispatcher {
public:
    explicit Dispatcher(std::string zone, const DispatchRules& rules = {})
        : m_zone(std::move(zone))
        , m_rules(rules)
    {
    }

    // Takes over what is believed of the system, and forgets endpoints that have gone.
    void setBeliefs(const BeliefSnapshot&);

    // Endpoints that take longer than usual, with how many times longer.
    void setSlowness(std::map<std::string, double, std::less<>>, TimePoint);

    // Places the request at once, lets it wait or refuses it.
    DispatchDecision ask(const DispatchRequest&, TimePoint);

    // Adds a request that may wait; `wake` is called when its turn comes, and may reserve().
    WaitQueue::Ticket wait(const DispatchRequest&, TimePoint, std::function<void()> wake);
    void endWait(const std::string& service, const WaitQueue::Ticket&);

    // When a request that has waited in vain may come back.
    Millis retryAfter(const DispatchRequest&, TimePoint);

    // Takes a place at the best endpoint, if one is open.
    std::optional<std::string> reserve(const DispatchRequest&, TimePoint);

    // True if an endpoint is open that the request has not tried.
    bool mayAskAnother(const DispatchRequest&, TimePoint);

    // A place that was taken is free again.
    void onEnded(const std::string& service, const std::string& endpoint, TimePoint);
    // One that was reserved was not used.
    void giveBack(const std::string& endpoint) { m_loads.onEnded(endpoint); }

    // A request for a streaming route: its pace is what the service is held to.
    void onStreamAsked(const std::string& service, const Route&, TimePoint);
    void onFirstEvent(const std::string& service, Clock::duration sinceSent);
    void onPause(const std::string& service, Clock::duration, TimePoint);
    // An answer was whole; `events` is 0 for one that is no stream.
    void onAnswered(const std::string& service, Clock::duration held, uint32_t events);

    // Lets requests of all services go on for which there is a place.
    void wakeWaiting(TimePoint);
    void wakeWaiting(const std::string& service, TimePoint);

    // The pause between events to be expected with an expert map of this unevenness, against its
    // objective. 1 for a service without streams.
    double expectedPause(const std::string& service, double mapUnevenness, TimePoint);

    // Entries that share the endpoints' limits with this one, itself included.
    size_t instanceCount(TimePoint) const;

    LoadTable& loads() { return m_loads; }
    EndpointHealth& health() { return m_health; }
    size_t waiting(const std::string& service) { return m_services[service].queue.size(); }

private:
    // What is known of one service beside its endpoints.
    struct ServiceState {
        WaitQueue queue;
        PaceLimit pace;
        PaceProfile profile;
        // Usual time from the sending of a streamed request to its first event.
        double firstEventMs = 0;
        // Usual time that an answer holds its place.
        double heldMs = 0;
        // Usual number of events of a streamed answer that arrive at separate times.
        double usualEvents = 0;
    };

    PlaceChoice place(const DispatchRequest&, TimePoint, std::vector<const EndpointRecord*>& open);
    bool hasPlace(const std::string& service, TimePoint);
    bool isPaceReached(const std::string& service, size_t endpoints, TimePoint);
    double meanStreams(const std::string& service, TimePoint) const;
    WaitRequest waitRequest(const DispatchRequest&, TimePoint);
    // Places of the service that become free each second for this instance's part.
    double shareOfPlaces(const std::string& service, TimePoint);
    double slownessOf(std::string_view endpoint, TimePoint) const;

    std::string m_zone;
    DispatchRules m_rules;
    BeliefSnapshot m_beliefs;
    std::map<std::string, ServiceState, std::less<>> m_services;
    LoadTable m_loads;
    EndpointHealth m_health;
    ColdLimit m_coldLimit;
    std::map<std::string, double, std::less<>> m_slowness;
    TimePoint m_slownessHeard;
};

} // namespace orioletrail
