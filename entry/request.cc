// Handles a caller's request: checks, choice of endpoints, attempts and the answer.
#include "base/digest.h"
#include "entry/state.h"
#include "gateway/async.h"
#include "ledger/record.h"
#include "telemetry/log.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr std::string_view servicesPrefix = "/services/";
    // Length of the prompt prefix that selects the preferred endpoint. Prompts that share it go to
    // the same endpoint and so reuse its prefix cache.
    constexpr size_t affinityPromptBytes = 256;
    // Answers up to this size are buffered: the caller gets them whole or not at all, and a failed
    // attempt can be retried. Event streams are never buffered.
    constexpr size_t maxBufferedBytes = 1024 * 1024;
    // The cache of token digests is cleared when it holds this many.
    constexpr size_t maxTokenDigests = 10'000;
    constexpr size_t maxKeyBytes = 256;
    constexpr size_t maxRequestIdBytes = 128;
    // How long a request with an idempotency key waits for a credit of the endpoint that owns its
    // ledger shard. After that any endpoint may run it and take over the shard.
    constexpr Millis ledgerOwnerTimeout { 100 };
    constexpr Millis freshnessPollInterval { 10 };
    constexpr std::string_view eventStream = "text/event-stream";

    unsigned httpStatusFor(Reason reason, Outcome outcome)
    {
        switch (reason) {
        case Reason::AccountLimit:
        case Reason::FairShare:
            return 429;
        case Reason::KeyReused:
        case Reason::Poisoned:
            return 422;
        case Reason::KeyInProgress:
        case Reason::KeyExpired:
            return 409;
        case Reason::Deadline:
            return 504;
        default:
            return outcome == Outcome::MayHaveRun ? 502 : 503;
        }
    }

    int64_t currentUnixMinute()
    {
        return std::chrono::duration_cast<std::chrono::minutes>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::string_view retryAdvice(const Refusal& refusal)
    {
        if (refusal.outcome == Outcome::MayHaveRun)
            return "the request may have run; ask the service for its outcome before sending it again";
        return "the request did not run and may be sent again";
    }

    unsigned retryAfterSeconds(Reason reason)
    {
        constexpr unsigned shortDelay = 1;
        constexpr unsigned longDelay = 5;
        return reason == Reason::PlatformDown || reason == Reason::NoConfiguration || reason == Reason::LedgerFull ? longDelay : shortDelay;
    }

    Refusal makeRefusal(const AttemptResult& result)
    {
        return { httpStatusFor(result.reason, result.outcome), result.reason, result.outcome, {} };
    }

    bool isPrintable(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
    }

    // The messages or the prompt of a completion request as JSON text, or an empty string.
    std::string serializedPrompt(const boost::json::object& body)
    {
        if (const auto* messages = body.if_contains("messages"))
            return boost::json::serialize(*messages);
        const auto* prompt = body.if_contains("prompt");
        return prompt ? boost::json::serialize(*prompt) : std::string();
    }

} // namespace detail

Task<> Entry::State::handleRequest(const HttpRequest& request, Responder& responder)
{
    RequestContext context;
    context.requestNumber = ++lastRequestNumber;
    const std::string_view callerId = request.header("X-Request-Id");
    const bool isValidId = !callerId.empty() && callerId.size() <= detail::maxRequestIdBytes && detail::isPrintable(callerId);
    context.requestId = isValidId ? std::string(callerId) : format(AttemptId { incarnation, context.requestNumber, 0 });
    metrics.count("orioletrail_requests_total");
    const TimePoint receivedAt = context.receivedAt;
    contexts.insert(&context);
    co_await admitAndForward(request, responder, context);
    contexts.erase(&context);
    if (!context.trial.empty())
        trials.onEnded(context.trial);
    addToHistory(std::move(context));
    metrics.observeLatency("orioletrail_request_seconds", Clock::now() - receivedAt);
}

void Entry::State::addToHistory(RequestContext&& context)
{
    context.historyRecord.requestId = std::move(context.requestId);
    context.historyRecord.account = std::move(context.account);
    context.historyRecord.service = std::move(context.service);
    context.historyRecord.idempotent = context.idempotent;
    requestHistory.add(std::move(context.historyRecord));
}

