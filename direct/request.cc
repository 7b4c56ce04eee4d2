// From a caller's request to its final answer.
#include "direct/state.h"
#include "telemetry/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr Millis defaultTimeLeft { 30'000 };
    // New requests are still served for so long after SIGTERM; later ones could not end in time.
    constexpr Millis servedWhileStopping { 3000 };
    // An instance that has just started knows the system after some hundred milliseconds.
    constexpr Millis startRetryAfter { 500 };
    constexpr Millis noEndpointRetryAfter { 1000 };
    constexpr Millis rejectedRetryAfter { 200 };
    // A first byte before any was seen: a short prompt's reading and one pass of the engine.
    constexpr Millis assumedFirstByte { 100 };
    // A caller whose time is shorter than the route's by more than this has used it elsewhere: the
    // shortest time to come back, less that of a new connection.
    constexpr Millis returnedMargin { 60 };
    // Callers leave a stream whose first event takes longer than the longest of these.
    constexpr Millis leastPatience { 2000 };
    constexpr int patienceObjectives = 4;
    constexpr int patienceGaps = 8;
    // Share of a late caller's patience that may be spent on waiting for a place.
    constexpr double waitShareOfPatience = 0.4;

    // How long after its arrival a request is still of use to its caller if nothing has come.
    Millis patienceOf(const Route& route, Millis timeLeft)
    {
        const Millis whole = std::min(timeLeft, route.timeout);
        if (!route.streaming)
            return whole;
        return std::min(whole, std::max({ leastPatience, patienceObjectives * route.objective, patienceGaps * route.gapObjective }));
    }
    // Requests that an endpoint of a plain service may hold for each of its slots: they queue
    // there for about as long as one takes.
    constexpr double plainLoadPerSlot = 2;
    // Share of a route's time that the events of a usual answer may take; others are up to twice as
    // long, and some of the time has passed before the first event.
    constexpr double answerShareOfTimeout = 0.7;
    // Weight of the latest first event in their moving average: about the last ten count.
    constexpr double latestFirstEvent = 0.1;

    DirectRefusal refusalOf(const DirectResult& result)
    {
        if (result.outcome == Outcome::NotRun)
            return { 503, result.reason, Outcome::NotRun, rejectedRetryAfter };
        return { result.reason == Reason::Deadline ? 504U : 502U, result.reason, Outcome::MayHaveRun, Millis(0) };
    }

} // namespace detail

Task<> DirectEntry::State::handle(const HttpRequest& request, Responder& responder)
{
    auto job = std::make_shared<DirectJob>();
    job->caller = decodeCaller(request);
    metrics.count("orioletrail_requests_total");
    if (const std::optional<DirectRefusal> refusal = resolve(request, *job)) {
        co_await refuse(responder, *job, *refusal);
        co_return;
    }
    responder.onCallerGone([job] {
        job->callerGone = true;
        if (job->token)
            job->token->cancel();
        if (job->wait)
            job->wait->cancel();
    });
    retries.onRequest(job->service, job->received);
    if (const ServiceProfile* service = job->catalog->findService(job->service); service && job->route->streaming)
        services[job->service].profile = paceProfile(*job->route, *service);
    co_await attemptUntilAnswered(request, responder, *job);
}

std::optional<DirectRefusal> DirectEntry::State::resolve(const HttpRequest& request, DirectJob& job)
{
    if (!beliefs.catalog)
        return DirectRefusal { 503, Reason::NoConfiguration, Outcome::NotRun, detail::startRetryAfter };
    if (stoppingSince && job.received - *stoppingSince > detail::servedWhileStopping)
        return DirectRefusal { 503, Reason::ShuttingDown, Outcome::NotRun, detail::rejectedRetryAfter };
    job.catalog = beliefs.catalog;
    job.route = job.catalog->findRoute(job.caller.host, request.path());
    if (!job.route)
        return DirectRefusal { 404, Reason::UnknownRoute, Outcome::NotRun, Millis(0) };
    const AccountProfile* account = job.catalog->findAccount(job.caller.key);
    if (!account && !job.route->open && job.catalog->hasAccounts())
        return DirectRefusal { 401, Reason::Unauthorized, Outcome::NotRun, Millis(0) };
    job.priority = job.route->priority;
    if (account) {
        job.account = account->name;
        job.priority = account->priority.value_or(job.priority);
    }
    job.deadline = job.received + std::min(job.caller.timeLeft.value_or(detail::defaultTimeLeft), job.route->timeout);
    chooseService(job);
    if (poison.size() && poison.verdict(digestOf(request, job), job.received) == PoisonVerdict::Refuse)
        return DirectRefusal { 422, Reason::Poisoned, Outcome::NotRun, Millis(0) };
    return std::nullopt;
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
        const std::optional<DirectRefusal> refusal = co_await findPlace(job);
        if (refusal) {
            DirectRefusal told = *refusal;
            if (job.mayHaveRun)
                told = { 502, refusal->reason, Outcome::MayHaveRun, Millis(0) };
            if (job.begun)
                responder.abort();
            else
                co_await refuse(responder, job, told);
            co_return;
        }
        const DirectResult result = co_await attempt(request, responder, job);
        if (result.outcome == Outcome::Answered)
            co_return;
        if (!mayRetry(job, result)) {
            co_await finish(responder, job, result);
            co_return;
        }
        metrics.countRetry(result.reason);
    }
}

