// Handles a caller's request up to its final answer.
#include "base/digest.h"
#include "direct/state.h"
#include "telemetry/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr Millis defaultTimeLeft { 30'000 };
    // An instance that has just started learns the configuration within some hundred milliseconds.
    constexpr Millis startupRetryAfter { 500 };
    constexpr Millis rejectedRetryAfter { 200 };
    // A part that is refused by mistake is cleared when a request that was under way is answered.
    constexpr Millis refusedPartRetryAfter { 5000 };
    // The trial of a request that may crash endpoints is over by then, and its result known to all entries.
    constexpr Millis heldRetryAfter { 500 };
    // A request that was lost in this many crashes is not sent to another endpoint.
    constexpr uint32_t maxCrashedAttempts = 2;

    // A caller is known by its API key and by its account, as a key may move to another account and an
    // account may get another key. A route may lead the request to another service each time.
    std::vector<std::string> requestDigests(const HttpRequest& request, const DirectJob& job)
    {
        const uint64_t content = hash64(request.body, hash64(request.target, hash64(job.caller.host)));
        std::vector<std::string> digests { std::to_string(hash64(job.caller.apiKey, content)) };
        if (!job.account.empty())
            digests.push_back(std::to_string(hash64("account:" + job.account, content)));
        return digests;
    }

    DirectRefusal refusalOf(const DirectAttemptResult& result)
    {
        if (result.outcome == Outcome::NotRun)
            return { 503, result.reason, Outcome::NotRun, rejectedRetryAfter };
        return { result.reason == Reason::Deadline ? 504U : 502U, result.reason, Outcome::MayHaveRun, Millis(0) };
    }

} // namespace detail

Task<> DirectEntry::State::handleRequest(const HttpRequest& request, Responder& responder)
{
    auto job = std::make_shared<DirectJob>();
    job->received = Clock::now();
    job->caller = decodeCaller(request);
    job->timeLeft = job->caller.timeLeft;
    job->size = job->caller.size;
    for (size_t part = 0; part < job->caller.promptParts.size(); ++part)
        job->promptParts.push_back({ job->caller.promptParts[part], job->caller.promptPartTokens[part] });
    metrics.count("orioletrail_requests_total");
    if (const std::optional<DirectRefusal> refusal = resolve(request, *job)) {
        co_await refuse(responder, *job, *refusal);
        co_return;
    }
    responder.setAccount(job->account);
    responder.onClientDisconnect([job] {
        job->callerGone = true;
        if (job->cancelToken)
            job->cancelToken->cancel();
        if (job->queueTimer)
            job->queueTimer->cancel();
    });
    retries.onRequest(job->service, job->received);
    if (job->route->streaming)
        dispatcher->updatePaceProfile(job->service, *job->route, job->received);
    jobs.insert(job.get());
    co_await attemptUntilAnswered(request, responder, *job);
    jobs.erase(job.get());
}

std::optional<DirectRefusal> DirectEntry::State::resolve(const HttpRequest& request, DirectJob& job)
{
    if (const std::optional<DirectRefusal> refusal = refusalForState())
        return refusal;
    if (const std::optional<DirectRefusal> refusal = findRoute(request.path(), job))
        return refusal;
    if (const std::optional<DirectRefusal> refusal = refusalForStop(job, false, job.received))
        return refusal;
    chooseService(job);
    job.digests = detail::requestDigests(request, job);
    return refusalForCrashes(job, job.received);
}

std::optional<DirectRefusal> DirectEntry::State::refusalForState()
{
    if (!isCaughtUp())
        return DirectRefusal { 503, Reason::NoConfiguration, Outcome::NotRun, detail::startupRetryAfter };
    return std::nullopt;
}

std::optional<DirectRefusal> DirectEntry::State::refusalForStop(const DirectJob& job, bool isTaken, TimePoint now) const
{
    if (!drainPlan)
        return std::nullopt;
    const DrainRequest request { job.deadline, answerTimes.mostTake(job.route->name), job.route->idempotency == Idempotency::Idempotent };
    if (!isClosing && !job.isCutOff && (isTaken ? drainPlan->maySend(request, now) : drainPlan->mayTake(request, now)))
        return std::nullopt;
    return DirectRefusal { 503, Reason::ShuttingDown, Outcome::NotRun, detail::rejectedRetryAfter };
}

