// From a caller's request to its answer or refusal.
#include "base/digest.h"
#include "entry/state.h"
#include "gateway/async.h"
#include "ledger/record.h"
#include "telemetry/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr std::string_view servicesPrefix = "/services/";
    // Prompt bytes that decide which endpoint's cache is preferred.
    constexpr size_t affinityBytes = 256;
    // Answers up to this size reach the caller whole or not at all, event streams excepted.
    constexpr size_t collectBytes = 1024 * 1024;
    constexpr size_t maxTokenDigests = 10'000;
    constexpr size_t maxKeyBytes = 256;
    constexpr size_t maxRequestIdBytes = 128;
    // How long a keyed request waits for the owner of its ledger shard before another may take over.
    constexpr Millis ownerWait { 100 };
    constexpr Millis freshPause { 10 };
    constexpr std::string_view eventStream = "text/event-stream";

    unsigned statusOf(Reason reason, Outcome outcome)
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

    int64_t unixMinute()
    {
        return std::chrono::duration_cast<std::chrono::minutes>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::string_view adviceFor(const Refusal& refusal)
    {
        if (refusal.outcome == Outcome::MayHaveRun)
            return "the request may have run; ask the service for its outcome before sending it again";
        return "the request did not run and may be sent again";
    }

    unsigned retryAfterSeconds(Reason reason)
    {
        constexpr unsigned soon = 1;
        constexpr unsigned later = 5;
        return reason == Reason::PlatformDown || reason == Reason::NoConfiguration || reason == Reason::LedgerFull ? later : soon;
    }

    Refusal refusalOf(const AttemptResult& result)
    {
        return { statusOf(result.reason, result.outcome), result.reason, result.outcome, {} };
    }

    bool isPrintable(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
    }

    // The text by which similar prompts are known.
    std::string promptOf(const boost::json::object& body)
    {
        if (const auto* messages = body.if_contains("messages"))
            return boost::json::serialize(*messages);
        const auto* prompt = body.if_contains("prompt");
        return prompt ? boost::json::serialize(*prompt) : std::string();
    }

} // namespace detail

Task<> Entry::State::handle(const HttpRequest& request, Responder& responder)
{
    Job job;
    job.number = ++nextRequest;
    const std::string_view given = request.header("X-Request-Id");
    const bool usable = !given.empty() && given.size() <= detail::maxRequestIdBytes && detail::isPrintable(given);
    job.requestId = usable ? std::string(given) : format(AttemptId { startNumber, job.number, 0 });
    metrics.count("orioletrail_requests_total");
    const TimePoint received = job.received;
    co_await serve(request, responder, job);
    remember(std::move(job));
    metrics.observe("orioletrail_request_seconds", Clock::now() - received);
}

void Entry::State::remember(Job&& job)
{
    job.note.requestId = std::move(job.requestId);
    job.note.account = std::move(job.account);
    job.note.service = std::move(job.service);
    job.note.idempotent = job.idempotent;
    history.add(std::move(job.note));
}

// A process that was frozen learns what is in force within moments of its resumption.
Task<> Entry::State::waitUntilFresh()
{
    const TimePoint until = Clock::now() + settings.queueTimeout;
    while (view.config->revision && !view.mayAct(Clock::now()) && Clock::now() < until)
        co_await sleepFor(detail::freshPause);
}

Task<> Entry::State::serve(const HttpRequest& request, Responder& responder, Job& job)
{
    co_await waitUntilFresh();
    std::optional<Refusal> refusal = authenticate(request, job);
    if (!refusal)
        refusal = parse(request, job);
    if (!refusal) {
        job.digest = std::to_string(hash64(request.body, hash64(job.target, hash64(job.service))));
        refusal = admit(job);
    }
    if (refusal) {
        co_await refuse(responder, job, *refusal);
        co_return;
    }
    responder.onCallerGone([this, &job] {
        job.callerGone = true;
        if (job.stream) {
            metrics.count("orioletrail_callers_gone_total");
            job.link->cancel(job.attempt);
            job.stream->fail(Outcome::MayHaveRun, Reason::CallerGone);
        }
        creditWake.cancel();
    });
    co_await attemptUntilAnswered(request, responder, job);
    fairness.finish(job.account, job.service);
}