PlaceChoice DirectEntry::State::place(const DirectJob& job, std::vector<std::shared_ptr<Target>>& open)
{
    const TimePoint now = Clock::now();
    const ServiceProfile* service = beliefs.catalog->findService(job.service);
    const double loadPerSlot = service && service->engine ? 1 : detail::plainLoadPerSlot;
    const double coldPerSecond = service ? service->coldPerSecond : 0;
    double sumFirstByte = 0;
    size_t seen = 0;
    for (const auto& [id, target] : targets) {
        if (target->record.service != job.service)
            continue;
        open.push_back(target);
        const auto firstByte = static_cast<double>(health.firstByte(id).count());
        sumFirstByte += firstByte;
        seen += firstByte > 0;
    }
    std::vector<PlaceOption> options;
    for (const auto& target : open) {
        const EndpointRecord& record = target->record;
        PlaceOption option;
        option.endpoint = record.id;
        option.zone = record.zone;
        option.load = loads.estimate(record.id, now);
        option.limit = loadPerSlot * record.slots;
        // All wait for what a slow engine holds.
        if (const double factor = slownessOf(record.id); factor < silentSlowness)
            option.limit = std::max(1.0, option.limit / factor);
        const auto firstByte = static_cast<double>(health.firstByte(record.id).count());
        if (service && !service->engine && firstByte > 0 && sumFirstByte > 0)
            option.slowness = firstByte * static_cast<double>(seen) / sumFirstByte;
        else if (service && service->engine)
            option.slowness = slownessOf(record.id);
        option.failureShare = health.failureShare(record.id);
        option.closed = record.leaving || beliefs.closedZones.contains(record.zone)
            || (now < record.coldUntil && coldPerSecond > 0 && !coldLimit.mayTake(record.id, coldPerSecond, instanceCount(), now));
        option.avoided = health.isAvoided(record.id, !job.route || job.route->repeat == RepeatRule::Idempotent, now);
        option.tried = std::find(job.tried.begin(), job.tried.end(), record.id) != job.tried.end();
        options.push_back(option);
    }
    if (service && service->engine && !job.attempts && isPaceReached(job.service, open))
        return { open.empty() ? PlaceFailure::NoneOpen : PlaceFailure::AllFull, 0 };
    return placeRequest(options, platform.zone);
}

PaceProfile DirectEntry::State::paceProfile(const Route& route, const ServiceProfile& service) const
{
    PaceProfile profile;
    if (!service.engine)
        return profile;
    profile.stepsPerPass = service.engine->stride;
    profile.stepMs = service.engine->stepMs;
    profile.perStreamMs = service.engine->perSequenceMs;
    profile.gapObjectiveMs = static_cast<double>(route.gapObjective.count());
    if (const auto state = services.find(service.name); state != services.end() && state->second.usualEvents > 0)
        profile.bearableGapMs = detail::answerShareOfTimeout * static_cast<double>(route.timeout.count()) / state->second.usualEvents;
    for (const auto& [id, target] : targets) {
        if (target->record.service != service.name)
            continue;
        profile.slots = std::max(profile.slots, static_cast<double>(target->record.slots));
        // One that is silent gets no requests; how slow it is is not known.
        if (const double factor = slownessOf(id); factor < silentSlowness)
            profile.slowest = std::max(profile.slowest, factor);
    }
    return profile;
}

double DirectEntry::State::meanStreams(const std::string& service) const
{
    const TimePoint now = Clock::now();
    double total = 0;
    size_t count = 0;
    for (const auto& [id, target] : targets) {
        if (target->record.service != service)
            continue;
        total += loads.estimate(id, now);
        ++count;
    }
    return count ? total / static_cast<double>(count) : 0;
}

