// Sends a request to one endpoint and forwards the answer.
#include "base/digest.h"
#include "direct/state.h"
#include "gateway/async.h"
#include "platform/engine.h"
#include "telemetry/log.h"

namespace orioletrail {

namespace detail {

    constexpr std::string_view eventStreamType = "text/event-stream";
    // Endpoints close idle connections, and a request sent on a connection that is just being closed may
    // be lost. A connection that was used this recently is unlikely to be closed.
    constexpr Millis maxIdleForReuse { 4000 };
    constexpr Millis maxIdleForNonIdempotentReuse { 1000 };
    // Added to the timeout of a call, so that an answer that the endpoint sends at the deadline still
    // arrives.
    constexpr Millis deadlineMargin { 5 };
    // How long the end of an answer that ends with its connection may wait for each sign that the
    // endpoint's process has ended too.
    constexpr Millis listenCheckTimeout { 100 };
    constexpr int endChecks = 3;
    constexpr size_t maxStatusBytes = size_t { 16 } << 10;
    // An answer that is not a stream is kept until it is complete, so that none is passed on in part.
    constexpr size_t maxAnswerBytes = size_t { 2 } << 20;
    // Chunks of events after which an endpoint has begun to answer. A crash at the first of them may
    // still be the request's fault.
    constexpr uint32_t answeringChunks = 2;
    // How often an answer asks for memory again.
    constexpr Millis answerMemoryPause { 10 };
    constexpr size_t maxEventBytes = size_t { 256 } << 10;
    // An event that is not complete yet is copied as it grows.
    constexpr size_t eventCopies = 2;

    bool isSuccess(unsigned status)
    {
        constexpr unsigned hundreds = 100;
        return status / hundreds == 2;
    }

    bool isServerFailure(unsigned status)
    {
        return status >= 500;
    }

    std::string joinParts(std::span<const uint64_t> parts)
    {
        std::string text;
        for (const uint64_t part : parts)
            text += (text.empty() ? "" : " ") + std::to_string(part);
        return text;
    }