std::optional<Refusal> Entry::State::authenticate(const HttpRequest& request, Job& job)
{
    if (!view.mayAct(Clock::now()))
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
    job.account = account->second.name;
    job.maxInFlight = account->second.maxInFlight;
    return std::nullopt;
}

std::optional<Refusal> Entry::State::parse(const HttpRequest& request, Job& job)
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
    job.deadline = job.received + deadline;
    job.key = std::string(request.header("Idempotency-Key"));
    if (job.key.size() > detail::maxKeyBytes)
        return Refusal { 400, Reason::BadRequest, Outcome::NotRun, "Idempotency-Key is longer than 256 bytes" };
    const std::string_view path = request.path();
    if (path == "/v1/chat/completions" || path == "/v1/completions")
        return parseModelCall(request, job);
    if (path.starts_with(detail::servicesPrefix))
        return parseServiceCall(request, job);
    return Refusal { 404, Reason::UnknownRoute, Outcome::NotRun, "no such path" };
}

std::optional<Refusal> Entry::State::parseModelCall(const HttpRequest& request, Job& job)
{
    if (request.method != "POST")
        return Refusal { 405, Reason::MethodNotAllowed, Outcome::NotRun, "use POST" };
    boost::system::error_code error;
    const boost::json::value body = boost::json::parse(request.body, error);
    const boost::json::value* model = !error && body.is_object() ? body.get_object().if_contains("model") : nullptr;
    if (!model || !model->is_string())
        return Refusal { 400, Reason::BadRequest, Outcome::NotRun,
            error ? "body is not JSON: " + error.message() : "body needs a string field \"model\"" };
    job.service = std::string(model->get_string());
    const auto service = view.config->services.find(job.service);
    if (service == view.config->services.end() || service->second.kind != ServiceKind::Model)
        return Refusal { 404, Reason::UnknownRoute, Outcome::NotRun, "no model is named \"" + job.service + '"' };
    job.target = request.target;
    job.idempotent = true;
    job.affinity = hash64(detail::promptOf(body.get_object()).substr(0, detail::affinityBytes), hash64(job.account)) | 1;
    return std::nullopt;
}

std::optional<Refusal> Entry::State::parseServiceCall(const HttpRequest& request, Job& job)
{
    const std::string_view rest = std::string_view(request.target).substr(detail::servicesPrefix.size());
    const size_t slash = std::min(rest.find_first_of("/?"), rest.size());
    job.service = std::string(rest.substr(0, slash));
    job.target = std::string(rest.substr(slash));
    if (!job.target.starts_with('/'))
        job.target.insert(0, "/");
    const auto service = view.config->services.find(job.service);
    if (service == view.config->services.end() || service->second.kind != ServiceKind::Plain)
        return Refusal { 404, Reason::UnknownRoute, Outcome::NotRun, "no service is named \"" + job.service + '"' };
    const std::string path = job.target.substr(0, job.target.find('?'));
    const Rule* rule = view.config->findRule(job.service, request.method, path);
    job.idempotent = rule && rule->idempotent;
    if (rule && rule->requireKey && job.key.empty())
        return Refusal { 400, Reason::KeyRequired, Outcome::NotRun, "this request needs an Idempotency-Key" };
    return std::nullopt;
}

std::optional<Refusal> Entry::State::admit(Job& job)
{
    const TimePoint now = Clock::now();
    if (poison.size()) {
        const PoisonVerdict verdict = poison.verdict(job.digest, now);
        if (verdict == PoisonVerdict::Refuse)
            return Refusal { 422, Reason::Poisoned, Outcome::NotRun, "endpoints died while running this request" };
        job.alone = verdict == PoisonVerdict::RunAlone;
    }
    const auto entries = static_cast<uint32_t>(view.config->instances.size());
    const Reason reason = fairness.admit({ job.account, job.service, job.maxInFlight, entries, capacityOf(job.service) });
    if (reason == Reason::None)
        return std::nullopt;
    return Refusal { 429, reason, Outcome::NotRun, {} };
}

