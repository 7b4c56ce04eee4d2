// Answers operators who ask where a request would go.
#include "explain/explanation.h"

#include "direct/state.h"
#include "explain/query.h"

#include <boost/json.hpp>

namespace orioletrail {

namespace detail {

    HttpResponse explainError(unsigned status, const std::string& message)
    {
        const boost::json::object error { { "error", message } };
        return { status, { { "Content-Type", "application/json" } }, boost::json::serialize(error) };
    }

} // namespace detail

HttpResponse DirectEntry::State::explainPlacement(const HttpRequest& request)
{
    std::string reason = "use the method GET";
    const std::optional<ExplainQuery> query = request.method == "GET" ? parseExplainQuery(request.target, reason) : std::nullopt;
    if (!query)
        return detail::explainError(400, reason);
    DirectJob job;
    job.received = Clock::now();
    job.caller.host = query->host;
    job.caller.apiKey = query->key;
    job.caller.timeLeft = query->timeLeft;
    job.timeLeft = query->timeLeft;
    job.size = query->size;
    job.promptParts = query->parts;
    for (const PromptPart& part : query->parts)
        job.caller.promptParts.push_back(part.hash);
    ExplainAnswer answer;
    answer.instance = platform.instance;
    std::optional<DirectRefusal> refusal = refusalForState();
    if (snapshot.catalog) {
        answer.configuration = snapshot.catalog->version();
        if (!query->account.empty())
            job.caller.apiKey = snapshot.catalog->findAccountKey(query->account);
        if (!query->account.empty() && job.caller.apiKey.empty())
            return detail::explainError(404, "no account \"" + query->account + "\" in configuration " + std::to_string(answer.configuration));
        const std::optional<DirectRefusal> routeRefusal = findRoute(query->path, job);
        if (!job.route)
            return detail::explainError(404, "no route for host \"" + query->host + "\" and path \"" + query->path + "\" in configuration " + std::to_string(answer.configuration));
        if (!refusal)
            refusal = routeRefusal;
        if (!refusal)
            refusal = refusalForStop(job, false, job.received);
    }
    if (!refusal)
        refusal = refusalForCrashes(job, job.received);
    if (query->priority)
        job.priority = *query->priority;
    if (refusal) {
        answer.refusal = refusal->reason;
        answer.refusalRetryAfter = refusal->retryAfter;
    }
    answer.account = job.account;
    answer.priority = job.priority;
    answer.timeLeft = query->timeLeft.value_or(Millis(0));
    // The deadline is set for requests that have a route and its account.
    if (job.deadline > job.received) {
        answer.timeLeft = std::chrono::duration_cast<Millis>(job.deadline - job.received);
        answer.route = job.route->name;
        for (const RouteTarget& target : job.route->targets) {
            job.service = target.service;
            answer.services.emplace_back(target.weight, dispatcher->explain(job, job.received));
        }
    }
    return { 200, { { "Content-Type", "application/json" } }, explanationJson(answer) };
}

} // namespace orioletrail