// A process that resumes after being suspended usually gets a fresh configuration within
// milliseconds, so a short wait avoids a needless refusal.
Task<> Entry::State::waitForFreshConfig()
{
    const TimePoint until = Clock::now() + settings.queueTimeout;
    while (view.config->revision && !view.mayAcceptWork(Clock::now()) && Clock::now() < until)
        co_await sleepFor(detail::freshnessPollInterval);
}

Task<> Entry::State::admitAndForward(const HttpRequest& request, Responder& responder, RequestContext& context)
{
    co_await waitForFreshConfig();
    std::optional<Refusal> refusal = authenticate(request, context);
    if (!refusal)
        refusal = parseRequest(request, context);
    if (!refusal)
        refusal = checkDrain(context, false);
    if (!refusal) {
        context.contentDigest = std::to_string(hash64(request.body, hash64(context.target, hash64(context.service))));
        refusal = checkAdmission(context);
    }
    if (refusal) {
        co_await sendRefusal(responder, context, *refusal);
        co_return;
    }
    responder.onClientDisconnect([this, &context] {
        context.callerGone = true;
        if (context.stream) {
            metrics.count("orioletrail_callers_gone_total");
            context.link->cancelAttempt(context.attemptId);
            context.stream->fail(Outcome::MayHaveRun, Reason::CallerGone);
        }
        queueWakeup.cancel();
    });
    co_await forwardWithRetries(request, responder, context);
    fairShare.finish(context.account, context.service);
}

std::optional<Refusal> Entry::State::authenticate(const HttpRequest& request, RequestContext& context)
{
    if (!view.mayAcceptWork(Clock::now()))
        return Refusal { 503, Reason::NoConfiguration, Outcome::NotRun, "no current configuration" };
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = request.header("Authorization");
    if (!value.starts_with(scheme))
        return Refusal { 401, Reason::Unauthorized, Outcome::NotRun, "a bearer token is required" };
    const std::string_view token = value.substr(scheme.size());
    auto digest = tokenDigests.find(token);
    if (digest == tokenDigests.end()) {
        if (tokenDigests.size() >= detail::maxTokenDigests)
            tokenDigests.clear();
        digest = tokenDigests.emplace(std::string(token), sha256Hex(token)).first;
    }
    const auto account = view.config->accountsByToken.find(digest->second);
    if (account == view.config->accountsByToken.end())
        return Refusal { 401, Reason::Unauthorized, Outcome::NotRun, "unknown bearer token" };
    context.account = account->second.name;
    context.accountLimit = account->second.maxInFlight;
    return std::nullopt;
}

std::optional<Refusal> Entry::State::parseRequest(const HttpRequest& request, RequestContext& context)
{
    Millis deadline = settings.defaultDeadline;
    if (const std::string_view text = request.header("X-Deadline-Ms"); !text.empty()) {
        int64_t millis = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), millis);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || millis < 1 || millis > settings.maxDeadline.count())
            return Refusal { 400, Reason::BadRequest, Outcome::NotRun,
                "X-Deadline-Ms must be a whole number from 1 to " + std::to_string(settings.maxDeadline.count()) };
        deadline = Millis(millis);
    }
    context.deadline = context.receivedAt + deadline;
    context.idempotencyKey = std::string(request.header("Idempotency-Key"));
    if (context.idempotencyKey.size() > detail::maxKeyBytes)
        return Refusal { 400, Reason::BadRequest, Outcome::NotRun, "Idempotency-Key is longer than 256 bytes" };
    const std::string_view path = request.path();
    if (path == "/v1/chat/completions" || path == "/v1/completions")
        return parseModelCall(request, context);
    if (path.starts_with(detail::servicesPrefix))
        return parseServiceCall(request, context);
    return Refusal { 404, Reason::UnknownRoute, Outcome::NotRun, "no such path" };
}