Task<> Entry::State::attemptUntilAnswered(const HttpRequest& request, Responder& responder, Job& job)
{
    AttemptResult result { Outcome::NotRun, Reason::NoCapacity };
    while (true) {
        job.link = co_await waitForLink(job);
        if (job.callerGone) {
            result = { Outcome::NotRun, Reason::CallerGone };
            break;
        }
        if (!job.link) {
            // The reason of an earlier attempt says more than that no other endpoint was free.
            if (!job.attempts)
                result = { Outcome::NotRun, Clock::now() >= job.deadline ? Reason::Deadline : Reason::NoCapacity };
            break;
        }
        result = co_await attempt(request, responder, job);
        onAttemptEnded(job, result);
        if (result.outcome == Outcome::Answered)
            co_return;
        if (!mayRetry(job, result))
            break;
        metrics.countRetry(result.reason);
    }
    if (job.begun) {
        metrics.countRefusal(result.reason, Outcome::MayHaveRun);
        refusals.onRefusal(detail::unixMinute(), job.service, result.reason, Outcome::MayHaveRun);
        job.note.reason = result.reason;
        job.note.outcome = Outcome::MayHaveRun;
        metrics.count("orioletrail_broken_streams_total");
        co_await responder.chunk("event: error\ndata: {\"error\":{\"message\":\"the answer is incomplete\",\"reason\":\"" + std::string(reasonName(result.reason)) + "\"}}\n\n");
        responder.abort();
    } else {
        if (job.mayHaveRun)
            result.outcome = Outcome::MayHaveRun;
        co_await refuse(responder, job, detail::refusalOf(result));
    }
}

std::shared_ptr<Link> Entry::State::ledgerOwner(const Job& job)
{
    const std::string shard = ledgerObject(job.service, ledgerShard(ledgerKey(job.account, job.key)));
    std::shared_ptr<Link> best;
    uint64_t bestScore = 0;
    for (const auto& [name, link] : links) {
        const auto endpoint = view.config->endpoints.find(name);
        const bool usable = endpoint != view.config->endpoints.end() && endpoint->second.service == job.service
            && !endpoint->second.leaving && !view.config->isZoneOut(endpoint->second.zone) && link->isOpen()
            && std::find(job.tried.begin(), job.tried.end(), name) == job.tried.end();
        const uint64_t score = rendezvousScore(shard, name);
        if (usable && (!best || score > bestScore)) {
            best = link;
            bestScore = score;
        }
    }
    return best;
}

std::shared_ptr<Link> Entry::State::chooseLink(const Job& job)
{
    if (!job.idempotent && !job.key.empty()) {
        std::shared_ptr<Link> owner = ledgerOwner(job);
        if (!owner || owner->credits())
            return owner;
        if (Clock::now() - job.received < detail::ownerWait)
            return nullptr;
    }
    std::vector<Candidate> candidates;
    std::vector<std::shared_ptr<Link>> chosen;
    for (const auto& [name, link] : links) {
        const auto endpoint = view.config->endpoints.find(name);
        if (endpoint == view.config->endpoints.end() || endpoint->second.service != job.service)
            continue;
        const bool closed = !link->isOpen() || endpoint->second.leaving || view.config->isZoneOut(endpoint->second.zone);
        const bool tried = std::find(job.tried.begin(), job.tried.end(), name) != job.tried.end();
        candidates.push_back({ name, endpoint->second.zone, link->inFlight(), link->credits(), closed, tried });
        chosen.push_back(link);
    }
    const std::optional<size_t> index = chooseEndpoint(candidates, { job.affinity, settings.zone, job.alone });
    return index ? chosen[*index] : nullptr;
}

bool Entry::State::wasTriedEverywhere(const Job& job) const
{
    if (job.tried.empty())
        return false;
    return std::all_of(links.begin(), links.end(), [&](const auto& item) {
        const auto endpoint = view.config->endpoints.find(item.first);
        return endpoint == view.config->endpoints.end() || endpoint->second.service != job.service
            || std::find(job.tried.begin(), job.tried.end(), item.first) != job.tried.end();
    });
}

