#include "explain/explanation.h"

#include <boost/json.hpp>

namespace orioletrail {

namespace json = boost::json;

namespace detail {

    json::object candidateJson(const ExplainedCandidate& candidate)
    {
        json::array obstacles;
        for (const std::string& obstacle : candidate.obstacles)
            obstacles.emplace_back(obstacle);
        return { { "endpoint", candidate.endpoint }, { "zone", candidate.zone }, { "chosen", candidate.isChosen }, { "cost", candidate.cost }, { "load", candidate.load },
            { "limit", candidate.limit }, { "slowness", candidate.slowness }, { "failureShare", candidate.failureShare }, { "preference", candidate.preference },
            { "heldTokens", candidate.heldTokens }, { "heldAgeMs", candidate.heldAge.count() }, { "savedMs", candidate.savedMs }, { "savedRequests", candidate.savedRequests },
            { "obstacles", std::move(obstacles) } };
    }

    json::object serviceJson(double weight, const Explanation& explanation)
    {
        json::object object { { "service", explanation.service }, { "weight", weight }, { "decision", explanation.decision } };
        if (!explanation.endpoint.empty()) {
            object["endpoint"] = explanation.endpoint;
            object["endpointWithoutSaving"] = explanation.endpointWithoutSaving;
        }
        if (explanation.reason != Reason::None)
            object["reason"] = reasonName(explanation.reason);
        if (explanation.longestWait > Millis(0))
            object["longestWaitMs"] = explanation.longestWait.count();
        if (explanation.retryAfter > Millis(0))
            object["retryAfterMs"] = explanation.retryAfter.count();
        object["queued"] = explanation.queued;
        object["meanStreams"] = explanation.meanStreams;
        if (explanation.maxStreams > 0)
            object["maxStreams"] = explanation.maxStreams;
        object["livePeers"] = explanation.livePeers;
        object["countsAgeMs"] = explanation.countsAge.count();
        object["slownessAgeMs"] = explanation.slownessAge.count();
        json::array candidates;
        for (const ExplainedCandidate& candidate : explanation.candidates)
            candidates.emplace_back(candidateJson(candidate));
        object["candidates"] = std::move(candidates);
        return object;
    }

} // namespace detail

std::string explanationJson(const ExplainAnswer& answer)
{
    json::object object { { "instance", answer.instance }, { "configuration", answer.configuration }, { "route", answer.route }, { "account", answer.account },
        { "priority", answer.priority }, { "timeLeftMs", answer.timeLeft.count() } };
    if (answer.refusal != Reason::None) {
        object["refused"] = reasonName(answer.refusal);
        if (answer.refusalRetryAfter > Millis(0))
            object["retryAfterMs"] = answer.refusalRetryAfter.count();
    }
    json::array services;
    for (const auto& [weight, explanation] : answer.services)
        services.emplace_back(detail::serviceJson(weight, explanation));
    object["services"] = std::move(services);
    return json::serialize(object);
}

} // namespace orioletrail
