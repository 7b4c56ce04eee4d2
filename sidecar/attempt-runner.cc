// Admits attempts and runs them at the endpoint.
#include "base/digest.h"
#include "platform/dialect.h"
#include "sidecar/state.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    // How often an attempt whose window is full checks its deadline and whether it was cancelled.
    constexpr Millis windowRecheckInterval { 100 };
    constexpr std::string_view eventStreamType = "text/event-stream";
    // Limits what an event without end may take.
    constexpr size_t maxEventBytes = size_t { 256 } << 10;

    // Digest of the request's method, target and body, by which the ledger detects reused keys.
    std::string requestDigest(const OpenAttempt& open)
    {
        constexpr size_t digits = 32;
        return sha256Hex(open.method + '\n' + open.target + '\n' + open.body).substr(0, digits);
    }

    // Why an answer was broken off.
    Reason reasonForBreak(HttpFailure failure, bool endpointDied)
    {
        if (endpointDied)
            return Reason::EndpointDied;
        return failure == HttpFailure::Truncated ? Reason::Truncated : Reason::EndpointCut;
    }

    // Whether the key was created so long ago that the ledger may have dropped it.
    bool isKeyExpired(std::string_view key, std::chrono::seconds retention)
    {
        const auto created = uuidCreationTime(key);
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return created && std::chrono::seconds(*created) + retention < now;
    }

} // namespace detail

void Sidecar::State::onOpenAttempt(Peer& peer, OpenAttempt&& open)
{
    const TimePoint now = Clock::now();
    const Reason credit = pool.tryOpen(peer.number);
    logCredits(peer, credit == Reason::None ? "credit used" : "credit refused", 1);
    if (!attempts.open(open.id, peer.entryConnection)) {
        if (credit == Reason::None)
            pool.finish();
        metrics.count("orioletrail_dropped_total", "reason=\"duplicate\"");
        return;
    }
    auto attempt = std::make_shared<ActiveAttempt>(trafficIo.get_executor(), std::move(open));
    attempt->deadline = now + Millis(attempt->open.deadlineMs);
    attempt->inPool = credit == Reason::None;
    activeAttempts.emplace(attempt->open.id, attempt);
    Reason reason = closedReason(now);
    if (reason == Reason::None)
        reason = credit;
    if (reason == Reason::None && attempt->open.service != settings.service)
        reason = Reason::UnknownRoute;
    if (reason == Reason::None)
        reason = checkPoison(peer, *attempt, now);
    if (reason != Reason::None) {
        fail(attempt, Outcome::NotRun, reason);
        return;
    }
    startOrWait(attempt);
}

void Sidecar::State::startOrWait(const AttemptPtr& attempt)
{
    if (!attempt->exclusive) {
        claimAndRun(attempt);
        return;
    }
    exclusiveAttempt = attempt;
    exclusiveWaits = true;
    updateCredits();
    startExclusive();
}

void Sidecar::State::startExclusive()
{
    if (!exclusiveWaits || pool.inFlight() > 1)
        return;
    exclusiveWaits = false;
    claimAndRun(exclusiveAttempt);
}

Reason Sidecar::State::checkPoison(Peer& peer, ActiveAttempt& attempt, TimePoint now) const
{
    const PoisonVerdict verdict = poison.verdict(attempt.open.digest, now);
    if (verdict == PoisonVerdict::Refuse) {
        peer.connection->send(toPoisonReport(poison.evidence(attempt.open.digest, now)));
        return Reason::Poisoned;
    }
    if (exclusiveAttempt)
        return Reason::OverLimit;
    attempt.exclusive = attempt.open.runAlone || verdict != PoisonVerdict::Run;
    return Reason::None;
}

void Sidecar::State::claimAndRun(const AttemptPtr& attempt)
{
    const OpenAttempt& open = attempt->open;
    if (open.idempotent || open.idempotencyKey.empty()) {
        asio::co_spawn(trafficIo, execute(attempt), asio::detached);
        return;
    }
    if (detail::isKeyExpired(open.idempotencyKey, settings.ledger.retention)) {
        fail(attempt, Outcome::NotRun, Reason::KeyExpired);
        return;
    }
    attempt->ticket = ++nextTicket;
    attempt->claiming = true;
    attempt->claimKey = ledgerKey(open.account, open.idempotencyKey);
    claims->claim(attempt->ticket, attempt->claimKey, detail::requestDigest(open),
        [this, attempt](ClaimResult result) { onClaimed(attempt, std::move(result)); });
}