Task<std::shared_ptr<Link>> Entry::State::waitForLink(Job& job)
{
    std::shared_ptr<Link> link = view.mayAct(Clock::now()) ? chooseLink(job) : nullptr;
    const TimePoint until = std::min(job.deadline, Clock::now() + settings.queueTimeout);
    if (!link && wasTriedEverywhere(job))
        job.tried = { job.tried.back() };
    if (link || waitingTotal >= settings.queueLimit)
        co_return link;
    ++waiting[job.service];
    ++waitingTotal;
    updateWants();
    while (!link && !job.callerGone && Clock::now() < until) {
        creditWake.expires_at(until);
        boost::system::error_code ignored;
        co_await creditWake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        link = view.mayAct(Clock::now()) ? chooseLink(job) : nullptr;
    }
    --waitingTotal;
    --waiting[job.service];
    co_return link;
}

Task<AttemptResult> Entry::State::attempt(const HttpRequest& request, Responder& responder, Job& job)
{
    const std::shared_ptr<Link> link = job.link;
    Open open;
    open.id = { startNumber, job.number, job.attempts++ };
    open.account = job.account;
    open.service = job.service;
    open.method = request.method;
    open.target = job.target;
    for (const auto& header : endToEndHeaders(request.headers))
        if (header.first != "Authorization")
            open.headers.push_back(header);
    open.headers.emplace_back("X-Request-Id", job.requestId);
    open.body = request.body;
    open.deadlineMs = static_cast<uint32_t>(std::max<Millis::rep>(1, std::chrono::duration_cast<Millis>(job.deadline - Clock::now()).count()));
    open.idempotent = job.idempotent;
    open.digest = job.digest;
    open.alone = job.alone;
    open.key = job.idempotent ? std::string() : job.key;
    job.attempt = open.id;
    job.tried.push_back(link->endpoint());
    job.stream = link->open(std::move(open));
    // The sidecar answers at the deadline itself; the margin covers the way back.
    constexpr Millis margin { 250 };
    std::optional<Frame> head = co_await job.stream->next(job.deadline + margin);
    AttemptResult result { Outcome::MayHaveRun, Reason::Deadline };
    if (head && head->kind == FrameKind::Failed)
        result = { head->outcome, head->reason };
    else if (head && head->kind == FrameKind::Head)
        result = co_await receive(responder, job, std::move(*head));
    if (head)
        link->ack(job.attempt, job.stream->expected());
    if (result.outcome == Outcome::MayHaveRun)
        link->cancel(job.attempt);
    link->forget(job.attempt);
    job.stream = nullptr;
    co_return result;
}

Task<AttemptResult> Entry::State::receive(Responder& responder, Job& job, Frame head)
{
    HttpAnswer answer { static_cast<unsigned>(head.value), std::move(head.headers), {} };
    answer.headers.emplace_back("X-Request-Id", job.requestId);
    if (findHeader(answer.headers, "Content-Type").starts_with(detail::eventStream))
        return passOn(responder, job, std::move(answer));
    return collect(responder, job, std::move(answer));
}

Task<AttemptResult> Entry::State::passOn(Responder& responder, Job& job, HttpAnswer begun)
{
    job.begun = true;
    job.note.status = begun.status;
    co_await responder.begin(begun.status, begun.headers);
    uint64_t bytes = begun.body.size();
    std::string data = std::move(begun.body);
    while (true) {
        if (!co_await responder.chunk(data))
            co_return AttemptResult { Outcome::MayHaveRun, Reason::CallerGone };
        std::optional<Frame> frame = co_await job.stream->next(job.deadline);
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
        uint32_t next = frame->number + 1;
        data = std::move(frame->data);
        // Chunks that are here already leave together.
        while (job.stream->nextIsChunk()) {
            frame = co_await job.stream->next(job.deadline);
            next = frame->number + 1;
            data += frame->data;
        }
        bytes += data.size();
        job.link->ack(job.attempt, next);
    }
}

Task<AttemptResult> Entry::State::collect(Responder& responder, Job& job, HttpAnswer answer)
{
    while (answer.body.size() <= detail::collectBytes) {
        std::optional<Frame> frame = co_await job.stream->next(job.deadline);
        if (!frame)
            co_return AttemptResult { Outcome::MayHaveRun, Reason::Deadline };
        if (frame->kind == FrameKind::Failed)
            co_return AttemptResult { Outcome::MayHaveRun, frame->reason };
        if (frame->kind == FrameKind::End) {
            if (frame->value != answer.body.size())
                co_return AttemptResult { Outcome::MayHaveRun, Reason::Truncated };
            job.note.status = answer.status;
            co_await responder.respond(answer);
            co_return AttemptResult { Outcome::Answered, Reason::None };
        }
        answer.body += frame->data;
        job.link->ack(job.attempt, frame->number + 1);
    }
    // Too large to keep whole: it reaches the caller in pieces from here on.
    co_return co_await passOn(responder, job, std::move(answer));
}

