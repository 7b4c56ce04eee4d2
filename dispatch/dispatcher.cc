#include "dispatch/dispatcher.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    constexpr Millis slownessHold { 1500 };
    // Entries that share an endpoint's cold rate if fewer are known: as many as may be starting.
    constexpr size_t leastInstances = 4;
    constexpr Millis noEndpointRetryAfter { 1000 };
    // A first byte before any was seen: a short prompt's reading and one pass of the engine.
    constexpr Millis assumedFirstByte { 100 };
    // A caller whose time is shorter than the route's by more than this has used it elsewhere: the
    // shortest time to come back, less that of a new connection.
    constexpr Millis returnedMargin { 60 };
    // Share of a route's time that the events of a usual answer may take; others are up to twice as
    // long, and some of the time has passed before the first event.
    constexpr double answerShareOfTimeout = 0.7;
    // Requests that an endpoint of a plain service may hold for each of its slots: they queue
    // there for about as long as one takes.
    constexpr double plainLoadPerSlot = 2;
    // Weight of the latest first event in their moving average: about the last ten count.
    constexpr double latestFirstEvent = 0.1;
    // Weight of the latest answer in the moving average of how long places are held.
    constexpr double latestHeld = 0.05;

    double millisOf(Clock::duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

    void follow(double& average, double latest, double weight)
    {
        average = average > 0 ? average + weight * (latest - average) : latest;
    }

} // namespace detail

void Dispatcher::setBeliefs(const BeliefSnapshot& beliefs)
{
    for (const auto& [id, known] : m_beliefs.endpoints) {
        const auto now = beliefs.endpoints.find(id);
        if (now == beliefs.endpoints.end()) {
            m_loads.forget(id);
            m_coldLimit.forget(id);
        }
        if (now == beliefs.endpoints.end() || now->second.born != known.born || now->second.host != known.host || now->second.port != known.port)
            m_health.forget(id);
    }
    m_beliefs = beliefs;
}

void Dispatcher::setSlowness(std::map<std::string, double, std::less<>> slowness, TimePoint now)
{
    m_slowness = std::move(slowness);
    m_slownessHeard = now;
}

double Dispatcher::slownessOf(std::string_view endpoint, TimePoint now) const
{
    const auto found = m_rules.weighSlowness ? m_slowness.find(endpoint) : m_slowness.end();
    return found == m_slowness.end() || now - m_slownessHeard > detail::slownessHold ? 1 : found->second;
}

size_t Dispatcher::instanceCount(TimePoint now) const
{
    return std::max(detail::leastInstances, m_loads.livePeers(now) + 1);
}

PlaceChoice Dispatcher::place(const DispatchRequest& request, TimePoint now, std::vector<const EndpointRecord*>& open)
{
    const ServiceProfile* service = m_beliefs.catalog ? m_beliefs.catalog->findService(request.service) : nullptr;
    const bool isEngine = service && service->engine;
    const double coldPerSecond = service ? service->coldPerSecond : 0;
    double sumFirstByte = 0;
    size_t seen = 0;
    for (const auto& [id, record] : m_beliefs.endpoints) {
        if (record.service != request.service)
            continue;
        open.push_back(&record);
        const double firstByte = detail::millisOf(m_health.firstByte(id));
        sumFirstByte += firstByte;
        seen += firstByte > 0;
    }
    const bool isRepeatable = !request.route || request.route->repeat == RepeatRule::Idempotent;
    std::vector<PlaceOption> options;
    for (const EndpointRecord* record : open) {
        PlaceOption option;
        option.endpoint = record->id;
        option.zone = record->zone;
        option.load = m_loads.estimate(record->id, now);
        option.limit = (isEngine ? 1 : detail::plainLoadPerSlot) * record->slots;
        const double firstByte = detail::millisOf(m_health.firstByte(record->id));
        if (service && !isEngine && firstByte > 0 && sumFirstByte > 0)
            option.slowness = firstByte * static_cast<double>(seen) / sumFirstByte;
        else if (isEngine)
            option.slowness = slownessOf(record->id, now);
        // All wait for what a slow engine holds.
        if (isEngine && option.slowness < silentSlowness)
            option.limit = std::max(1.0, option.limit / option.slowness);
        option.failureShare = m_health.failureShare(record->id);
        option.closed = record->leaving || m_beliefs.closedZones.contains(record->zone)
            || (now < record->coldUntil && coldPerSecond > 0 && !m_coldLimit.mayTake(record->id, coldPerSecond, instanceCount(now), now));
        option.avoided = m_health.isAvoided(record->id, isRepeatable, now);
        option.tried = std::find(request.tried.begin(), request.tried.end(), record->id) != request.tried.end();
        options.push_back(option);
    }
    if (isEngine && m_rules.limitPace && !request.attempts && isPaceReached(request.service, open.size(), now))
        return { open.empty() ? PlaceFailure::NoneOpen : PlaceFailure::AllFull, 0 };
    return placeRequest(options, m_zone);
}