std::optional<Refusal> Entry::State::parseModelCall(const HttpRequest& request, RequestContext& context)
{
    if (request.method != "POST")
        return Refusal { 405, Reason::MethodNotAllowed, Outcome::NotRun, "use POST" };
    boost::system::error_code error;
    const boost::json::value body = boost::json::parse(request.body, error);
    const boost::json::value* model = !error && body.is_object() ? body.get_object().if_contains("model") : nullptr;
    if (!model || !model->is_string())
        return Refusal { 400, Reason::BadRequest, Outcome::NotRun,
            error ? "body is not JSON: " + error.message() : "body needs a string field \"model\"" };
    context.service = std::string(model->get_string());
    const auto service = view.config->services.find(context.service);
    if (service == view.config->services.end() || service->second.kind != ServiceKind::Model)
        return Refusal { 404, Reason::UnknownRoute, Outcome::NotRun, "no model is named \"" + context.service + '"' };
    context.target = request.target;
    context.idempotent = true;
    context.affinity = hash64(detail::serializedPrompt(body.get_object()).substr(0, detail::affinityPromptBytes), hash64(context.account)) | 1;
    return std::nullopt;
}

std::optional<Refusal> Entry::State::parseServiceCall(const HttpRequest& request, RequestContext& context)
{
    const std::string_view serviceAndPath = std::string_view(request.target).substr(detail::servicesPrefix.size());
    const size_t nameEnd = std::min(serviceAndPath.find_first_of("/?"), serviceAndPath.size());
    context.service = std::string(serviceAndPath.substr(0, nameEnd));
    context.target = std::string(serviceAndPath.substr(nameEnd));
    if (!context.target.starts_with('/'))
        context.target.insert(0, "/");
    const auto service = view.config->services.find(context.service);
    if (service == view.config->services.end() || service->second.kind != ServiceKind::Plain)
        return Refusal { 404, Reason::UnknownRoute, Outcome::NotRun, "no service is named \"" + context.service + '"' };
    const std::string path = context.target.substr(0, context.target.find('?'));
    const Rule* rule = view.config->findRule(context.service, request.method, path);
    context.idempotent = rule && rule->idempotent;
    if (rule && rule->requireKey && context.idempotencyKey.empty())
        return Refusal { 400, Reason::KeyRequired, Outcome::NotRun, "this request needs an Idempotency-Key" };
    return std::nullopt;
}

std::optional<Refusal> Entry::State::checkAdmission(RequestContext& context)
{
    const TimePoint now = Clock::now();
    if (std::optional<Refusal> refusal = checkPoison(context, now))
        return refusal;
    const auto entries = static_cast<uint32_t>(view.config->instances.size());
    const Reason reason = fairShare.admit({ context.account, context.service, context.accountLimit, entries, serviceCapacity(context.service) });
    if (reason != Reason::None)
        return Refusal { 429, reason, Outcome::NotRun, {} };
    retryBudget.onRequest(context.service, now);
    accountRetryBudget.onRequest(context.account, now);
    return std::nullopt;
}

std::optional<Refusal> Entry::State::checkPoison(RequestContext& context, TimePoint now)
{
    if (!poisonRecords.size())
        return std::nullopt;
    for (const auto& [name, instance] : view.config->instances)
        if (!instance.leaving)
            trials.onInstance(name, now);
    const std::span<const std::string> digests(&context.contentDigest, 1);
    const SuspectDecision decision = trials.decide(poisonRecords, digests, now);
    if (decision == SuspectDecision::Refuse)
        return Refusal { 422, Reason::Poisoned, Outcome::NotRun, "endpoints died while running this request" };
    if (decision == SuspectDecision::Hold)
        return Refusal { 503, Reason::Poisoned, Outcome::NotRun, "endpoints died while running this request; it is being tried" };
    context.trial = trials.onBegun(poisonRecords, digests, now);
    context.runAlone = poisonRecords.verdict(context.contentDigest, now) != PoisonVerdict::Run;
    return std::nullopt;
}

std::optional<Refusal> Entry::State::checkDrain(const RequestContext& context, bool isTaken) const
{
    if (!drainPlan)
        return std::nullopt;
    // The ledger keeps a request with a key from running twice, so its caller may repeat it too.
    const bool isRepeatable = context.idempotent || !context.idempotencyKey.empty();
    const DrainRequest request { context.deadline, answerTimes.mostTake(context.service), isRepeatable };
    const TimePoint now = Clock::now();
    if (!isClosing && !context.isCutOff && (isTaken ? drainPlan->maySend(request, now) : drainPlan->mayTake(request, now)))
        return std::nullopt;
    return Refusal { 503, Reason::ShuttingDown, Outcome::NotRun, {} };
}

