#include "dispatch/dispatcher.h"

#include "base/digest.h"
#include "cost/request-cost.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace orioletrail {

namespace detail {

    // Slowness factors older than this are ignored.
    constexpr Millis slownessMaxAge { 1500 };
    // Number of instances assumed to share the rate of an endpoint if fewer are known, since others may
    // be starting.
    constexpr size_t minSharingInstances = 4;
    // Span in which the requests to a cold endpoint, and to one that has named a limit, are counted.
    constexpr Millis coldWindow { 1000 };
    constexpr Millis limitWindow { 4000 };
    constexpr Millis noEndpointRetryAfter { 1000 };
    // Expected time to the first byte until a longer one has been measured: prefill of a short
    // prompt and one pass of the engine.
    constexpr Millis minFirstByte { 100 };
    // A caller whose time limit is shorter than the route's timeout by more than this has already
    // spent time on an earlier try. 60 ms is the shortest retry delay less the time for a new
    // connection.
    constexpr Millis callerRetryMargin { 60 };
    // Share of a route's timeout that the events of an average answer may take: other answers are
    // up to twice as long, and part of the timeout passes before the first event.
    constexpr double answerShareOfTimeout = 0.7;
    // Requests in flight per slot of an endpoint that is not an engine. A request queues there for
    // about the duration of one request.
    constexpr double plainLoadPerSlot = 2;
    // Weight of a new sample in the moving average of the time to the first event: about the last
    // ten samples count.
    constexpr double firstEventWeight = 0.1;
    // Weight of a new answer in the moving averages of its duration and its number of events.
    constexpr double answerWeight = 0.05;

    // Weight of the differences between ranks in the streams of other instances, which are known late, against this
    // instance's own. With 1, instances that hear of each other 200 ms late all send to the same ranks, and requests
    // wait there for slots.
    constexpr double lateCountWeight = 0.25;