void Sidecar::State::onClaimed(const AttemptPtr& attempt, ClaimResult result)
{
    attempt->claiming = false;
    if (result.answer) {
        replay(attempt, *result.answer);
    } else if (result.reason != Reason::None) {
        attempt->claimKey.clear();
        fail(attempt, result.outcome, result.reason);
    } else if (Clock::now() >= attempt->deadline) {
        claims->release(attempt->ticket, attempt->claimKey);
        fail(attempt, Outcome::NotRun, Reason::Deadline);
    } else {
        asio::co_spawn(trafficIo, execute(attempt), asio::detached);
    }
}

void Sidecar::State::replay(const AttemptPtr& attempt, const RecordedAnswer& answer)
{
    if (answer.truncated) {
        fail(attempt, Outcome::MayHaveRun, Reason::KeyInProgress);
        return;
    }
    metrics.count("orioletrail_replays_total");
    Frame head;
    head.kind = FrameKind::Head;
    head.value = answer.status;
    head.headers = { { "Content-Type", answer.contentType }, { "Idempotent-Replayed", "true" } };
    sendFrame(attempt->open.id, std::move(head));
    Frame chunk;
    chunk.data = answer.body;
    if (!chunk.data.empty())
        sendFrame(attempt->open.id, std::move(chunk));
    Frame last;
    last.kind = FrameKind::End;
    last.value = answer.body.size();
    sendFrame(attempt->open.id, std::move(last));
    end(attempt);
}

Task<> Sidecar::State::execute(AttemptPtr attempt)
{
    const OpenAttempt& open = attempt->open;
    attempt->started = Clock::now();
    attempt->endpointStart = endpointStart;
    HttpCall call;
    call.request.method = open.method;
    call.request.target = open.target;
    call.request.headers = endToEndHeaders(open.headers);
    call.request.body = open.body;
    call.timeout = std::chrono::duration_cast<Millis>(attempt->deadline - attempt->started);
    call.allowReuse = open.idempotent;
    call.token = attempt->token;
    HttpStreamHooks hooks;
    hooks.head = [this, attempt](unsigned status, const HeaderList& headers) { return onHead(attempt, status, headers); };
    hooks.chunk = [this, attempt](std::string_view data) { return onChunk(attempt, std::string(data)); };
    hooks.isComplete = [attempt](BodyFraming) { return !attempt->events.isWithinEvent(); };
    HttpResult result = co_await endpoint->stream(std::move(call), std::move(hooks));
    const bool mayBeCut = result.ok() && result.framing == BodyFraming::Connection;
    bool died = false;
    if (mayBeCut || result.failure == HttpFailure::ConnectionLost || result.failure == HttpFailure::Truncated)
        died = co_await hasEndpointDied();
    if (mayBeCut && died)
        result.failure = HttpFailure::Truncated;
    onExecuted(attempt, result, died);
}

Task<> Sidecar::State::onHead(AttemptPtr attempt, unsigned status, HeaderList headers)
{
    attempt->firstByte = Clock::now();
    attempt->answer.status = status;
    attempt->answer.contentType = std::string(findHeader(headers, "Content-Type"));
    const EndpointHead told = decodeHead(status, headers);
    if (told.isLeaving && notices.onLeaving(settings.name, attempt->endpointStart)) {
        metrics.count("orioletrail_endpoint_notices_total", "notice=\"leaving\"");
        log(LogLevel::Info, "endpoint says that it is leaving", { { "endpoint", settings.name } });
    }
    if (told.pause > Millis(0)) {
        notices.onPause(settings.name, attempt->endpointStart, *attempt->firstByte + told.pause);
        metrics.count("orioletrail_endpoint_notices_total", "notice=\"pause\"");
        log(LogLevel::Info, "endpoint asks for a pause", { { "endpoint", settings.name }, { "pauseMs", std::to_string(told.pause.count()) } });
    }
    if (told.isLeaving || told.pause > Millis(0))
        updateCredits();
    attempt->isEventStream = attempt->answer.contentType.starts_with(detail::eventStreamType);
    Frame head;
    head.kind = FrameKind::Head;
    head.value = status;
    head.headers = endToEndHeaders(headers);
    sendFrame(attempt->open.id, std::move(head));
    co_return;
}