bool Entry::State::mayRetry(const Job& job, const AttemptResult& result)
{
    if (poison.verdict(job.digest, Clock::now()) == PoisonVerdict::Refuse)
        return false;
    if (job.begun || job.callerGone || job.attempts >= settings.maxAttempts || Clock::now() >= job.deadline)
        return false;
    if (result.outcome == Outcome::MayHaveRun && !job.idempotent)
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
        // A retry of what did not run adds no work to the endpoints.
        if (result.outcome == Outcome::NotRun || budget.tryRetry(job.account))
            return true;
        metrics.count("orioletrail_retries_denied_total");
        return false;
    }
}

void Entry::State::onAttemptEnded(Job& job, const AttemptResult& result)
{
    job.note.attempts.push_back({ job.attempt, job.tried.back(), result.outcome, result.reason,
        std::chrono::duration_cast<Millis>(Clock::now() - job.received) });
    job.mayHaveRun = job.mayHaveRun || result.outcome == Outcome::MayHaveRun;
    if (result.outcome == Outcome::Answered) {
        job.note.outcome = Outcome::Answered;
        refusals.onAnswer(detail::unixMinute(), job.service);
        budget.onSuccess(job.account);
        if (poison.size())
            poison.onCompleted(job.digest);
    } else if (result.outcome == Outcome::MayHaveRun && result.reason == Reason::EndpointDied) {
        const PoisonReport report { job.digest, poison.onDeath(job.digest, Clock::now()) };
        for (const auto& [name, link] : links)
            link->send(report);
        job.alone = true;
    } else if (result.reason == Reason::Poisoned) {
        poison.merge(job.digest, PoisonSettings {}.refuseAfter, Clock::now());
    }
    if (isLogged(LogLevel::Debug))
        log(LogLevel::Debug, "attempt ended", { { "request", job.requestId }, { "attempt", format(job.attempt) }, { "run", std::string(outcomeName(result.outcome)) }, { "reason", std::string(reasonName(result.reason)) } });
}

Task<> Entry::State::refuse(Responder& responder, Job& job, const Refusal& refusal)
{
    job.note.status = refusal.status;
    job.note.reason = refusal.reason;
    job.note.outcome = refusal.outcome;
    metrics.countRefusal(refusal.reason, refusal.outcome);
    refusals.onRefusal(detail::unixMinute(), job.service, refusal.reason, refusal.outcome);
    if (isLogged(LogLevel::Info))
        log(LogLevel::Info, "request refused", { { "request", job.requestId }, { "account", job.account }, { "service", job.service }, { "reason", std::string(reasonName(refusal.reason)) }, { "run", std::string(outcomeName(refusal.outcome)) } });
    co_await responder.respond(refusalAnswer(job.requestId, refusal));
}

HttpAnswer Entry::State::refusalAnswer(std::string_view requestId, const Refusal& refusal)
{
    const std::string_view reason = reasonName(refusal.reason);
    boost::json::object problem { { "type", "about:blank" }, { "title", "request refused" }, { "status", refusal.status },
        { "reason", reason }, { "run", outcomeName(refusal.outcome) },
        { "detail", refusal.detail.empty() ? detail::adviceFor(refusal) : std::string_view(refusal.detail) } };
    HttpAnswer answer { refusal.status, { { "Content-Type", "application/problem+json" } }, boost::json::serialize(problem) };
    if (!requestId.empty())
        answer.headers.emplace_back("X-Request-Id", requestId);
    if (refusal.outcome == Outcome::NotRun && refusal.status >= 429)
        answer.headers.emplace_back("Retry-After", std::to_string(detail::retryAfterSeconds(refusal.reason)));
    return answer;
}

} // namespace orioletrail