double Dispatcher::meanStreams(const std::string& service, TimePoint now) const
{
    double total = 0;
    size_t count = 0;
    for (const auto& [id, record] : m_beliefs.endpoints) {
        if (record.service != service)
            continue;
        total += m_loads.estimate(id, now);
        ++count;
    }
    return count ? total / static_cast<double>(count) : 0;
}

bool Dispatcher::isPaceReached(const std::string& service, size_t endpoints, TimePoint now)
{
    const ServiceState& state = m_services[service];
    if (!endpoints || state.profile.gapObjectiveMs <= 0)
        return false;
    return meanStreams(service, now) + 1 / static_cast<double>(endpoints) > state.pace.streamsPerEndpoint(state.profile);
}

std::optional<std::string> Dispatcher::reserve(const DispatchRequest& request, TimePoint now)
{
    std::vector<const EndpointRecord*> open;
    const PlaceChoice choice = place(request, now, open);
    if (choice.failure != PlaceFailure::None)
        return std::nullopt;
    const EndpointRecord& record = *open[choice.index];
    m_loads.onSent(record.id);
    if (now < record.coldUntil)
        m_coldLimit.onSent(record.id, now);
    return record.id;
}

DispatchDecision Dispatcher::ask(const DispatchRequest& request, TimePoint now)
{
    std::vector<const EndpointRecord*> open;
    const PlaceChoice choice = place(request, now, open);
    const WaitQueue& queue = m_services[request.service].queue;
    if (choice.failure == PlaceFailure::None && (!queue.size() || request.attempts > 0))
        return { DispatchKind::Placed, reserve(request, now).value_or(std::string()) };
    if (choice.failure == PlaceFailure::NoneOpen)
        return { DispatchKind::Refused, {}, Millis(0), Reason::NoEndpoint, detail::noEndpointRetryAfter };
    const WaitRequest wait = waitRequest(request, now);
    const WaitDecision decision = queue.decide(wait, now);
    if (!decision.mayWait || !m_rules.allowWaiting)
        return { DispatchKind::Refused, {}, Millis(0), Reason::QueueTooLong, decision.retryAfter };
    return { DispatchKind::Wait, {}, WaitQueue::longestWait(wait) };
}

WaitQueue::Ticket Dispatcher::wait(const DispatchRequest& request, TimePoint now, std::function<void()> wake)
{
    return m_services[request.service].queue.push(waitRequest(request, now), std::move(wake));
}

void Dispatcher::endWait(const std::string& service, const WaitQueue::Ticket& ticket)
{
    m_services[service].queue.remove(ticket);
}

Millis Dispatcher::retryAfter(const DispatchRequest& request, TimePoint now)
{
    return m_services[request.service].queue.decide(waitRequest(request, now), now).retryAfter;
}

bool Dispatcher::mayAskAnother(const DispatchRequest& request, TimePoint now)
{
    std::vector<const EndpointRecord*> open;
    const PlaceChoice choice = place(request, now, open);
    return choice.failure == PlaceFailure::None && std::find(request.tried.begin(), request.tried.end(), open[choice.index]->id) == request.tried.end();
}

void Dispatcher::onEnded(const std::string& service, const std::string& endpoint, TimePoint now)
{
    m_loads.onEnded(endpoint);
    m_services[service].queue.onPlaceFreed(now);
}