Task<bool> Sidecar::State::onChunk(AttemptPtr attempt, std::string data)
{
    if (!attempt->claimKey.empty() && attempt->answer.body.size() <= settings.ledger.maxRecordedBodyBytes)
        attempt->answer.body += data;
    if (attempt->isEventStream)
        data = attempt->events.push(data);
    if (attempt->events.remainder().size() > detail::maxEventBytes)
        co_return false;
    sendChunk(attempt, std::move(data));
    while (attempts.isWindowFull(attempt->open.id) && !attempt->token->isCancelled() && Clock::now() < attempt->deadline) {
        attempt->windowTimer.expires_after(detail::windowRecheckInterval);
        boost::system::error_code ignored;
        co_await attempt->windowTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return true;
}

void Sidecar::State::sendChunk(const AttemptPtr& attempt, std::string data)
{
    if (data.empty())
        return;
    attempt->bytes += data.size();
    Frame chunk;
    chunk.data = std::move(data);
    sendFrame(attempt->open.id, std::move(chunk));
}

void Sidecar::State::onExecuted(const AttemptPtr& attempt, const HttpResult& result, bool died)
{
    const TimePoint now = Clock::now();
    const bool failed = !result.ok() || result.status >= 500;
    const auto firstByte = std::chrono::duration_cast<Millis>(attempt->firstByte.value_or(now) - attempt->started);
    if (result.failure != HttpFailure::Cancelled)
        ramp.onCompleted(firstByte, failed);
    metrics.observeLatency("orioletrail_endpoint_seconds", now - attempt->started);
    metrics.count("orioletrail_answers_total", "framing=\"" + std::string(bodyFramingName(result.framing)) + "\",result=\"" + (result.ok() ? "answered" : "failed") + '"');
    resolveClaim(attempt, result);
    switch (result.failure) {
    case HttpFailure::None: {
        if (poison.onCompleted(attempt->open.digest, now))
            sendPoisonReport(attempt->open.digest);
        // Empty lines and comments after the last event.
        sendChunk(attempt, attempt->events.remainder());
        Frame last;
        last.kind = FrameKind::End;
        last.value = attempt->bytes;
        sendFrame(attempt->open.id, std::move(last));
        end(attempt);
        return;
    }
    case HttpFailure::Connect:
        ramp.onLost();
        fail(attempt, Outcome::NotRun, Reason::Unreachable);
        return;
    case HttpFailure::ConnectionLost:
    case HttpFailure::Truncated:
        if (died) {
            const uint32_t deaths = poison.onDeath(attempt->open.digest, { hash64(settings.name, attempt->endpointStart), attempt->started, now }, now);
            log(LogLevel::Warning, "request lost because its endpoint ended", { { "attempt", format(attempt->open.id) }, { "digest", attempt->open.digest }, { "processStart", std::to_string(attempt->endpointStart) }, { "deaths", std::to_string(deaths) } });
            sendPoisonReport(attempt->open.digest);
        }
        fail(attempt, Outcome::MayHaveRun, detail::reasonForBreak(result.failure, died));
        return;
    case HttpFailure::BadResponse:
        fail(attempt, Outcome::MayHaveRun, Reason::SpoiledAnswer);
        return;
    case HttpFailure::Timeout:
        fail(attempt, Outcome::MayHaveRun, Reason::Deadline);
        return;
    case HttpFailure::Cancelled:
        fail(attempt, Outcome::MayHaveRun, Reason::CallerGone);
    }
}

void Sidecar::State::resolveClaim(const AttemptPtr& attempt, const HttpResult& result)
{
    if (attempt->claimKey.empty())
        return;
    if (result.ok())
        claims->finish(attempt->ticket, attempt->claimKey, attempt->answer);
    else if (result.failure == HttpFailure::Connect)
        claims->release(attempt->ticket, attempt->claimKey);
}

void Sidecar::State::fail(const AttemptPtr& attempt, Outcome outcome, Reason reason)
{
    metrics.countRefusal(reason, outcome);
    if (isLogged(LogLevel::Debug))
        log(LogLevel::Debug, "attempt failed", { { "attempt", format(attempt->open.id) }, { "run", std::string(outcomeName(outcome)) }, { "reason", std::string(reasonName(reason)) } });
    Frame failed;
    failed.kind = FrameKind::Failed;
    failed.outcome = outcome;
    failed.reason = reason;
    sendFrame(attempt->open.id, std::move(failed));
    end(attempt);
}

void Sidecar::State::end(const AttemptPtr& attempt)
{
    if (!activeAttempts.erase(attempt->open.id))
        return;
    if (attempt == exclusiveAttempt) {
        exclusiveAttempt = nullptr;
        exclusiveWaits = false;
    }
    if (attempt->inPool)
        pool.finish();
    updateCredits();
    startExclusive();
}

} // namespace orioletrail