    Reason reasonFor(HttpFailure failure)
    {
        switch (failure) {
        case HttpFailure::None:
            return Reason::None;
        case HttpFailure::Connect:
            return Reason::Unreachable;
        case HttpFailure::Timeout:
            return Reason::Deadline;
        case HttpFailure::Cancelled:
            return Reason::CallerGone;
        case HttpFailure::BadResponse:
            return Reason::SpoiledAnswer;
        case HttpFailure::Truncated:
            return Reason::Truncated;
        case HttpFailure::ConnectionLost:
            break;
        }
        return Reason::ConnectionLost;
    }

} // namespace detail

Task<bool> DirectEntry::State::holdAnswer(Responder& responder, const DirectJob& job, size_t bytes)
{
    while (!responder.holdAnswer(bytes)) {
        if (Clock::now() >= job.deadline || job.callerGone || job.isCutOff) {
            metrics.count("orioletrail_answers_abandoned_total", "reason=\"memory\"");
            co_return false;
        }
        co_await sleepFor(detail::answerMemoryPause);
    }
    co_return true;
}

Task<DirectAttemptResult> DirectEntry::State::attempt(const HttpRequest& request, Responder& responder, DirectJob& job)
{
    const std::shared_ptr<Target> target = std::exchange(job.target, nullptr);
    const TimePoint sent = Clock::now();
    const auto timeLeft = std::max(Millis(1), std::chrono::duration_cast<Millis>(job.deadline - sent));
    ++job.attempts;
    job.tried.push_back(target->record.id);
    AttemptEnvelope envelope;
    envelope.endpoint = target->record.id;
    envelope.account = job.account;
    envelope.timeLeft = timeLeft;
    envelope.lastEventId = job.streamBegun ? job.events.lastId() : job.caller.lastEventId;
    const ServiceProfile* service = job.catalog->findService(job.service);
    if (service && service->engine && job.catalog->hasRoutePriorities(job.service))
        envelope.priority = job.priority;
    HttpCall call;
    call.request = makeEndpointRequest(request, envelope);
    call.timeout = timeLeft + detail::deadlineMargin;
    call.connectTimeout = settings.connectTimeout;
    call.maxIdle = job.route->idempotency == Idempotency::Idempotent ? detail::maxIdleForReuse : detail::maxIdleForNonIdempotentReuse;
    call.allowReuse = !job.caller.id.empty();
    call.token = job.cancelToken = std::make_shared<CancellationToken>();
    job.events.dropRemainder();
    EndpointHead head;
    HttpResponse answer;
    bool isStream = false;
    bool isCallerConnected = true;
    uint32_t chunks = 0;
    TimePoint firstByteAt = sent;
    HttpStreamHooks hooks;
    const std::shared_ptr<SilenceTimer> silenceTimer = startSilenceTimer(job, target);
    hooks.head = [&](unsigned status, const HeaderList& headers) -> Task<> {
        firstByteAt = Clock::now();
        silenceTimer->stop();
        head = decodeHead(status, headers);
        answer.status = status;
        answer.headers = endToEndHeaders(headers);
        isStream = detail::isSuccess(status) && head.isSigned && !head.hasContentEncoding
            && findHeader(headers, "Content-Type").starts_with(detail::eventStreamType);
        if (!head.wrongEndpoint)
            onLimitNamed(target->record.id, head);
        onNotices(target->record.id, head);
        if (head.load)
            dispatcher->onReported(target->record.id, head.load->running + head.load->waiting, firstByteAt);
        co_return;
    };
    hooks.chunk = [&](std::string_view bytes) -> Task<bool> {
        const size_t kept = isStream ? detail::eventCopies * job.events.remainder().size() : answer.body.size();
        if (!co_await holdAnswer(responder, job, kept + bytes.size()))
            co_return false;
        if (!isStream) {
            answer.body += bytes;
            co_return answer.body.size() <= detail::maxAnswerBytes;
        }
        const std::string events = job.events.push(bytes);
        if (events.empty() || !isCallerConnected)
            co_return job.events.remainder().size() <= detail::maxEventBytes;
        if (!chunks) {
            dispatcher->onPromptRead(job, target->record.id, Clock::now());
            onServing(*target, sent);
        }
        if (++chunks == detail::answeringChunks)
            crashParts.onAnswering(job.caller.promptParts, sent, Clock::now());
        onEvents(job, sent);
        if (!job.streamBegun) {
            job.streamBegun = true;
            metrics.observeLatency("orioletrail_first_event_seconds", Clock::now() - job.received);
            co_await responder.begin(answer.status, answer.headers);
        }
        isCallerConnected = co_await responder.chunk(events);
        if (!isCallerConnected)
            job.cancelToken->cancel();
        co_return job.events.remainder().size() <= detail::maxEventBytes;
    };
    hooks.isComplete = [&](BodyFraming framing) {
        const bool isEmpty = !job.streamBegun && job.events.remainder().empty();
        return !isStream || !(job.events.isWithinEvent() || (isEmpty && framing == BodyFraming::Connection));
    };
    HttpResult callResult = co_await target->client->stream(std::move(call), std::move(hooks));
    silenceTimer->stop();
    const bool isBrokenOff = callResult.failure == HttpFailure::ConnectionLost || callResult.failure == HttpFailure::Truncated;
    const bool mayBeCut = callResult.ok() && callResult.framing == BodyFraming::Connection && detail::isSuccess(answer.status);
    const bool mayHaveCrashed = isBrokenOff && !job.callerGone && chunks < detail::answeringChunks;
    const bool endpointEnded = (mayBeCut || mayHaveCrashed) && co_await hasEnded(target, mayBeCut && isStream);
    if (mayBeCut && endpointEnded)
        callResult.failure = HttpFailure::Truncated;
    job.framing = callResult.framing;
    dispatcher->onEnded(job.service, target->record.id, Clock::now());
    if (chunks)
        dispatcher->onPromptEnded(job, target->record.id, Clock::now());
    if (endpointEnded || (isBrokenOff && !job.callerGone))
        dispatcher->onPartsLost(target->record.id);
    if (callResult.droppedResponses)
        metrics.count("orioletrail_dropped_answers_total", {}, callResult.droppedResponses);
    DirectAttemptResult result;
    if (isStream && callResult.ok()) {
        // Empty lines and comments after the last event are forwarded too.
        const std::string remainder = job.events.remainder();
        if (!job.streamBegun) {
            job.streamBegun = true;
            co_await responder.begin(answer.status, answer.headers);
        }
        co_await responder.chunk(remainder);
        co_await responder.end();
        result.outcome = Outcome::Answered;
    } else {
        result = classifyAttempt(job, callResult, head, std::move(answer.body));
        if (silenceTimer->attemptCancelled && result.reason == Reason::CallerGone && !job.callerGone)
            result.reason = Reason::EndpointSilent;
        if (job.isCutOff && result.reason == Reason::CallerGone && !job.callerGone)
            result.reason = Reason::ShuttingDown;
        if (result.answer) {
            result.answer->status = answer.status;
            result.answer->headers = std::move(answer.headers);
        }
        if (result.outcome == Outcome::Answered)
            co_await responder.respond(*result.answer);
    }
    if (result.outcome == Outcome::Answered) {
        dispatcher->onAnswered(job.service, Clock::now() - sent, isStream ? job.eventChunks : 0);
        answerTimes.onAnswered(job.route->name, std::chrono::duration_cast<Millis>(Clock::now() - sent));
        metrics.observeLatency("orioletrail_answer_seconds", Clock::now() - job.received);
        logRequestEnd(job, answer.status, Reason::None, Outcome::Answered);
    }
    const bool failed = result.reason == Reason::EndpointFailed || result.reason == Reason::SpoiledAnswer;
    if (callResult.ok() && result.reason != Reason::WrongEndpoint)
        dispatcher->health().onAnswer(target->record.id, std::chrono::duration_cast<Millis>(firstByteAt - sent), failed, Clock::now());
    const bool isUnanswered = callResult.failure == HttpFailure::Timeout || silenceTimer->attemptCancelled;
    // A whole answer may just have ended with a leaving endpoint, which proves nothing against the request.
    const bool hasCrashed = endpointEnded && !(mayBeCut && target->record.leaving);
    const bool isLost = (isBrokenOff || isUnanswered || (mayBeCut && hasCrashed)) && !job.callerGone;
    for (const std::string& digest : job.digests) {
        if (result.outcome == Outcome::Answered)
            poison.onCompleted(digest, Clock::now());
        else if (isLost)
            crashes.onLost({ target->record.id, processOf(target->record), digest, sent, Clock::now() });
    }
    if (callResult.isRefused || hasCrashed)
        onEndpointEnded(target->record.id);
    updateOutages(*target, result, head, callResult.isRefused || hasCrashed, sent);
    result.endpointEnded = hasCrashed;
    result.isAnswering = chunks >= detail::answeringChunks;
    updateCrashParts(request, job, *target, result);
    onAttemptEnded(job, result, callResult, head);
    co_return result;
}

void DirectEntry::State::onNotices(const std::string& endpoint, const EndpointHead& head)
{
    if (head.isLeaving && dispatcher->onLeaving(endpoint)) {
        metrics.count("orioletrail_endpoint_notices_total", "notice=\"leaving\"");
        log(LogLevel::Info, "endpoint says that it is leaving", { { "endpoint", endpoint } });
    }
    if (head.pause <= Millis(0) || head.wrongEndpoint)
        return;
    dispatcher->onPause(endpoint, head.pause, Clock::now());
    metrics.count("orioletrail_endpoint_notices_total", "notice=\"pause\"");
    log(LogLevel::Info, "endpoint asks for a pause", { { "endpoint", endpoint }, { "pauseMs", std::to_string(head.pause.count()) } });
}

void DirectEntry::State::onLimitNamed(const std::string& endpoint, const EndpointHead& head)
{
    const auto count = [&](const char* event) { metrics.count("orioletrail_endpoint_limits_total", "event=\"" + std::string(event) + '"'); };
    if (!head.invalidLimit.empty()) {
        count("invalid");
        log(LogLevel::Warning, "invalid limit of an endpoint ignored", { { "endpoint", endpoint }, { "limit", head.invalidLimit } });
        return;
    }
    // An answer that may have been altered on the way lifts no limit.
    if (head.requestsPerSecond <= 0 && !head.isSigned && !head.notRun)
        return;
    if (!dispatcher->onLimitNamed(endpoint, head.requestsPerSecond, Clock::now()))
        return;
    count(head.requestsPerSecond > 0 ? "named" : "lifted");
    log(LogLevel::Info, "limit of an endpoint changed", { { "endpoint", endpoint }, { "perSecond", std::to_string(head.requestsPerSecond) }, { "instances", std::to_string(dispatcher->instanceCount(Clock::now())) } });
}

Task<bool> DirectEntry::State::hasEnded(std::shared_ptr<Target> target, bool askProcess)
{
    // A process that ends may still have its listening socket for a while, but it answers no more.
    for (int check = 0; check < detail::endChecks; ++check) {
        if (!co_await target->client->isListening(detail::listenCheckTimeout))
            co_return true;
        if (!askProcess)
            co_return false;
        HttpCall call;
        call.request = statusRequest();
        call.timeout = detail::listenCheckTimeout;
        call.maxBodyBytes = detail::maxStatusBytes;
        const HttpResult status = co_await target->client->call(std::move(call));
        if (status.ok()) {
            const auto start = decodeProcessStart(status.body);
            const uint64_t known = target->record.processStartMs;
            const bool isSameProcess = !start || !known || *start == known;
            co_return !isSameProcess;
        }
        if (status.failure == HttpFailure::Timeout)
            co_return false;
    }
    co_return false;
}

std::shared_ptr<SilenceTimer> DirectEntry::State::startSilenceTimer(DirectJob& job, const std::shared_ptr<Target>& target)
{
    auto silenceTimer = std::make_shared<SilenceTimer>(traffic);
    const ServiceProfile* service = snapshot.catalog->findService(job.service);
    // Engines run in groups, and a silent engine blocks all ranks of its group: another one would not
    // answer sooner.
    if (!service || service->engine)
        return silenceTimer;
    const TimePoint sent = Clock::now();
    silenceTimer->timer.expires_after(dispatcher->health().silenceLimit(target->record.id));
    silenceTimer->timer.async_wait([this, silenceTimer, &job, target, sent](boost::system::error_code error) {
        const std::string& endpoint = target->record.id;
        if (error || silenceTimer->isStopped || dispatcher->health().hasAnsweredSince(endpoint, sent))
            return;
        const TimePoint now = Clock::now();
        dispatcher->health().onSilent(endpoint, now);
        silenceTimer->attemptCancelled = mayTryAnother(job);
        log(LogLevel::Warning, "endpoint silent", { { "request", job.caller.id }, { "endpoint", endpoint }, { "silentMs", std::to_string(std::chrono::duration_cast<Millis>(now - sent).count()) }, { "asksAnother", silenceTimer->attemptCancelled ? "true" : "false" } });
        if (silenceTimer->attemptCancelled)
            job.cancelToken->cancel();
    });
    return silenceTimer;
}

bool DirectEntry::State::mayTryAnother(const DirectJob& job)
{
    if (job.route->idempotency != Idempotency::Idempotent || job.acceptedAttempts + 1 >= job.route->maxAttempts || !retries.hasRoom(job.service, Clock::now()))
        return false;
    return dispatcher->hasUntriedEndpoint(job, Clock::now());
}

void DirectEntry::State::onEndpointEnded(const std::string& endpoint)
{
    const TimePoint now = Clock::now();
    const auto age = [&](TimePoint time) { return std::to_string(std::chrono::duration_cast<Millis>(now - time).count()); };
    for (const CrashEvidence::LostRequest& lost : crashes.onEnded(endpoint, now)) {
        const uint32_t deaths = poison.onDeath(lost.digest, { lost.process, lost.sentAt, lost.lostAt }, now);
        metrics.count("orioletrail_request_deaths_total", "source=\"own\"");
        log(LogLevel::Warning, "request lost because its endpoint ended", { { "digest", lost.digest }, { "endpoint", endpoint }, { "process", std::to_string(lost.process) }, { "sentMsAgo", age(lost.sentAt) }, { "lostMsAgo", age(lost.lostAt) }, { "deaths", std::to_string(deaths) } });
    }
}

void DirectEntry::State::updateCrashParts(const HttpRequest& request, DirectJob& job, const Target& target, const DirectAttemptResult& result)
{
    const std::vector<uint64_t>& parts = job.caller.promptParts;
    if (result.outcome == Outcome::NotRun || parts.empty())
        return;
    const TimePoint now = Clock::now();
    if (!result.endpointEnded || result.isAnswering) {
        crashParts.onSurvived(parts, now);
        return;
    }
    ++job.crashedAttempts;
    const uint64_t crash = processOf(target.record);
    const uint64_t content = hash64(request.body, hash64(request.target));
    crashParts.onCrash(crash, { content, parts }, now);
}

void DirectEntry::State::onPartRefused(PartHash part, std::optional<double> chance, size_t crashCount)
{
    metrics.count("orioletrail_refused_parts_total", chance ? "source=\"own\"" : "source=\"peer\"");
    log(LogLevel::Warning, "part of prompts refused", { { "part", std::to_string(part) }, { "crashes", std::to_string(crashCount) }, { "chance", chance ? std::to_string(*chance) : "reported" } });
}

DirectAttemptResult DirectEntry::State::classifyAttempt(DirectJob& job, const HttpResult& callResult, const EndpointHead& head, std::string body)
{
    DirectAttemptResult result;
    if (!callResult.ok()) {
        result.reason = detail::reasonFor(callResult.failure);
        result.outcome = callResult.failure == HttpFailure::Connect ? Outcome::NotRun : Outcome::MayHaveRun;
        if (job.callerGone)
            result.reason = Reason::CallerGone;
        return result;
    }
    if (head.notRun) {
        result.outcome = Outcome::NotRun;
        result.reason = head.wrongEndpoint ? Reason::WrongEndpoint : Reason::EndpointRefused;
        return result;
    }
    // A stream that has begun can only go on with events.
    if (head.hasContentEncoding || job.streamBegun || (detail::isSuccess(callResult.status) && !head.isSigned)) {
        result.reason = Reason::SpoiledAnswer;
        return result;
    }
    // The endpoint does not say that it has not run the request, so its status must not promise that to the caller.
    if (promisesNotRun(callResult.status) && job.route->idempotency == Idempotency::NonIdempotent) {
        result.reason = Reason::EndpointFailed;
        return result;
    }
    result.answer = HttpResponse { callResult.status, {}, std::move(body) };
    if (detail::isServerFailure(callResult.status)) {
        result.reason = Reason::EndpointFailed;
        return result;
    }
    result.outcome = Outcome::Answered;
    return result;
}

void DirectEntry::State::onAttemptEnded(DirectJob& job, const DirectAttemptResult& result, const HttpResult& callResult, const EndpointHead& head)
{
    const std::string& endpoint = job.tried.back();
    const TimePoint now = Clock::now();
    if (const auto target = targets.find(endpoint); target != targets.end())
        onRejected(*target->second, head);
    const bool wasSent = callResult.failure != HttpFailure::Connect;
    if (!wasSent && job.isRetryCharged)
        retries.refund(job.service, now);
    job.isRetryCharged = false;
    if (wasSent && job.sentAttempts++)
        metrics.count("orioletrail_repeat_arrivals_total", Metrics::label("service", job.service) + ',' + Metrics::label("reason", reasonName(job.lastReason)));
    job.lastReason = result.reason;
    if (result.outcome != Outcome::NotRun)
        ++job.acceptedAttempts;
    job.mayHaveRun = job.mayHaveRun || result.outcome == Outcome::MayHaveRun;
    if (!callResult.ok() && !job.callerGone && callResult.failure != HttpFailure::Timeout)
        dispatcher->health().onUnreachable(endpoint, now);
    if (result.reason == Reason::WrongEndpoint)
        dispatcher->health().onUnreachable(endpoint, now);
    metrics.count("orioletrail_answers_total", "framing=\"" + std::string(bodyFramingName(callResult.framing)) + "\",result=\"" + std::string(outcomeName(result.outcome)) + '"');
    if (result.outcome != Outcome::Answered)
        log(LogLevel::Info, "attempt failed", { { "request", job.caller.id }, { "endpoint", endpoint }, { "status", std::to_string(callResult.status) }, { "reason", std::string(reasonName(result.reason)) }, { "run", std::string(outcomeName(result.outcome)) }, { "reused", callResult.usedPooledConnection ? "true" : "false" }, { "droppedAnswers", std::to_string(callResult.droppedResponses) }, { "failedEndpoint", head.failedEndpoint }, { "lastEvent", job.events.lastId() }, { "framing", std::string(bodyFramingName(callResult.framing)) }, { "partialEventBytes", std::to_string(job.events.remainder().size()) }, { "endpointEnded", result.endpointEnded ? "true" : "false" }, { "parts", detail::joinParts(job.caller.promptParts) } });
    dispatcher->wakeWaiting(job.service, now);
}

} // namespace orioletrail
