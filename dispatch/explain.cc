// Explains a decision of the dispatcher by making it on a copy.
#include "dispatch/dispatcher.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace orioletrail {

namespace detail {

    // Slowness from which an endpoint is called slow: its cost is then that of another half of its load.
    constexpr double slowFrom = 1.5;

    std::string shortNumber(double number)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.1f", number);
        return text.data();
    }

} // namespace detail

void Dispatcher::explainCandidate(const DispatchRequest& request, const EndpointRecord& record, const PlaceOption& option, TimePoint now, ExplainedCandidate& candidate)
{
    const ServiceProfile* service = m_snapshot.catalog ? m_snapshot.catalog->findService(request.service) : nullptr;
    const std::vector<PromptPrefix> prefixes = m_rules.useParts ? prefixesOf(request.promptParts) : std::vector<PromptPrefix>();
    candidate.endpoint = record.id;
    candidate.zone = record.zone;
    candidate.cost = placeCost(option, m_zone);
    candidate.load = m_loads.estimate(record.id, now);
    candidate.limit = option.limit;
    candidate.slowness = option.slowness;
    candidate.failureShare = option.failureShare;
    candidate.preference = option.preference;
    if (const EngineProfile* engine = partsEngine(request, prefixes)) {
        const PartSaving saving = savingAt(m_parts, *engine, record, candidate.load, prefixes, request.size, now);
        candidate.heldTokens = saving.held.tokens;
        candidate.heldAge = saving.held.age;
        candidate.savedMs = saving.millis;
        candidate.savedRequests = saving.requests;
    }
    std::vector<std::string>& obstacles = candidate.obstacles;
    const auto millisText = [](auto time) { return std::to_string(std::chrono::duration_cast<Millis>(time).count()) + " ms"; };
    if (record.leaving)
        obstacles.emplace_back("closed: leaving");
    if (m_notices.isLeaving(record.id, processOf(record)))
        obstacles.emplace_back("closed: it says that it is leaving");
    if (m_snapshot.closedZones.contains(record.zone))
        obstacles.emplace_back("closed: its zone is closed");
    const double coldPerSecond = service ? service->coldPerSecond : 0;
    if (now < record.coldUntil && coldPerSecond > 0)
        obstacles.push_back("cold for " + millisText(record.coldUntil - now) + ", " + detail::shortNumber(coldPerSecond) + " requests/s" + (option.closed && !isClosed(record) ? ", which are used up" : ""));
    if (const Millis pause = m_notices.pauseLeft(record.id, processOf(record), now); pause > Millis(0))
        obstacles.push_back("paused for " + millisText(pause) + " at its request");
    if (const double limit = limitOf(record); limit > 0)
        obstacles.push_back("limited to " + detail::shortNumber(limit) + " requests/s by itself" + (option.load > candidate.load ? ", which are used up" : ""));
    if (candidate.load + 1 > option.limit)
        obstacles.emplace_back("full");
    else if (option.load + 1 > option.limit && obstacles.empty())
        obstacles.emplace_back("counts as full");
    if (option.avoided)
        obstacles.emplace_back("avoided: it was unreachable or silent");
    if (option.slowness >= unreportedSlowness)
        obstacles.emplace_back("slow: it does not report");
    else if (option.slowness >= detail::slowFrom)
        obstacles.push_back("slow: " + detail::shortNumber(option.slowness) + " times the normal time");
    if (option.tried)
        obstacles.emplace_back("tried before");
}

Explanation Dispatcher::explain(const DispatchRequest& request, TimePoint now) const
{
    Dispatcher copy(*this);
    Explanation result;
    result.service = request.service;
    const auto age = [&](TimePoint since) { return std::chrono::duration_cast<Millis>(now - since); };
    if (request.route && request.route->streaming)
        copy.updatePaceProfile(request.service, *request.route, now);
    std::vector<const EndpointRecord*> records;
    std::vector<PlaceOption> options;
    const PlaceChoice choice = copy.choosePlacement(request, now, records, &options);
    for (size_t index = 0; index < options.size(); ++index)
        copy.explainCandidate(request, *records[index], options[index], now, result.candidates.emplace_back());
    const ServiceState& state = copy.m_services[request.service];
    result.queued = state.queue.size();
    result.meanStreams = copy.meanStreams(request.service, now);
    if (state.profile.gapObjectiveMs > 0 && copy.m_rules.limitPace)
        result.maxStreams = state.pace.maxStreamsPerEndpoint(state.profile);
    result.livePeers = copy.m_loads.livePeerCount(now);
    result.countsAge = copy.m_loads.countsAge(now);
    result.slownessAge = copy.m_slowness.empty() ? Millis(0) : age(copy.m_slownessReceived);
    const std::string without = choice.failure == PlaceFailure::None ? records[choice.indexWithoutSaving]->id : std::string();
    const DispatchDecision decision = copy.dispatch(request, now);
    switch (decision.kind) {
    case DispatchKind::Placed:
        result.decision = "placed";
        result.endpoint = decision.endpoint;
        result.endpointWithoutSaving = without;
        break;
    case DispatchKind::Wait:
        result.decision = "wait";
        result.longestWait = decision.longestWait;
        result.retryAfter = copy.retryAfter(request, now);
        break;
    case DispatchKind::Refused:
        result.decision = "refused";
        result.reason = decision.reason;
        result.retryAfter = decision.retryAfter;
        break;
    }
    for (ExplainedCandidate& candidate : result.candidates)
        candidate.isChosen = candidate.endpoint == result.endpoint;
    std::stable_sort(result.candidates.begin(), result.candidates.end(), [](const ExplainedCandidate& a, const ExplainedCandidate& b) {
        return a.isChosen != b.isChosen ? a.isChosen : a.cost - a.savedRequests < b.cost - b.savedRequests;
    });
    return result;
}

} // namespace orioletrail