std::optional<DirectRefusal> DirectEntry::State::findRoute(std::string_view path, DirectJob& job)
{
    job.catalog = snapshot.catalog;
    job.route = job.catalog->findRoute(job.caller.host, path);
    if (!job.route)
        return DirectRefusal { 404, Reason::UnknownRoute, Outcome::NotRun, Millis(0) };
    const AccountProfile* account = job.catalog->findAccount(job.caller.apiKey);
    if (!account && !job.route->isPublic && job.catalog->hasAccounts())
        return DirectRefusal { 401, Reason::Unauthorized, Outcome::NotRun, Millis(0) };
    job.priority = job.route->priority;
    if (account) {
        job.account = account->name;
        job.priority = account->priority.value_or(job.priority);
    }
    job.deadline = job.received + std::min(job.caller.timeLeft.value_or(detail::defaultTimeLeft), job.route->timeout);
    return std::nullopt;
}

std::optional<DirectRefusal> DirectEntry::State::refusalForCrashes(const DirectJob& job, TimePoint now) const
{
    const SuspectDecision decision = trials.decide(poison, job.digests, now);
    if (decision == SuspectDecision::Refuse)
        return DirectRefusal { 422, Reason::Poisoned, Outcome::NotRun, Millis(0) };
    if (decision == SuspectDecision::Hold)
        return DirectRefusal { 503, Reason::Poisoned, Outcome::NotRun, detail::heldRetryAfter };
    if (!crashParts.isRefused(job.caller.promptParts, now))
        return std::nullopt;
    return DirectRefusal { 503, Reason::Poisoned, Outcome::NotRun, detail::refusedPartRetryAfter };
}

void DirectEntry::State::chooseService(DirectJob& job)
{
    std::vector<double> weights;
    for (const RouteTarget& target : job.route->targets)
        weights.push_back(target.weight);
    std::discrete_distribution<size_t> choice(weights.begin(), weights.end());
    job.service = job.route->targets[choice(random)].service;
}

Task<> DirectEntry::State::attemptUntilAnswered(const HttpRequest& request, Responder& responder, DirectJob& job)
{
    while (true) {
        std::optional<DirectRefusal> refusal = co_await reservePlace(job);
        if (!refusal && !(refusal = refusalForCrashes(job, Clock::now())))
            refusal = refusalForStop(job, true, Clock::now());
        if (refusal && job.target)
            dispatcher->cancelReservation(std::exchange(job.target, nullptr)->record.id, Clock::now());
        if (refusal) {
            if (job.isRetryCharged)
                retries.refund(job.service, Clock::now());
            DirectRefusal response = *refusal;
            if (job.mayHaveRun)
                response = { 502, refusal->reason, Outcome::MayHaveRun, Millis(0) };
            if (job.streamBegun)
                responder.abort();
            else
                co_await refuse(responder, job, response);
            co_return;
        }
        const DirectAttemptResult result = co_await attemptWithCare(request, responder, job);
        if (result.outcome == Outcome::Answered)
            co_return;
        if (!mayRetry(job, result)) {
            co_await finishFailed(responder, job, result);
            co_return;
        }
        metrics.countRetry(result.reason);
    }
}

Task<DirectAttemptResult> DirectEntry::State::attemptWithCare(const HttpRequest& request, Responder& responder, DirectJob& job)
{
    const std::string suspect = trials.onBegun(poison, job.digests, Clock::now());
    const DirectAttemptResult result = co_await attempt(request, responder, job);
    if (suspect.empty())
        co_return result;
    trials.onEnded(suspect);
    const std::string verdict(poisonVerdictName(poison.verdict(suspect, Clock::now())));
    metrics.count("orioletrail_request_trials_total", Metrics::label("verdict", verdict));
    log(LogLevel::Warning, "request tried that may crash endpoints", { { "request", job.caller.id }, { "digest", suspect }, { "run", std::string(outcomeName(result.outcome)) }, { "deaths", std::to_string(poison.deathCount(suspect)) }, { "verdict", verdict } });
    co_return result;
}