Task<> Entry::State::forwardWithRetries(const HttpRequest& request, Responder& responder, RequestContext& context)
{
    AttemptResult result { Outcome::NotRun, Reason::NoCapacity };
    while (true) {
        context.link = co_await waitForLink(context);
        if (context.callerGone) {
            result = { Outcome::NotRun, Reason::CallerGone };
            break;
        }
        if (const std::optional<Refusal> refusal = checkDrain(context, true)) {
            if (!context.attemptCount)
                result = { refusal->outcome, refusal->reason };
            break;
        }
        if (!context.link) {
            // After a failed attempt, report its reason rather than the lack of another endpoint.
            if (!context.attemptCount)
                result = { Outcome::NotRun, Clock::now() >= context.deadline ? Reason::Deadline : Reason::NoCapacity };
            break;
        }
        result = co_await runAttempt(request, responder, context);
        onAttemptEnded(context, result);
        if (result.outcome == Outcome::Answered)
            co_return;
        if (!shouldRetry(context, result))
            break;
        metrics.countRetry(result.reason);
    }
    if (context.answerStarted) {
        metrics.countRefusal(result.reason, Outcome::MayHaveRun);
        refusals.onRefusal(detail::currentUnixMinute(), context.service, result.reason, Outcome::MayHaveRun);
        context.historyRecord.reason = result.reason;
        context.historyRecord.outcome = Outcome::MayHaveRun;
        metrics.count("orioletrail_broken_streams_total");
        co_await responder.chunk("event: error\ndata: {\"error\":{\"message\":\"the answer is incomplete\",\"reason\":\"" + std::string(reasonName(result.reason)) + "\"}}\n\n");
        responder.abort();
    } else {
        if (context.mayHaveRun)
            result.outcome = Outcome::MayHaveRun;
        co_await sendRefusal(responder, context, detail::makeRefusal(result));
    }
}

std::shared_ptr<SidecarLink> Entry::State::ledgerOwnerLink(const RequestContext& context)
{
    const std::string shard = ledgerObjectKey(context.service, shardOfLedgerKey(ledgerKey(context.account, context.idempotencyKey)));
    std::shared_ptr<SidecarLink> best;
    uint64_t bestScore = 0;
    for (const auto& [name, link] : links) {
        const auto endpoint = view.config->endpoints.find(name);
        const bool eligible = endpoint != view.config->endpoints.end() && endpoint->second.service == context.service
            && !endpoint->second.leaving && !view.config->isZoneOut(endpoint->second.zone) && link->isOpen()
            && std::find(context.triedEndpoints.begin(), context.triedEndpoints.end(), name) == context.triedEndpoints.end();
        const uint64_t score = rendezvousScore(shard, name);
        if (eligible && (!best || score > bestScore)) {
            best = link;
            bestScore = score;
        }
    }
    return best;
}

std::shared_ptr<SidecarLink> Entry::State::chooseLink(const RequestContext& context)
{
    if (!context.idempotent && !context.idempotencyKey.empty()) {
        std::shared_ptr<SidecarLink> owner = ledgerOwnerLink(context);
        if (!owner || owner->credits())
            return owner;
        if (Clock::now() - context.receivedAt < detail::ledgerOwnerTimeout)
            return nullptr;
    }
    std::vector<Candidate> candidates;
    std::vector<std::shared_ptr<SidecarLink>> candidateLinks;
    for (const auto& [name, link] : links) {
        const auto endpoint = view.config->endpoints.find(name);
        if (endpoint == view.config->endpoints.end() || endpoint->second.service != context.service)
            continue;
        const bool closed = !link->isOpen() || endpoint->second.leaving || view.config->isZoneOut(endpoint->second.zone);
        const bool tried = std::find(context.triedEndpoints.begin(), context.triedEndpoints.end(), name) != context.triedEndpoints.end();
        candidates.push_back({ name, endpoint->second.zone, link->inFlight(), link->credits(), closed, tried });
        candidateLinks.push_back(link);
    }
    const std::optional<size_t> index = chooseEndpoint(candidates, { context.affinity, settings.zone, context.runAlone });
    return index ? candidateLinks[*index] : nullptr;
}

