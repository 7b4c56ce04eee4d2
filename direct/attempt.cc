// One attempt at a request, at one endpoint.
#include "base/digest.h"
#include "direct/state.h"
#include "telemetry/log.h"

namespace orioletrail {

namespace detail {

    constexpr std::string_view eventStream = "text/event-stream";
    // Endpoints close idle connections; one that was used so lately is hardly being closed.
    constexpr Millis reuseWithin { 4000 };
    constexpr Millis reuseNonIdempotentWithin { 1000 };
    // The answer at the deadline travels this much longer than the request's time allows.
    constexpr Millis answerMargin { 5 };

    bool isSuccess(unsigned status)
    {
        constexpr unsigned hundreds = 100;
        return status / hundreds == 2;
    }

    bool isServerFailure(unsigned status)
    {
        return status >= 500;
    }

    Reason reasonOf(HttpFailure failure)
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
        case HttpFailure::Lost:
            break;
        }
        return Reason::ConnectionLost;
    }

} // namespace detail

Task<DirectResult> DirectEntry::State::attempt(const HttpRequest& request, Responder& responder, DirectJob& job)
{
    const std::shared_ptr<Target> target = std::exchange(job.target, nullptr);
    const TimePoint sent = Clock::now();
    const auto left = std::max(Millis(1), std::chrono::duration_cast<Millis>(job.deadline - sent));
    ++job.attempts;
    job.tried.push_back(target->record.id);
    AttemptEnvelope envelope;
    envelope.endpoint = target->record.id;
    envelope.account = job.account;
    envelope.timeLeft = left;
    envelope.lastEvent = job.begun ? job.events.lastId() : job.caller.lastEvent;
    HttpCall call;
    call.request = encodeAttempt(request, envelope);
    call.timeout = left + detail::answerMargin;
    call.connectTimeout = settings.connectTimeout;
    call.maxIdle = job.route->repeat == RepeatRule::Idempotent ? detail::reuseWithin : detail::reuseNonIdempotentWithin;
    call.token = job.token = std::make_shared<HttpCallToken>();
    call.belongs = [&job](unsigned status, const HeaderList& headers) {
        const std::string id = decodeHead(status, headers).requestId;
        return id.empty() || id == job.caller.id;
    };
    job.events.dropRemainder();
    EndpointHead head;
    HttpAnswer answer;
    bool streams = false;
    bool callerTakes = true;
    TimePoint firstByte = sent;
    HttpStreamHooks hooks;
    const std::shared_ptr<SilenceWatch> silence = watchSilence(job, target);
    hooks.head = [&](unsigned status, const HeaderList& headers) -> Task<> {
        firstByte = Clock::now();
        silence->end();
        head = decodeHead(status, headers);
        answer.status = status;
        answer.headers = endToEndHeaders(headers);
        streams = detail::isSuccess(status) && head.isSigned && !head.encoded
            && findHeader(headers, "Content-Type").starts_with(detail::eventStream);
        if (head.load)
            dispatcher->loads().onReported(target->record.id, head.load->running + head.load->waiting, firstByte);
        co_return;
    };
    hooks.chunk = [&](std::string_view piece) -> Task<> {
        if (!streams) {
            answer.body += piece;
            co_return;
        }
        const std::string events = job.events.push(piece);
        if (events.empty() || !callerTakes)
            co_return;
        onEvents(job, sent);
        if (!job.begun) {
            job.begun = true;
            metrics.observe("orioletrail_first_event_seconds", Clock::now() - job.received);
            co_await responder.begin(answer.status, answer.headers);
        }
        callerTakes = co_await responder.chunk(events);
        if (!callerTakes)
            job.token->cancel();
    };
    const HttpResult ended = co_await target->client->stream(std::move(call), std::move(hooks));
    silence->end();
    dispatcher->onEnded(job.service, target->record.id, Clock::now());
    DirectResult result;
    if (streams && ended.ok()) {
        // The whole body has arrived, with whatever follows its last event.
        const std::string rest = job.events.remainder();
        if (!job.begun) {
            job.begun = true;
            co_await responder.begin(answer.status, answer.headers);
        }
        co_await responder.chunk(rest);
        co_await responder.end();
        result.outcome = Outcome::Answered;
    } else {
        result = judge(job, ended, head, std::move(answer.body));
        if (silence->gaveUp && result.reason == Reason::CallerGone && !job.callerGone)
            result.reason = Reason::EndpointSilent;
        if (result.answer) {
            result.answer->status = answer.status;
            result.answer->headers = std::move(answer.headers);
        }
        if (result.outcome == Outcome::Answered)
            co_await responder.respond(*result.answer);
    }
    if (result.outcome == Outcome::Answered) {
        dispatcher->onAnswered(job.service, Clock::now() - sent, streams ? job.pieces : 0);
        metrics.observe("orioletrail_answer_seconds", Clock::now() - job.received);
        logEnd(job, answer.status, Reason::None, Outcome::Answered);
    }
    const bool failed = result.reason == Reason::EndpointFailed || result.reason == Reason::SpoiledAnswer;
    if (ended.ok())
        dispatcher->health().onAnswer(target->record.id, std::chrono::duration_cast<Millis>(firstByte - sent), failed, Clock::now());
    if (result.outcome == Outcome::Answered && poison.size())
        poison.onCompleted(digestOf(request, job));
    if (ended.failure == HttpFailure::Lost && !job.callerGone)
        crashes.onLost(target->record.id, digestOf(request, job), Clock::now());
    if (ended.failure == HttpFailure::Connect)
        onEndpointEnded(target->record.id);
    onAttemptEnded(job, result, ended, head);
    co_return result;
}