void DirectEntry::State::onEvents(DirectJob& job, TimePoint sent)
{
    const TimePoint now = Clock::now();
    if (job.streamBegun)
        dispatcher->onEventGap(job.service, job.tried.empty() ? std::string() : job.tried.back(), now - job.lastEventAt, now);
    else
        dispatcher->onFirstEvent(job.service, now - sent);
    job.lastEventAt = now;
    ++job.eventChunks;
}

bool DirectEntry::State::tryReservePlace(DirectJob& job)
{
    const std::optional<std::string> endpoint = dispatcher->reserve(job, Clock::now());
    if (endpoint)
        onPlaced(job, *endpoint);
    tellFull();
    return endpoint.has_value();
}

void DirectEntry::State::onPlaced(DirectJob& job, const std::string& endpoint)
{
    job.target = targets.at(endpoint);
    job.partDecision = dispatcher->lastPartDecision();
    if (!job.partDecision.wasWeighed)
        return;
    metrics.count("orioletrail_prompt_parts_total", "event=\"weighed\"");
    if (job.partDecision.wasMoved)
        metrics.count("orioletrail_prompt_parts_total", "event=\"moved\"");
    if (job.partDecision.savedTokens)
        metrics.count("orioletrail_prompt_tokens_saved_total", {}, job.partDecision.savedTokens);
}

Task<std::optional<DirectRefusal>> DirectEntry::State::reservePlace(DirectJob& job)
{
    const TimePoint queuedAt = Clock::now();
    const DispatchDecision decision = dispatcher->dispatch(job, queuedAt);
    if (decision.kind == DispatchKind::Refused)
        co_return DirectRefusal { 503, decision.reason, Outcome::NotRun, decision.retryAfter };
    if (decision.kind == DispatchKind::Placed) {
        onPlaced(job, decision.endpoint);
        tellFull();
        co_return std::nullopt;
    }
    job.queueTimer = std::make_shared<asio::steady_timer>(traffic);
    job.queueTimer->expires_after(decision.longestWait);
    const WaitQueue::Ticket ticket = dispatcher->enqueue(job, queuedAt, [this, &job] {
        if (tryReservePlace(job))
            job.queueTimer->cancel();
    });
    boost::system::error_code ignored;
    co_await job.queueTimer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    dispatcher->removeFromQueue(job.service, ticket);
    job.queueTimer = nullptr;
    job.queueTime += std::chrono::duration_cast<Millis>(Clock::now() - queuedAt);
    if (job.callerGone) {
        // A place may have been reserved just before the caller left.
        if (const auto reserved = std::exchange(job.target, nullptr))
            dispatcher->cancelReservation(reserved->record.id, Clock::now());
        co_return DirectRefusal { 503, Reason::CallerGone, Outcome::NotRun, Millis(0) };
    }
    if (job.target)
        co_return std::nullopt;
    if (job.isCutOff)
        co_return DirectRefusal { 503, Reason::ShuttingDown, Outcome::NotRun, detail::rejectedRetryAfter };
    co_return DirectRefusal { 503, Reason::QueueTooLong, Outcome::NotRun, dispatcher->retryAfter(job, Clock::now()) };
}

bool DirectEntry::State::mayRetry(DirectJob& job, const DirectAttemptResult& result)
{
    // Attempts that endpoints rejected without running them may exceed the route's maximum by this many,
    // and those that reached no endpoint by more, since they are over at once.
    constexpr uint32_t maxExtraRejected = 2;
    constexpr uint32_t maxExtraUnsent = 8;
    if (job.callerGone || job.isCutOff || Clock::now() >= job.deadline || result.reason == Reason::CallerGone)
        return false;
    const bool isIdempotent = job.route->idempotency == Idempotency::Idempotent;
    if (result.outcome != Outcome::NotRun && !isIdempotent)
        return false;
    if (job.crashedAttempts >= detail::maxCrashedAttempts || refusalForCrashes(job, Clock::now()))
        return false;
    if (job.streamBegun && (!job.route->resumable || job.events.lastId().empty()))
        return false;
    const uint32_t maxSent = job.route->maxAttempts + maxExtraRejected;
    if (job.acceptedAttempts >= job.route->maxAttempts || job.sentAttempts >= maxSent || job.attempts >= maxSent + maxExtraUnsent)
        return false;
    if (!job.sentAttempts)
        return true;
    const TimePoint now = Clock::now();
    const bool isGranted = job.isRetryCharged = retries.tryRetry(job.service, now);
    if (!isGranted)
        metrics.count("orioletrail_retries_denied_total");
    log(LogLevel::Info, isGranted ? "retry granted" : "retry denied",
        { { "request", job.caller.id }, { "service", job.service }, { "reason", std::string(reasonName(result.reason)) }, { "attempts", std::to_string(job.attempts) },
            { "balance", std::to_string(retries.balance(job.service, now)) } });
    return isGranted;
}