bool DirectEntry::State::isPaceReached(const std::string& service, const std::vector<std::shared_ptr<Target>>& open)
{
    ServiceState& state = services[service];
    if (open.empty() || state.profile.gapObjectiveMs <= 0)
        return false;
    return meanStreams(service) + 1 / static_cast<double>(open.size()) > state.pace.streamsPerEndpoint(state.profile);
}

void DirectEntry::State::onEvents(DirectJob& job, TimePoint sent)
{
    ServiceState& state = services[job.service];
    const TimePoint now = Clock::now();
    const double sinceLast = std::chrono::duration<double, std::milli>(now - (job.begun ? job.lastEventAt : sent)).count();
    job.lastEventAt = now;
    ++job.pieces;
    if (job.begun)
        state.pace.onGap(sinceLast, meanStreams(job.service), state.profile, now);
    else
        state.firstEventMs += detail::latestFirstEvent * (sinceLast - state.firstEventMs);
}

bool DirectEntry::State::reserve(DirectJob& job)
{
    std::vector<std::shared_ptr<Target>> open;
    const PlaceChoice placement = place(job, open);
    if (placement.failure != PlaceFailure::None)
        return false;
    job.target = open[placement.index];
    loads.onSent(job.target->record.id);
    if (Clock::now() < job.target->record.coldUntil)
        coldLimit.onSent(job.target->record.id, Clock::now());
    return true;
}

bool DirectEntry::State::hasPlace(const std::string& service)
{
    DirectJob any;
    any.service = service;
    std::vector<std::shared_ptr<Target>> open;
    return place(any, open).failure == PlaceFailure::None;
}

void DirectEntry::State::wakeWaiting(const std::string& service)
{
    WaitQueue& queue = services[service].queue;
    while (queue.size() && hasPlace(service))
        queue.wakeFirst();
}

WaitRequest DirectEntry::State::waitRequest(const DirectJob& job)
{
    const TimePoint now = Clock::now();
    WaitRequest wait;
    wait.priority = job.priority;
    const Millis whole = job.caller.timeLeft.value_or(job.route->timeout);
    wait.returned = job.attempts > 0 || whole + detail::returnedMargin < job.route->timeout;
    wait.untilLate = std::chrono::duration_cast<Millis>(job.received + job.route->objective - now);
    wait.untilGivenUp = std::chrono::duration_cast<Millis>(job.received + detail::patienceOf(*job.route, whole) * detail::waitShareOfPatience - now);
    wait.firstByte = std::max(detail::assumedFirstByte, Millis(static_cast<Millis::rep>(services[job.service].firstEventMs)));
    wait.shareOfPlaces = shareOfPlaces(job.service);
    return wait;
}

double DirectEntry::State::shareOfPlaces(const std::string& service)
{
    const ServiceState& state = services[service];
    if (state.heldMs <= 0)
        return 1;
    double places = 0;
    size_t endpoints = 0;
    for (const auto& [id, target] : targets) {
        if (target->record.service != service || target->record.leaving || beliefs.closedZones.contains(target->record.zone))
            continue;
        places += target->record.slots;
        ++endpoints;
    }
    if (state.profile.gapObjectiveMs > 0)
        places = std::min(places, static_cast<double>(endpoints) * state.pace.streamsPerEndpoint(state.profile));
    constexpr double millisPerSecond = 1000;
    return places * millisPerSecond / state.heldMs / static_cast<double>(loads.livePeers(Clock::now()) + 1);
}

Task<std::optional<DirectRefusal>> DirectEntry::State::findPlace(DirectJob& job)
{
    std::vector<std::shared_ptr<Target>> open;
    WaitQueue& queue = services[job.service].queue;
    const PlaceChoice placement = place(job, open);
    if (placement.failure == PlaceFailure::None && (!queue.size() || job.attempts > 0) && reserve(job))
        co_return std::nullopt;
    if (placement.failure == PlaceFailure::NoneOpen)
        co_return DirectRefusal { 503, Reason::NoEndpoint, Outcome::NotRun, detail::noEndpointRetryAfter };
    const WaitRequest wait = waitRequest(job);
    const TimePoint from = Clock::now();
    const WaitDecision decision = queue.decide(wait, from);
    if (!decision.mayWait)
        co_return DirectRefusal { 503, Reason::QueueTooLong, Outcome::NotRun, decision.retryAfter };
    job.wait = std::make_shared<asio::steady_timer>(traffic);
    job.wait->expires_after(WaitQueue::longestWait(wait));
    const WaitQueue::Ticket ticket = queue.push(wait, [this, &job] {
        if (reserve(job))
            job.wait->cancel();
    });
    boost::system::error_code ignored;
    co_await job.wait->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    queue.remove(ticket);
    job.wait = nullptr;
    job.waited += std::chrono::duration_cast<Millis>(Clock::now() - from);
    if (job.callerGone) {
        // Its turn may have come as the caller left.
        if (const auto reserved = std::exchange(job.target, nullptr))
            loads.onEnded(reserved->record.id);
        co_return DirectRefusal { 503, Reason::CallerGone, Outcome::NotRun, Millis(0) };
    }
    if (job.target)
        co_return std::nullopt;
    co_return DirectRefusal { 503, Reason::QueueTooLong, Outcome::NotRun, queue.decide(wait, Clock::now()).retryAfter };
}