bool Entry::State::allEndpointsTried(const RequestContext& context) const
{
    if (context.triedEndpoints.empty())
        return false;
    return std::all_of(links.begin(), links.end(), [&](const auto& item) {
        const auto endpoint = view.config->endpoints.find(item.first);
        return endpoint == view.config->endpoints.end() || endpoint->second.service != context.service
            || std::find(context.triedEndpoints.begin(), context.triedEndpoints.end(), item.first) != context.triedEndpoints.end();
    });
}

Task<std::shared_ptr<SidecarLink>> Entry::State::waitForLink(RequestContext& context)
{
    std::shared_ptr<SidecarLink> link = view.mayAcceptWork(Clock::now()) ? chooseLink(context) : nullptr;
    const TimePoint until = std::min(context.deadline, Clock::now() + settings.queueTimeout);
    // Once every endpoint has been tried, all but the last one may be tried again.
    if (!link && allEndpointsTried(context))
        context.triedEndpoints = { context.triedEndpoints.back() };
    if (link || queuedTotal >= settings.queueLimit)
        co_return link;
    ++queuedByService[context.service];
    ++queuedTotal;
    updateCreditDemand();
    while (!link && !context.callerGone && !context.isCutOff && Clock::now() < until) {
        boost::system::error_code ignored;
        co_await queueWakeup.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        link = view.mayAcceptWork(Clock::now()) ? chooseLink(context) : nullptr;
    }
    --queuedTotal;
    --queuedByService[context.service];
    co_return link;
}

Task<AttemptResult> Entry::State::runAttempt(const HttpRequest& request, Responder& responder, RequestContext& context)
{
    const std::shared_ptr<SidecarLink> link = context.link;
    OpenAttempt open;
    open.id = { incarnation, context.requestNumber, context.attemptCount++ };
    open.account = context.account;
    open.service = context.service;
    open.method = request.method;
    open.target = context.target;
    for (const auto& header : endToEndHeaders(request.headers))
        if (header.first != "Authorization" && !boost::iequals(header.first, requestIdHeader))
            open.headers.push_back(header);
    open.headers.emplace_back(std::string(requestIdHeader), context.requestId);
    open.body = request.body;
    open.deadlineMs = static_cast<uint32_t>(std::max<Millis::rep>(1, std::chrono::duration_cast<Millis>(context.deadline - Clock::now()).count()));
    open.idempotent = context.idempotent;
    open.digest = context.contentDigest;
    open.runAlone = context.runAlone;
    open.idempotencyKey = context.idempotent ? std::string() : context.idempotencyKey;
    context.attemptId = open.id;
    context.triedEndpoints.push_back(link->endpoint());
    context.sentAt = Clock::now();
    context.stream = link->openAttempt(std::move(open));
    // The sidecar enforces the deadline; the margin leaves time for its reply to arrive.
    constexpr Millis replyMargin { 250 };
    std::optional<Frame> head = co_await context.stream->nextFrame(context.deadline + replyMargin);
    AttemptResult result { Outcome::MayHaveRun, Reason::Deadline };
    if (head && head->kind == FrameKind::Failed)
        result = { head->outcome, head->reason };
    else if (head && head->kind == FrameKind::Head)
        result = co_await receiveAnswer(responder, context, std::move(*head));
    if (head)
        link->acknowledge(context.attemptId, context.stream->expectedNumber());
    if (result.outcome == Outcome::MayHaveRun)
        link->cancelAttempt(context.attemptId);
    link->removeAttempt(context.attemptId);
    result.isFailedHere = context.stream->isFailedHere();
    context.stream = nullptr;
    co_return result;
}

Task<AttemptResult> Entry::State::receiveAnswer(Responder& responder, RequestContext& context, Frame head)
{
    HttpResponse answer { static_cast<unsigned>(head.value), std::move(head.headers), {} };
    answer.headers.emplace_back("X-Request-Id", context.requestId);
    if (findHeader(answer.headers, "Content-Type").starts_with(detail::eventStream))
        return streamAnswer(responder, context, std::move(answer));
    return bufferAnswer(responder, context, std::move(answer));
}