void Dispatcher::onStreamAsked(const std::string& name, const Route& route, TimePoint now)
{
    const ServiceProfile* service = m_beliefs.catalog ? m_beliefs.catalog->findService(name) : nullptr;
    if (!service || !service->engine)
        return;
    ServiceState& state = m_services[name];
    PaceProfile profile;
    profile.stepsPerPass = service->engine->stride;
    profile.stepMs = service->engine->stepMs;
    profile.perStreamMs = service->engine->perSequenceMs;
    profile.gapObjectiveMs = detail::millisOf(route.gapObjective);
    if (state.usualEvents > 0)
        profile.bearableGapMs = detail::answerShareOfTimeout * detail::millisOf(route.timeout) / state.usualEvents;
    for (const auto& [id, record] : m_beliefs.endpoints) {
        if (record.service != name)
            continue;
        profile.slots = std::max(profile.slots, static_cast<double>(record.slots));
        // One that is silent gets no requests; how slow it is is not known.
        if (const double factor = slownessOf(id, now); factor < silentSlowness)
            profile.slowest = std::max(profile.slowest, factor);
    }
    state.profile = profile;
}

void Dispatcher::onFirstEvent(const std::string& service, Clock::duration sinceSent)
{
    double& usual = m_services[service].firstEventMs;
    usual += detail::latestFirstEvent * (detail::millisOf(sinceSent) - usual);
}

void Dispatcher::onPause(const std::string& service, Clock::duration pause, TimePoint now)
{
    ServiceState& state = m_services[service];
    state.pace.onGap(detail::millisOf(pause), meanStreams(service, now), state.profile, now);
}

void Dispatcher::onAnswered(const std::string& service, Clock::duration held, uint32_t events)
{
    ServiceState& state = m_services[service];
    detail::follow(state.heldMs, detail::millisOf(held), detail::latestHeld);
    if (events)
        detail::follow(state.usualEvents, events, detail::latestHeld);
}

bool Dispatcher::hasPlace(const std::string& service, TimePoint now)
{
    DispatchRequest any;
    any.service = service;
    std::vector<const EndpointRecord*> open;
    return place(any, now, open).failure == PlaceFailure::None;
}

void Dispatcher::wakeWaiting(const std::string& service, TimePoint now)
{
    WaitQueue& queue = m_services[service].queue;
    while (queue.size() && hasPlace(service, now))
        queue.wakeFirst();
}

void Dispatcher::wakeWaiting(TimePoint now)
{
    for (auto& [service, state] : m_services)
        wakeWaiting(service, now);
}

WaitRequest Dispatcher::waitRequest(const DispatchRequest& request, TimePoint now)
{
    const Millis whole = request.timeLeft.value_or(request.route->timeout);
    WaitRequest wait;
    wait.priority = request.priority;
    wait.returned = request.attempts > 0 || whole + detail::returnedMargin < request.route->timeout;
    wait.untilLate = std::chrono::duration_cast<Millis>(request.received + request.route->objective - now);
    wait.firstByte = std::max(detail::assumedFirstByte, Millis(static_cast<Millis::rep>(m_services[request.service].firstEventMs)));
    wait.shareOfPlaces = shareOfPlaces(request.service, now);
    return wait;
}

double Dispatcher::shareOfPlaces(const std::string& service, TimePoint now)
{
    const ServiceState& state = m_services[service];
    if (state.heldMs <= 0)
        return 1;
    double places = 0;
    size_t endpoints = 0;
    for (const auto& [id, record] : m_beliefs.endpoints) {
        if (record.service != service || record.leaving || m_beliefs.closedZones.contains(record.zone))
            continue;
        places += record.slots;
        ++endpoints;
    }
    if (state.profile.gapObjectiveMs > 0)
        places = std::min(places, static_cast<double>(endpoints) * state.pace.streamsPerEndpoint(state.profile));
    constexpr double millisPerSecond = 1000;
    return places * millisPerSecond / state.heldMs / static_cast<double>(m_loads.livePeers(now) + 1);
}

double Dispatcher::expectedPause(const std::string& name, double mapUnevenness, TimePoint now)
{
    const ServiceProfile* service = m_beliefs.catalog ? m_beliefs.catalog->findService(name) : nullptr;
    const PaceProfile& pace = m_services[name].profile;
    if (!service || !service->engine || pace.gapObjectiveMs <= 0)
        return 1;
    const double share = service->engine->expertShare;
    const double perStream = pace.perStreamMs * (1 - share + share * mapUnevenness);
    return pace.stepsPerPass * (pace.stepMs * pace.slowest + perStream * meanStreams(name, now)) / pace.gapObjectiveMs;
}

} // namespace orioletrail