std::shared_ptr<SilenceWatch> DirectEntry::State::watchSilence(DirectJob& job, const std::shared_ptr<Target>& target)
{
    auto watch = std::make_shared<SilenceWatch>(traffic);
    const ServiceProfile* service = beliefs.catalog->findService(job.service);
    // All ranks of a group stand still for one that is silent; another would answer no sooner.
    if (!service || service->engine)
        return watch;
    const TimePoint sent = Clock::now();
    watch->timer.expires_after(dispatcher->health().silenceLimit(target->record.id));
    watch->timer.async_wait([this, watch, &job, target, sent](boost::system::error_code error) {
        const std::string& endpoint = target->record.id;
        if (error || watch->over || dispatcher->health().hasAnsweredSince(endpoint, sent))
            return;
        const TimePoint now = Clock::now();
        dispatcher->health().onSilent(endpoint, now);
        watch->gaveUp = mayAskAnother(job);
        log(LogLevel::Warning, "endpoint silent", { { "request", job.caller.id }, { "endpoint", endpoint }, { "silentMs", std::to_string(std::chrono::duration_cast<Millis>(now - sent).count()) }, { "asksAnother", watch->gaveUp ? "true" : "false" } });
        if (watch->gaveUp)
            job.token->cancel();
    });
    return watch;
}

bool DirectEntry::State::mayAskAnother(const DirectJob& job)
{
    if (job.route->repeat != RepeatRule::Idempotent || job.accepted + 1 >= job.route->maxAttempts || !retries.hasRoom(job.service, Clock::now()))
        return false;
    return dispatcher->mayAskAnother(job, Clock::now());
}

std::string DirectEntry::State::digestOf(const HttpRequest& request, const DirectJob& job) const
{
    return std::to_string(hash64(request.body, hash64(request.target, hash64(job.account, hash64(job.service)))));
}

void DirectEntry::State::onEndpointEnded(const std::string& endpoint)
{
    const TimePoint now = Clock::now();
    for (const std::string& digest : crashes.onEnded(endpoint, now)) {
        const uint32_t deaths = poison.onDeath(digest, now);
        log(LogLevel::Warning, "request was lost with its endpoint", { { "digest", digest }, { "endpoint", endpoint }, { "deaths", std::to_string(deaths) } });
    }
}

DirectResult DirectEntry::State::judge(DirectJob& job, const HttpResult& ended, const EndpointHead& head, std::string body)
{
    DirectResult result;
    if (!ended.ok()) {
        result.reason = detail::reasonOf(ended.failure);
        result.outcome = ended.failure == HttpFailure::Connect ? Outcome::NotRun : Outcome::MayHaveRun;
        if (job.callerGone)
            result.reason = Reason::CallerGone;
        return result;
    }
    if (head.notRun) {
        result.outcome = Outcome::NotRun;
        result.reason = head.wrongEndpoint ? Reason::WrongEndpoint : Reason::EndpointRefused;
        return result;
    }
    if (head.encoded || (detail::isSuccess(ended.status) && (!head.isSigned || job.begun))) {
        result.reason = Reason::SpoiledAnswer;
        return result;
    }
    result.answer = HttpAnswer { ended.status, {}, std::move(body) };
    if (detail::isServerFailure(ended.status)) {
        result.reason = Reason::EndpointFailed;
        return result;
    }
    result.outcome = Outcome::Answered;
    return result;
}

void DirectEntry::State::onAttemptEnded(DirectJob& job, const DirectResult& result, const HttpResult& ended, const EndpointHead& head)
{
    const std::string& endpoint = job.tried.back();
    const TimePoint now = Clock::now();
    if (result.outcome != Outcome::NotRun)
        ++job.accepted;
    job.mayHaveRun = job.mayHaveRun || result.outcome == Outcome::MayHaveRun;
    if (!ended.ok() && !job.callerGone && ended.failure != HttpFailure::Timeout)
        dispatcher->health().onUnreachable(endpoint, now);
    if (result.reason == Reason::WrongEndpoint)
        dispatcher->health().onUnreachable(endpoint, now);
    if (result.outcome != Outcome::Answered)
        log(LogLevel::Info, "attempt failed", { { "request", job.caller.id }, { "endpoint", endpoint }, { "status", std::to_string(ended.status) }, { "reason", std::string(reasonName(result.reason)) }, { "run", std::string(outcomeName(result.outcome)) }, { "reused", ended.reused ? "true" : "false" }, { "failedEndpoint", head.failedEndpoint }, { "lastEvent", job.events.lastId() } });
    dispatcher->wakeWaiting(job.service, now);
}

} // namespace orioletrail