Task<AttemptResult> Entry::State::streamAnswer(Responder& responder, RequestContext& context, HttpResponse received)
{
    context.answerStarted = true;
    context.historyRecord.status = received.status;
    co_await responder.begin(received.status, received.headers);
    uint64_t bytes = received.body.size();
    std::string data = std::move(received.body);
    while (true) {
        if (!co_await responder.chunk(data))
            co_return AttemptResult { Outcome::MayHaveRun, Reason::CallerGone };
        std::optional<Frame> frame = co_await context.stream->nextFrame(context.deadline);
        if (!frame)
            co_return AttemptResult { Outcome::MayHaveRun, Reason::Deadline };
        if (frame->kind == FrameKind::Failed)
            co_return AttemptResult { Outcome::MayHaveRun, frame->reason };
        if (frame->kind == FrameKind::End) {
            if (frame->value != bytes)
                co_return AttemptResult { Outcome::MayHaveRun, Reason::Truncated };
            co_await responder.end();
            co_return AttemptResult { Outcome::Answered, Reason::None };
        }
        uint32_t nextNumber = frame->number + 1;
        data = std::move(frame->data);
        // Forward all chunks that have already arrived in one write.
        while (context.stream->nextFrameIsChunk()) {
            frame = co_await context.stream->nextFrame(context.deadline);
            nextNumber = frame->number + 1;
            data += frame->data;
        }
        bytes += data.size();
        context.link->acknowledge(context.attemptId, nextNumber);
    }
}

Task<AttemptResult> Entry::State::bufferAnswer(Responder& responder, RequestContext& context, HttpResponse answer)
{
    while (answer.body.size() <= detail::maxBufferedBytes) {
        std::optional<Frame> frame = co_await context.stream->nextFrame(context.deadline);
        if (!frame)
            co_return AttemptResult { Outcome::MayHaveRun, Reason::Deadline };
        if (frame->kind == FrameKind::Failed)
            co_return AttemptResult { Outcome::MayHaveRun, frame->reason };
        if (frame->kind == FrameKind::End) {
            if (frame->value != answer.body.size())
                co_return AttemptResult { Outcome::MayHaveRun, Reason::Truncated };
            context.historyRecord.status = answer.status;
            co_await responder.respond(answer);
            co_return AttemptResult { Outcome::Answered, Reason::None };
        }
        answer.body += frame->data;
        context.link->acknowledge(context.attemptId, frame->number + 1);
    }
    // Too large to buffer: stream what has arrived and the rest.
    co_return co_await streamAnswer(responder, context, std::move(answer));
}

bool Entry::State::shouldRetry(const RequestContext& context, const AttemptResult& result)
{
    if (poisonRecords.verdict(context.contentDigest, Clock::now()) == PoisonVerdict::Refuse)
        return false;
    if (context.answerStarted || context.callerGone || context.isCutOff || context.attemptCount >= settings.maxAttempts || Clock::now() >= context.deadline)
        return false;
    if (result.outcome == Outcome::MayHaveRun && !context.idempotent)
        return false;
    switch (result.reason) {
    case Reason::Poisoned:
    case Reason::KeyReused:
    case Reason::KeyExpired:
    case Reason::KeyInProgress:
    case Reason::BodyTooLarge:
    case Reason::PlatformDown:
    case Reason::LedgerFull:
        return false;
    default:
        // A request that did not run was rejected by a sidecar and has not reached an endpoint.
        if (result.outcome == Outcome::NotRun || takeRetry(context))
            return true;
        metrics.count("orioletrail_retries_denied_total");
        return false;
    }
}

bool Entry::State::takeRetry(const RequestContext& context)
{
    const TimePoint now = Clock::now();
    return accountRetryBudget.hasRoom(context.account, now) && retryBudget.tryRetry(context.service, now) && accountRetryBudget.tryRetry(context.account, now);
}