    double toMillis(Clock::duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

    void updateMovingAverage(double& average, double sample, double weight)
    {
        average = average > 0 ? average + weight * (sample - average) : sample;
    }

} // namespace detail

void Dispatcher::setSnapshot(const DirectorySnapshot& snapshot)
{
    for (const auto& [id, previous] : m_snapshot.endpoints) {
        const auto current = snapshot.endpoints.find(id);
        if (current == snapshot.endpoints.end()) {
            m_loads.removeEndpoint(id);
            m_rateLimiter.removeEndpoint(id);
            m_limits.removeEndpoint(id);
            m_notices.removeEndpoint(id);
            m_full.removeEndpoint(id);
            m_instancesBefore.erase(id);
        }
        if (current == snapshot.endpoints.end() || current->second.processStartMs != previous.processStartMs || current->second.host != previous.host || current->second.port != previous.port) {
            m_health.removeEndpoint(id);
            onPartsLost(id);
        }
    }
    m_snapshot = snapshot;
    m_preferences.clear();
    for (const auto& [id, record] : m_snapshot.endpoints)
        m_preferences.emplace(id, m_instance.empty() ? 0 : endpointPreference(m_instance, id));
}

void Dispatcher::setSlowness(std::map<std::string, double, std::less<>> slowness, TimePoint now)
{
    m_slowness = std::move(slowness);
    m_slownessReceived = now;
}

void Dispatcher::setGroups(std::vector<GroupReport> reports, TimePoint now)
{
    if (!reports.empty())
        m_groups.onReport(std::move(reports), now);
}

double Dispatcher::slownessOf(std::string_view endpoint, TimePoint now) const
{
    const auto found = m_rules.useSlowness ? m_slowness.find(endpoint) : m_slowness.end();
    return found == m_slowness.end() || now - m_slownessReceived > detail::slownessMaxAge ? 1 : found->second;
}

size_t Dispatcher::instanceCount(TimePoint now) const
{
    return std::max({ detail::minSharingInstances, m_knownInstances, m_loads.livePeerCount(now) + 1 });
}

void Dispatcher::addInstance(std::string_view name)
{
    if (m_instanceNames.emplace(name).second)
        m_instancesBefore.clear();
}

bool Dispatcher::isAmongFirst(const std::string& endpoint, size_t count)
{
    const auto [before, isNew] = m_instancesBefore.try_emplace(endpoint, 0);
    if (isNew) {
        const uint64_t own = rendezvousScore(endpoint, m_instance);
        before->second = static_cast<size_t>(std::count_if(m_instanceNames.begin(), m_instanceNames.end(), [&](const std::string& name) { return rendezvousScore(endpoint, name) > own; }));
    }
    return before->second < count;
}

bool Dispatcher::hasRateLeft(const std::string& endpoint, const Rate& rate, TimePoint now)
{
    const double requests = rate.perSecond * std::chrono::duration<double>(rate.window).count();
    if (requests < static_cast<double>(m_instanceNames.size()) && !isAmongFirst(endpoint, std::max<size_t>(1, static_cast<size_t>(requests))))
        return false;
    return m_rateLimiter.allows(endpoint, rate, instanceCount(now), now);
}

PlaceChoice Dispatcher::choosePlacement(const DispatchRequest& request, TimePoint now, std::vector<const EndpointRecord*>& candidates, std::vector<PlaceOption>* explained)
{
    const ServiceProfile* service = m_snapshot.catalog ? m_snapshot.catalog->findService(request.service) : nullptr;
    const bool isEngine = service && service->engine;
    const double coldPerSecond = service ? service->coldPerSecond : 0;
    double sumFirstByte = 0;
    size_t measured = 0;
    for (const auto& [id, record] : m_snapshot.endpoints) {
        if (record.service != request.service)
            continue;
        candidates.push_back(&record);
        const double firstByte = detail::toMillis(m_health.meanFirstByte(id));
        sumFirstByte += firstByte;
        measured += firstByte > 0;
    }
    const bool isIdempotent = !request.route || request.route->idempotency == Idempotency::Idempotent;
    const std::vector<PromptPrefix> prefixes = m_rules.useParts ? prefixesOf(request.promptParts) : std::vector<PromptPrefix>();
    const EngineProfile* weighedEngine = partsEngine(request, prefixes);
    const bool isGrouped = isEngine && m_groups.isGrouped(request.service, now);
    const auto fastest = isGrouped ? fastestOf(candidates, now) : std::map<const GroupReport*, double>();
    std::vector<PlaceOption> options;
    for (const EndpointRecord* record : candidates) {
        PlaceOption option;
        option.endpoint = record->id;
        option.zone = record->zone;
        option.load = std::max(m_loads.estimate(record->id, now), m_full.loadOf(record->id, processOf(*record), countedAt(record->id, now), now));
        option.preference = m_preferences.at(record->id);
        option.limit = limitFor(*record);
        const double firstByte = detail::toMillis(m_health.meanFirstByte(record->id));
        if (service && !isEngine && firstByte > 0 && sumFirstByte > 0)
            option.slowness = firstByte * static_cast<double>(measured) / sumFirstByte;
        else if (isEngine)
            option.slowness = slownessOf(record->id, now);
        // What makes all ranks of a group slow is no reason to avoid one of them.
        if (const auto group = isGrouped ? fastest.find(groupOf(*record, now)) : fastest.end(); group != fastest.end() && option.slowness < unreportedSlowness)
            option.slowness /= group->second;
        // Engines of a group run in lock-step, so requests at a slow engine delay all others.
        if (isEngine && option.slowness < unreportedSlowness)
            option.limit = std::max(1.0, option.limit / option.slowness);
        option.failureShare = m_health.failureShare(record->id);
        option.closed = isClosed(*record)
            || (now < record->coldUntil && coldPerSecond > 0 && !hasRateLeft(record->id, { coldPerSecond, detail::coldWindow }, now));
        const double limit = limitOf(*record);
        const bool isPaused = m_notices.pauseLeft(record->id, processOf(*record), now) > Millis(0);
        if (isPaused || (limit > 0 && !hasRateLeft(record->id, { limit, detail::limitWindow }, now)))
            option.load = std::max(option.load, option.limit);
        option.avoided = m_health.isAvoided(record->id, isIdempotent, now);
        // A request that does not wait takes the last place of an endpoint out of turn if there is no other place.
        if (!m_instance.empty() && option.load + 2 > option.limit && !isTurn(m_instance, record->id, m_loads.livePeerCount(now) + 1, now)) {
            option.avoided = true;
            if (!request.route)
                option.load = option.limit;
        }
        option.tried = std::find(request.tried.begin(), request.tried.end(), record->id) != request.tried.end();
        if (weighedEngine)
            option.saving = savingAt(m_parts, *weighedEngine, *record, option.load, prefixes, request.size, now).requests;
        options.push_back(option);
    }
    if (explained)
        *explained = options;
    if (isGrouped)
        return placeInGroups(request, options, candidates, now);
    if (isEngine && m_rules.limitPace && !request.attempts && isStreamLimitReached(request.service, candidates.size(), now))
        return { candidates.empty() ? PlaceFailure::NoneOpen : PlaceFailure::AllFull, 0 };
    return placeRequest(options, m_zone);
}

const GroupReport* Dispatcher::groupOf(const EndpointRecord& record, TimePoint now) const
{
    const GroupReport* group = m_groups.groupOf(record.id, record.processStartMs, now);
    return group && group->service == record.service ? group : nullptr;
}

std::string Dispatcher::groupNameOf(const std::string& endpoint, TimePoint now) const
{
    const auto record = m_snapshot.endpoints.find(endpoint);
    const GroupReport* group = record != m_snapshot.endpoints.end() ? groupOf(record->second, now) : nullptr;
    return group ? group->name : std::string();
}

std::map<const GroupReport*, double> Dispatcher::fastestOf(std::span<const EndpointRecord* const> candidates, TimePoint now) const
{
    std::map<const GroupReport*, double> fastest;
    for (const EndpointRecord* record : candidates) {
        const double slowness = slownessOf(record->id, now);
        const GroupReport* group = groupOf(*record, now);
        if (!group || slowness >= unreportedSlowness)
            continue;
        const auto [known, isNew] = fastest.try_emplace(group, slowness);
        known->second = std::min(known->second, slowness);
    }
    return fastest;
}

size_t Dispatcher::addToGroup(std::vector<GroupLoad>& loads, const GroupReport& report, const EndpointRecord& record, double streams, double limit, TimePoint now) const
{
    auto load = std::find_if(loads.begin(), loads.end(), [&](const GroupLoad& known) { return known.name == report.name; });
    if (load == loads.end()) {
        const ServiceProfile* service = m_snapshot.catalog ? m_snapshot.catalog->findService(report.service) : nullptr;
        const double share = service && service->engine ? service->engine->expertShare : 0;
        GroupLoad added;
        added.name = report.name;
        added.state = m_outages.isOut(report.name, now) ? GroupState::Forming : m_groups.stateOf(report.name, now);
        added.mapCost = report.mapUnevenness > 0 ? 1 - share + share * report.mapUnevenness : 0;
        added.preference = m_instance.empty() ? 0 : endpointPreference(m_instance, report.name);
        load = loads.insert(loads.end(), std::move(added));
    }
    if (load->state == GroupState::Open && now < record.coldUntil)
        load->state = GroupState::Cold;
    ++load->endpoints;
    load->limit += limit;
    load->streams += streams;
    load->own += m_loads.ownCount(record.id);
    return static_cast<size_t>(load - loads.begin());
}

std::vector<GroupLoad> Dispatcher::groupLoads(const std::string& service, TimePoint now) const
{
    std::vector<GroupLoad> loads;
    for (const auto& [id, record] : m_snapshot.endpoints)
        if (const GroupReport* group = record.service == service ? groupOf(record, now) : nullptr)
            addToGroup(loads, *group, record, m_loads.estimate(id, now), record.slots, now);
    return loads;
}

std::vector<GroupView> Dispatcher::groupViews(TimePoint now)
{
    std::vector<GroupView> views;
    for (auto& [name, state] : m_services) {
        if (!m_groups.isGrouped(name, now))
            continue;
        const std::vector<GroupLoad> loads = groupLoads(name, now);
        state.groups.keepOnly(loads);
        const std::vector<GroupView> of = state.groups.view(loads, now);
        views.insert(views.end(), of.begin(), of.end());
    }
    return views;
}

PlaceChoice Dispatcher::placeInGroup(std::span<const PlaceOption> options, std::span<const size_t> groupOf, size_t group) const
{
    std::vector<PlaceOption> ranks;
    std::vector<size_t> indices;
    double othersMean = 0;
    for (size_t index = 0; index < options.size(); ++index) {
        if (groupOf[index] != group)
            continue;
        ranks.push_back(options[index]);
        indices.push_back(index);
        othersMean += options[index].load - m_loads.ownCount(options[index].endpoint);
    }
    othersMean /= std::max(1.0, static_cast<double>(ranks.size()));
    for (PlaceOption& rank : ranks) {
        const double others = rank.load - m_loads.ownCount(rank.endpoint);
        const double correction = (1 - detail::lateCountWeight) * (othersMean - others);
        rank.load += correction;
        rank.limit += correction;
    }
    PlaceChoice choice = placeRequest(ranks, m_zone);
    if (choice.failure == PlaceFailure::None)
        choice.index = indices[choice.index];
    return choice;
}

PlaceChoice Dispatcher::placeInGroups(const DispatchRequest& request, std::span<const PlaceOption> options, std::span<const EndpointRecord* const> candidates, TimePoint now)
{
    std::vector<GroupLoad> loads;
    constexpr size_t noGroup = std::numeric_limits<size_t>::max();
    std::vector<size_t> groupOfOption;
    for (size_t index = 0; index < options.size(); ++index) {
        const GroupReport* group = groupOf(*candidates[index], now);
        groupOfOption.push_back(group ? addToGroup(loads, *group, *candidates[index], options[index].load, std::floor(options[index].limit), now) : noGroup);
    }
    const GroupBalance& groups = m_services[request.service].groups;
    const bool isLimited = m_rules.limitPace && !request.attempts;
    const std::vector<size_t> order = groups.order(loads, now);
    // No group runs passes: the endpoints are all the same.
    if (order.empty())
        return placeRequest(options, m_zone);
    PlaceChoice result { PlaceFailure::NoneOpen, 0 };
    for (const size_t group : order) {
        const PlaceChoice choice = isLimited && groups.isFull(loads[group]) ? PlaceChoice { PlaceFailure::AllFull, 0 } : placeInGroup(options, groupOfOption, group);
        if (choice.failure == PlaceFailure::None && !options[choice.index].tried && !options[choice.index].avoided)
            return choice;
        if (choice.failure == PlaceFailure::None ? result.failure != PlaceFailure::None : result.failure == PlaceFailure::NoneOpen)
            result = choice;
    }
    // Endpoints whose group is not known may be ranks of one that is forming, so they come last.
    const PlaceChoice choice = isLimited && isStreamLimitReached(request.service, candidates.size(), now) ? PlaceChoice { PlaceFailure::AllFull, 0 } : placeInGroup(options, groupOfOption, noGroup);
    const bool isBetter = choice.failure == PlaceFailure::None && !options[choice.index].tried && !options[choice.index].avoided;
    return isBetter || (result.failure != PlaceFailure::None && choice.failure == PlaceFailure::None) ? choice : result;
}

bool Dispatcher::isClosed(const EndpointRecord& record) const
{
    return record.leaving || m_snapshot.closedZones.contains(record.zone) || m_notices.isLeaving(record.id, processOf(record));
}

bool Dispatcher::onLeaving(const std::string& endpoint)
{
    const auto record = m_snapshot.endpoints.find(endpoint);
    return record != m_snapshot.endpoints.end() && m_notices.onLeaving(endpoint, processOf(record->second));
}

void Dispatcher::onPause(const std::string& endpoint, Millis pause, TimePoint now)
{
    const auto record = m_snapshot.endpoints.find(endpoint);
    if (record != m_snapshot.endpoints.end())
        m_notices.onPause(endpoint, processOf(record->second), now + pause);
}

CountedRequests Dispatcher::countedAt(std::string_view endpoint, TimePoint now) const
{
    return { static_cast<double>(m_loads.ownCount(endpoint)), static_cast<double>(m_loads.peerCount(endpoint, now)) };
}

bool Dispatcher::onRejected(const std::string& endpoint, std::optional<uint32_t> load, TimePoint now)
{
    const auto record = m_snapshot.endpoints.find(endpoint);
    if (record == m_snapshot.endpoints.end())
        return false;
    // It takes no more than it has, whatever its limit is here.
    const uint32_t full = std::max(load.value_or(0), static_cast<uint32_t>(limitFor(record->second)));
    return m_full.onRejected(endpoint, processOf(record->second), full, countedAt(endpoint, now), now);
}

void Dispatcher::onReported(const std::string& endpoint, uint32_t load, TimePoint now)
{
    m_loads.onReported(endpoint, load, now);
    const auto record = m_snapshot.endpoints.find(endpoint);
    if (record != m_snapshot.endpoints.end())
        m_full.onReported(endpoint, processOf(record->second), load, static_cast<uint32_t>(limitFor(record->second)), countedAt(endpoint, now), now);
}

size_t Dispatcher::onPeerFull(const FullReports& reports, TimePoint now)
{
    size_t news = 0;
    for (const auto& [endpoint, report] : reports)
        if (m_snapshot.endpoints.contains(endpoint) && m_full.onPeerReport(endpoint, report, countedAt(endpoint, now), now))
            ++news;
    return news;
}

void Dispatcher::onSentTo(const EndpointRecord& record, TimePoint now)
{
    const CountedRequests counted = countedAt(record.id, now);
    const double load = std::max(counted.own + counted.others, m_full.loadOf(record.id, processOf(record), counted, now));
    if (load >= FullEndpoints::nearlyFull * limitFor(record))
        m_full.onNearlyFull(record.id, processOf(record), static_cast<uint32_t>(load), counted, now);
}

double Dispatcher::limitFor(const EndpointRecord& record) const
{
    const ServiceProfile* service = m_snapshot.catalog ? m_snapshot.catalog->findService(record.service) : nullptr;
    return (service && service->engine ? 1 : detail::plainLoadPerSlot) * record.slots;
}

Millis Dispatcher::shortestPause(const DispatchRequest& request, TimePoint now) const
{
    Millis shortest { 0 };
    for (const auto& [id, record] : m_snapshot.endpoints) {
        if (record.service != request.service || isClosed(record))
            continue;
        const Millis pause = m_notices.pauseLeft(id, processOf(record), now);
        if (pause <= Millis(0))
            return Millis(0);
        shortest = shortest > Millis(0) ? std::min(shortest, pause) : pause;
    }
    return shortest;
}

double Dispatcher::meanStreams(const std::string& service, TimePoint now) const
{
    double total = 0;
    size_t count = 0;
    for (const auto& [id, record] : m_snapshot.endpoints) {
        if (record.service != service)
            continue;
        total += m_loads.estimate(id, now);
        ++count;
    }
    return count ? total / static_cast<double>(count) : 0;
}

double Dispatcher::meanStreams(const GroupReport& group, TimePoint now) const
{
    double total = 0;
    size_t count = 0;
    for (const GroupMember& member : group.members) {
        const auto record = m_snapshot.endpoints.find(member.endpoint);
        if (record == m_snapshot.endpoints.end() || groupOf(record->second, now) != &group)
            continue;
        total += m_loads.estimate(member.endpoint, now);
        ++count;
    }
    return count ? total / static_cast<double>(count) : 0;
}

double Dispatcher::paceCapacity(const std::string& service, size_t endpoints, TimePoint now)
{
    const ServiceState& state = m_services[service];
    if (!m_groups.isGrouped(service, now))
        return static_cast<double>(endpoints) * state.pace.maxStreamsPerEndpoint(state.profile);
    double capacity = 0;
    for (const GroupLoad& load : groupLoads(service, now))
        capacity += state.groups.capacityOf(load);
    return capacity;
}

bool Dispatcher::isStreamLimitReached(const std::string& service, size_t endpoints, TimePoint now)
{
    const ServiceState& state = m_services[service];
    if (!endpoints || state.profile.gapObjectiveMs <= 0)
        return false;
    return meanStreams(service, now) + 1 / static_cast<double>(endpoints) > state.pace.maxStreamsPerEndpoint(state.profile);
}

std::optional<std::string> Dispatcher::reserve(const DispatchRequest& request, TimePoint now)
{
    std::vector<const EndpointRecord*> candidates;
    const PlaceChoice choice = choosePlacement(request, now, candidates);
    if (choice.failure != PlaceFailure::None)
        return std::nullopt;
    const EndpointRecord& record = *candidates[choice.index];
    m_lastPartDecision = partDecision(request, choice, record, now);
    if (const GroupReport* group = m_groups.isGrouped(record.service, now) ? groupOf(record, now) : nullptr) {
        m_services[record.service].groups.onPlaced(group->name);
        m_outages.onSent(group->name, now);
    }
    m_loads.onSent(record.id);
    onSentTo(record, now);
    if (isRateLimited(record, now))
        m_rateLimiter.onSent(record.id, now);
    return record.id;
}

void Dispatcher::cancelReservation(const std::string& endpoint, TimePoint now)
{
    m_loads.onEnded(endpoint);
    const auto record = m_snapshot.endpoints.find(endpoint);
    if (record != m_snapshot.endpoints.end() && isRateLimited(record->second, now))
        m_rateLimiter.onCancelled(endpoint);
}

double Dispatcher::limitOf(const EndpointRecord& record) const
{
    return m_limits.limitOf(record.id, processOf(record));
}

bool Dispatcher::isRateLimited(const EndpointRecord& record, TimePoint now) const
{
    return now < record.coldUntil || limitOf(record) > 0;
}

bool Dispatcher::onLimitNamed(const std::string& endpoint, double perSecond, TimePoint now)
{
    const auto record = m_snapshot.endpoints.find(endpoint);
    return record != m_snapshot.endpoints.end() && m_limits.onAnswer(endpoint, processOf(record->second), perSecond, now);
}

bool Dispatcher::onPeerRates(std::string_view peer, const NamedLimits& limits, const SentAges& sent, TimePoint now)
{
    m_rateLimiter.onPeerSent(peer, sent, now);
    return m_limits.merge(limits, now);
}

DispatchDecision Dispatcher::dispatch(const DispatchRequest& request, TimePoint now)
{
    const ServiceProfile* service = m_snapshot.catalog ? m_snapshot.catalog->findService(request.service) : nullptr;
    // It would never run, so the caller is not told to come back.
    if (service && service->engine && exceedsMemory(*service->engine, request.size))
        return { DispatchKind::Refused, {}, Millis(0), Reason::NoCapacity };
    std::vector<const EndpointRecord*> candidates;
    const PlaceChoice choice = choosePlacement(request, now, candidates);
    const WaitQueue& queue = m_services[request.service].queue;
    if (choice.failure == PlaceFailure::None && (!queue.size() || request.attempts > 0))
        return { DispatchKind::Placed, reserve(request, now).value_or(std::string()) };
    if (choice.failure == PlaceFailure::NoneOpen)
        return { DispatchKind::Refused, {}, Millis(0), Reason::NoEndpoint, detail::noEndpointRetryAfter };
    const WaitRequest wait = waitRequest(request, now);
    if (const Millis pause = shortestPause(request, now); pause > WaitQueue::longestWait(wait))
        return { DispatchKind::Refused, {}, Millis(0), Reason::EndpointRefused, pause };
    const WaitDecision decision = queue.decide(wait, now);
    if (!decision.mayWait || !m_rules.allowWaiting)
        return { DispatchKind::Refused, {}, Millis(0), Reason::QueueTooLong, decision.retryAfter };
    return { DispatchKind::Wait, {}, WaitQueue::longestWait(wait) };
}

WaitQueue::Ticket Dispatcher::enqueue(const DispatchRequest& request, TimePoint now, std::function<void()> wake)
{
    return m_services[request.service].queue.push(waitRequest(request, now), std::move(wake));
}

void Dispatcher::removeFromQueue(const std::string& service, const WaitQueue::Ticket& ticket)
{
    m_services[service].queue.remove(ticket);
}

Millis Dispatcher::retryAfter(const DispatchRequest& request, TimePoint now)
{
    return m_services[request.service].queue.decide(waitRequest(request, now), now).retryAfter;
}

bool Dispatcher::hasUntriedEndpoint(const DispatchRequest& request, TimePoint now)
{
    std::vector<const EndpointRecord*> candidates;
    const PlaceChoice choice = choosePlacement(request, now, candidates);
    return choice.failure == PlaceFailure::None && std::find(request.tried.begin(), request.tried.end(), candidates[choice.index]->id) == request.tried.end();
}

void Dispatcher::onEnded(const std::string& service, const std::string& endpoint, TimePoint now)
{
    m_loads.onEnded(endpoint);
    m_services[service].queue.onCompletion(now);
}

void Dispatcher::updatePaceProfile(const std::string& name, const Route& route, TimePoint now)
{
    const ServiceProfile* service = m_snapshot.catalog ? m_snapshot.catalog->findService(name) : nullptr;
    if (!service || !service->engine)
        return;
    ServiceState& state = m_services[name];
    PaceProfile profile;
    profile.stepsPerPass = service->engine->stepsPerPass;
    profile.stepMs = service->engine->stepMs;
    profile.perStreamMs = service->engine->perSequenceMs;
    profile.gapObjectiveMs = detail::toMillis(route.gapObjective);
    if (state.meanEvents > 0)
        profile.maxUsefulGapMs = detail::answerShareOfTimeout * detail::toMillis(route.timeout) / state.meanEvents;
    for (const auto& [id, record] : m_snapshot.endpoints) {
        if (record.service != name)
            continue;
        profile.slots = std::max(profile.slots, static_cast<double>(record.slots));
        // Engines that do not report are skipped: they get no requests, and their real slowness is
        // unknown.
        if (const double factor = slownessOf(id, now); factor < unreportedSlowness)
            profile.slowestFactor = std::max(profile.slowestFactor, factor);
    }
    state.profile = profile;
    if (!m_groups.isGrouped(name, now))
        return;
    std::map<const GroupReport*, double> slowest;
    for (const auto& [id, record] : m_snapshot.endpoints) {
        const GroupReport* group = record.service == name ? groupOf(record, now) : nullptr;
        if (!group)
            continue;
        double& factor = slowest.try_emplace(group, 1).first->second;
        if (const double own = slownessOf(id, now); own < unreportedSlowness)
            factor = std::max(factor, own);
    }
    for (const auto& [group, factor] : slowest) {
        profile.slowestFactor = factor;
        state.groups.setProfile(group->name, profile);
    }
}

void Dispatcher::onFirstEvent(const std::string& service, Clock::duration sinceSent)
{
    double& mean = m_services[service].meanFirstEventMs;
    mean += detail::firstEventWeight * (detail::toMillis(sinceSent) - mean);
}

void Dispatcher::onEventGap(const std::string& service, const std::string& endpoint, Clock::duration gap, TimePoint now)
{
    ServiceState& state = m_services[service];
    const auto record = m_snapshot.endpoints.find(endpoint);
    const GroupReport* group = record != m_snapshot.endpoints.end() && m_groups.isGrouped(service, now) ? groupOf(record->second, now) : nullptr;
    const double streams = group ? meanStreams(*group, now) : meanStreams(service, now);
    // The estimate of the whole service is kept for the time when the groups are not known any more.
    state.pace.onEventGap(detail::toMillis(gap), streams, state.profile, now);
    if (group)
        state.groups.onEventGap(group->name, detail::toMillis(gap), streams, now);
}

void Dispatcher::onAnswered(const std::string& service, Clock::duration inFlightTime, uint32_t events)
{
    ServiceState& state = m_services[service];
    detail::updateMovingAverage(state.meanInFlightMs, detail::toMillis(inFlightTime), detail::answerWeight);
    if (events)
        detail::updateMovingAverage(state.meanEvents, events, detail::answerWeight);
}

bool Dispatcher::hasCapacity(const std::string& service, TimePoint now)
{
    DispatchRequest request;
    request.service = service;
    std::vector<const EndpointRecord*> candidates;
    return choosePlacement(request, now, candidates).failure == PlaceFailure::None;
}

void Dispatcher::wakeWaiting(const std::string& service, TimePoint now)
{
    WaitQueue& queue = m_services[service].queue;
    while (queue.size() && hasCapacity(service, now))
        queue.wakeFirst();
}

void Dispatcher::wakeWaiting(TimePoint now)
{
    for (auto& [service, state] : m_services)
        wakeWaiting(service, now);
}

WaitRequest Dispatcher::waitRequest(const DispatchRequest& request, TimePoint now)
{
    const Millis timeLeft = request.timeLeft.value_or(request.route->timeout);
    WaitRequest wait;
    wait.priority = request.priority;
    wait.isRetry = request.attempts > 0 || timeLeft + detail::callerRetryMargin < request.route->timeout;
    wait.timeToObjective = std::chrono::duration_cast<Millis>(request.received + request.route->objective - now);
    wait.expectedFirstByte = std::max(detail::minFirstByte, Millis(static_cast<Millis::rep>(m_services[request.service].meanFirstEventMs)));
    wait.estimatedCompletionRate = estimatedCompletionRate(request.service, now);
    return wait;
}

double Dispatcher::estimatedCompletionRate(const std::string& service, TimePoint now)
{
    const ServiceState& state = m_services[service];
    constexpr double millisPerSecond = 1000;
    if (state.meanInFlightMs <= 0)
        return 1;
    double capacity = 0;
    size_t endpoints = 0;
    for (const auto& [id, record] : m_snapshot.endpoints) {
        if (record.service != service || isClosed(record))
            continue;
        const double limit = limitOf(record);
        capacity += limit > 0 ? std::min<double>(record.slots, limit * state.meanInFlightMs / millisPerSecond) : record.slots;
        ++endpoints;
    }
    if (state.profile.gapObjectiveMs > 0)
        capacity = std::min(capacity, paceCapacity(service, endpoints, now));
    return capacity * millisPerSecond / state.meanInFlightMs / static_cast<double>(m_loads.livePeerCount(now) + 1);
}

double Dispatcher::expectedGapRatio(const std::string& name, const std::string& groupName, double mapUnevenness, TimePoint now)
{
    const ServiceProfile* service = m_snapshot.catalog ? m_snapshot.catalog->findService(name) : nullptr;
    const ServiceState& state = m_services[name];
    const GroupReport* group = m_groups.isGrouped(name, now) ? m_groups.find(groupName, now) : nullptr;
    const PaceProfile* ofGroup = group ? state.groups.profileOf(groupName) : nullptr;
    const PaceProfile& pace = ofGroup ? *ofGroup : state.profile;
    if (!service || !service->engine || pace.gapObjectiveMs <= 0)
        return 1;
    const double share = service->engine->expertShare;
    const double perStream = pace.perStreamMs * (1 - share + share * mapUnevenness);
    const double streams = ofGroup ? meanStreams(*group, now) : meanStreams(name, now);
    return pace.stepsPerPass * (pace.stepMs * pace.slowestFactor + perStream * streams) / pace.gapObjectiveMs;
}

} // namespace orioletrail