Task<> DirectEntry::State::finishFailed(Responder& responder, DirectJob& job, const DirectAttemptResult& result)
{
    if (job.streamBegun) {
        metrics.count("orioletrail_broken_streams_total");
        logRequestEnd(job, 0, result.reason, Outcome::MayHaveRun);
        responder.abort();
        co_return;
    }
    if (result.answer && !(job.mayHaveRun && result.outcome == Outcome::NotRun)) {
        logRequestEnd(job, result.answer->status, result.reason, result.outcome);
        co_await responder.respond(*result.answer);
        co_return;
    }
    DirectAttemptResult overall = result;
    if (job.mayHaveRun)
        overall.outcome = Outcome::MayHaveRun;
    co_await refuse(responder, job, detail::refusalOf(overall));
}

Task<> DirectEntry::State::refuse(Responder& responder, DirectJob& job, const DirectRefusal& refusal)
{
    metrics.countRefusal(refusal.reason, refusal.outcome);
    logRequestEnd(job, refusal.status, refusal.reason, refusal.outcome);
    const HttpResponse answer = refusalAnswer(job.caller.id, refusal);
    co_await responder.respond(answer);
}

HttpResponse DirectEntry::State::refusalAnswer(std::string_view requestId, const DirectRefusal& refusal) const
{
    const boost::json::object problem { { "type", "about:blank" }, { "title", "request refused" }, { "status", refusal.status },
        { "reason", reasonName(refusal.reason) }, { "run", outcomeName(refusal.outcome) } };
    HttpResponse answer { refusal.status, { { "Content-Type", "application/problem+json" } }, boost::json::serialize(problem) };
    setRequestId(answer.headers, requestId);
    if (refusal.retryAfter > Millis(0)) {
        constexpr double millisPerSecond = 1000;
        std::array<char, 32> seconds {};
        std::snprintf(seconds.data(), seconds.size(), "%.3f", static_cast<double>(refusal.retryAfter.count()) / millisPerSecond);
        answer.headers.emplace_back("Retry-After", seconds.data());
    }
    return answer;
}

void DirectEntry::State::logRequestEnd(const DirectJob& job, unsigned status, Reason reason, Outcome outcome) const
{
    const auto duration = std::chrono::duration_cast<Millis>(Clock::now() - job.received);
    const auto number = [](auto value) { return std::to_string(value); };
    log(LogLevel::Info, outcome == Outcome::Answered ? "request answered" : "request refused",
        { { "request", job.caller.id }, { "route", job.route ? job.route->name : "" }, { "account", job.account },
            { "service", job.service }, { "endpoint", job.tried.empty() ? "" : job.tried.back() },
            { "group", job.tried.empty() ? "" : dispatcher->groupNameOf(job.tried.back(), Clock::now()) }, { "attempts", number(job.attempts) },
            { "status", number(status) }, { "reason", std::string(reasonName(reason)) }, { "run", std::string(outcomeName(outcome)) },
            { "waitedMs", number(job.queueTime.count()) }, { "tookMs", number(duration.count()) },
            { "timeLeftMs", number(job.caller.timeLeft.value_or(Millis(0)).count()) },
            { "configuration", number(job.catalog ? job.catalog->version() : 0) }, { "framing", std::string(bodyFramingName(job.framing)) },
            { "lastEvent", job.events.lastId() }, { "partialEventBytes", number(job.events.remainder().size()) },
            { "savedTokens", number(job.partDecision.savedTokens) }, { "movedForParts", job.partDecision.wasMoved ? "true" : "false" } });
}

} // namespace orioletrail