void Entry::State::onAttemptEnded(RequestContext& context, const AttemptResult& result)
{
    context.historyRecord.attempts.push_back({ context.attemptId, context.triedEndpoints.back(), result.outcome, result.reason,
        std::chrono::duration_cast<Millis>(Clock::now() - context.receivedAt) });
    context.mayHaveRun = context.mayHaveRun || result.outcome == Outcome::MayHaveRun;
    if (result.outcome == Outcome::Answered) {
        context.historyRecord.outcome = Outcome::Answered;
        refusals.onAnswer(detail::currentUnixMinute(), context.service);
        answerTimes.onAnswered(context.service, std::chrono::duration_cast<Millis>(Clock::now() - context.sentAt));
        if (poisonRecords.onCompleted(context.contentDigest, Clock::now()))
            sendPoisonReport(context.contentDigest);
    } else if (result.outcome == Outcome::MayHaveRun && result.reason == Reason::EndpointDied) {
        context.runAlone = true;
        // A sidecar reports the death itself, unless it has ended too.
        if (result.isFailedHere)
            onSidecarEnded(context);
    }
    if (isLogged(LogLevel::Debug))
        log(LogLevel::Debug, "attempt ended", { { "request", context.requestId }, { "attempt", format(context.attemptId) }, { "run", std::string(outcomeName(result.outcome)) }, { "reason", std::string(reasonName(result.reason)) } });
}

void Entry::State::onSidecarEnded(const RequestContext& context)
{
    const TimePoint now = Clock::now();
    const uint64_t process = hash64(context.triedEndpoints.back(), context.link->peerIncarnation());
    const uint32_t deaths = poisonRecords.onDeath(context.contentDigest, { process, context.sentAt, now }, now);
    log(LogLevel::Warning, "request lost because its endpoint ended", { { "request", context.requestId }, { "digest", context.contentDigest }, { "endpoint", context.triedEndpoints.back() }, { "deaths", std::to_string(deaths) } });
    sendPoisonReport(context.contentDigest);
}

void Entry::State::onPoisonReport(const PoisonReport& report)
{
    if (!poisonRecords.merge(toPoisonEvidence(report), Clock::now()))
        return;
    log(LogLevel::Warning, "deaths of a request reported", { { "digest", report.digest }, { "deaths", std::to_string(poisonRecords.deathCount(report.digest)) } });
    sendPoisonReport(report.digest);
}

void Entry::State::sendPoisonReport(std::string_view digest)
{
    const PoisonReport report = toPoisonReport(poisonRecords.evidence(digest, Clock::now()));
    for (const auto& [name, link] : links)
        link->send(report);
}

Task<> Entry::State::sendRefusal(Responder& responder, RequestContext& context, const Refusal& refusal)
{
    context.historyRecord.status = refusal.status;
    context.historyRecord.reason = refusal.reason;
    context.historyRecord.outcome = refusal.outcome;
    metrics.countRefusal(refusal.reason, refusal.outcome);
    refusals.onRefusal(detail::currentUnixMinute(), context.service, refusal.reason, refusal.outcome);
    if (isLogged(LogLevel::Info))
        log(LogLevel::Info, "request refused", { { "request", context.requestId }, { "account", context.account }, { "service", context.service }, { "reason", std::string(reasonName(refusal.reason)) }, { "run", std::string(outcomeName(refusal.outcome)) } });
    co_await responder.respond(makeRefusalAnswer(context.requestId, refusal));
}

HttpResponse Entry::State::makeRefusalAnswer(std::string_view requestId, const Refusal& refusal)
{
    const std::string_view reason = reasonName(refusal.reason);
    boost::json::object problem { { "type", "about:blank" }, { "title", "request refused" }, { "status", refusal.status },
        { "reason", reason }, { "run", outcomeName(refusal.outcome) },
        { "detail", refusal.detail.empty() ? detail::retryAdvice(refusal) : std::string_view(refusal.detail) } };
    HttpResponse answer { refusal.status, { { "Content-Type", "application/problem+json" } }, boost::json::serialize(problem) };
    if (!requestId.empty())
        answer.headers.emplace_back("X-Request-Id", requestId);
    if (refusal.outcome == Outcome::NotRun && refusal.status >= 429)
        answer.headers.emplace_back("Retry-After", std::to_string(detail::retryAfterSeconds(refusal.reason)));
    return answer;
}

} // namespace orioletrail