bool DirectEntry::State::mayRetry(DirectJob& job, const DirectResult& result)
{
    // Attempts that endpoints rejected without running them, beyond those that the route allows.
    constexpr uint32_t mostRejected = 2;
    if (job.callerGone || Clock::now() >= job.deadline || result.reason == Reason::CallerGone)
        return false;
    const bool repeatable = job.route->repeat == RepeatRule::Idempotent;
    if (result.outcome != Outcome::NotRun && !repeatable)
        return false;
    if (job.begun && (!job.route->resumable || job.events.lastId().empty()))
        return false;
    if (job.accepted >= job.route->maxAttempts || job.attempts >= job.route->maxAttempts + mostRejected)
        return false;
    // A connection that was never made costs the endpoints nothing.
    if (result.reason == Reason::Unreachable && result.outcome == Outcome::NotRun)
        return true;
    if (retries.tryRetry(job.service, Clock::now()))
        return true;
    metrics.count("orioletrail_retries_denied_total");
    return false;
}

Task<> DirectEntry::State::finish(Responder& responder, DirectJob& job, const DirectResult& result)
{
    if (job.begun) {
        metrics.count("orioletrail_broken_streams_total");
        logEnd(job, 0, result.reason, Outcome::MayHaveRun);
        responder.abort();
        co_return;
    }
    if (result.answer && !(job.mayHaveRun && result.outcome == Outcome::NotRun)) {
        logEnd(job, result.answer->status, result.reason, result.outcome);
        co_await responder.respond(*result.answer);
        co_return;
    }
    DirectResult told = result;
    if (job.mayHaveRun)
        told.outcome = Outcome::MayHaveRun;
    co_await refuse(responder, job, detail::refusalOf(told));
}

Task<> DirectEntry::State::refuse(Responder& responder, DirectJob& job, const DirectRefusal& refusal)
{
    metrics.countRefusal(refusal.reason, refusal.outcome);
    logEnd(job, refusal.status, refusal.reason, refusal.outcome);
    const HttpAnswer answer = refusalAnswer(job.caller.id, refusal);
    co_await responder.respond(answer);
}

HttpAnswer DirectEntry::State::refusalAnswer(std::string_view requestId, const DirectRefusal& refusal) const
{
    const boost::json::object problem { { "type", "about:blank" }, { "title", "request refused" }, { "status", refusal.status },
        { "reason", reasonName(refusal.reason) }, { "run", outcomeName(refusal.outcome) } };
    HttpAnswer answer { refusal.status, { { "Content-Type", "application/problem+json" } }, boost::json::serialize(problem) };
    setRequestId(answer.headers, requestId);
    if (refusal.retryAfter > Millis(0)) {
        constexpr double millisPerSecond = 1000;
        std::array<char, 32> seconds {};
        std::snprintf(seconds.data(), seconds.size(), "%.3f", static_cast<double>(refusal.retryAfter.count()) / millisPerSecond);
        answer.headers.emplace_back("Retry-After", seconds.data());
    }
    return answer;
}

void DirectEntry::State::logEnd(const DirectJob& job, unsigned status, Reason reason, Outcome outcome) const
{
    const auto took = std::chrono::duration_cast<Millis>(Clock::now() - job.received);
    const auto number = [](auto value) { return std::to_string(value); };
    log(LogLevel::Info, outcome == Outcome::Answered ? "request answered" : "request refused",
        { { "request", job.caller.id }, { "route", job.route ? job.route->name : "" }, { "account", job.account },
            { "service", job.service }, { "endpoint", job.tried.empty() ? "" : job.tried.back() }, { "attempts", number(job.attempts) },
            { "status", number(status) }, { "reason", std::string(reasonName(reason)) }, { "run", std::string(outcomeName(outcome)) },
            { "waitedMs", number(job.waited.count()) }, { "tookMs", number(took.count()) },
            { "timeLeftMs", number(job.caller.timeLeft.value_or(Millis(0)).count()) },
            { "configuration", number(job.catalog ? job.catalog->version() : 0) } });
}

} // namespace orioletrail
