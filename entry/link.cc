#include "entry/link.h"

#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr Millis reconnectDelay { 200 };
    constexpr Millis connectTimeout { 1000 };
    // How long to wait for a disconnected sidecar to report the outcome of an attempt. The shorter
    // time is for idempotent requests without any answer frame yet: they can be retried elsewhere.
    constexpr Millis resolveTimeout { 5000 };
    constexpr Millis retryableResolveTimeout { 500 };

} // namespace detail

AttemptStream::AttemptStream(const asio::any_io_executor& executor, bool idempotent)
    : m_idempotent(idempotent)
    , m_frameArrival(executor)
{
}

bool AttemptStream::push(Frame&& frame)
{
    if (m_ended || frame.number != m_expectedNumber)
        return false;
    ++m_expectedNumber;
    m_ended = frame.kind == FrameKind::End || frame.kind == FrameKind::Failed;
    m_frames.push_back(std::move(frame));
    m_frameArrival.cancel();
    return true;
}

void AttemptStream::fail(Outcome outcome, Reason reason)
{
    Frame frame;
    frame.number = m_expectedNumber;
    frame.kind = FrameKind::Failed;
    frame.outcome = outcome;
    frame.reason = reason;
    m_failedHere = push(std::move(frame)) || m_failedHere;
}

Task<std::optional<Frame>> AttemptStream::nextFrame(TimePoint until)
{
    while (m_frames.empty() && Clock::now() < until) {
        m_frameArrival.expires_at(until);
        boost::system::error_code ignored;
        co_await m_frameArrival.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (m_frames.empty())
        co_return std::nullopt;
    Frame frame = std::move(m_frames.front());
    m_frames.pop_front();
    co_return frame;
}

SidecarLink::SidecarLink(asio::any_io_executor executor, Identity identity, std::string_view endpoint, std::string_view address, Hooks hooks)
    : m_executor(std::move(executor))
    , m_identity(std::move(identity))
    , m_endpoint(endpoint)
    , m_address(address)
    , m_hooks(std::move(hooks))
{
    connect(Clock::now());
}

SidecarLink::~SidecarLink()
{
    *m_alive = false;
    if (m_connection)
        m_connection->close("endpoint is gone from the configuration");
    failAll(Reason::ConnectionLost);
}

void SidecarLink::connect(TimePoint now)
{
    const auto hostAndPort = parseAddress(m_address);
    if (!hostAndPort || m_connecting)
        return;
    m_connecting = true;
    m_nextConnectAt = now + detail::connectTimeout + detail::reconnectDelay;
    auto socket = std::make_shared<asio::ip::tcp::socket>(m_executor);
    auto timer = std::make_shared<asio::steady_timer>(m_executor, detail::connectTimeout);
    timer->async_wait([socket](boost::system::error_code error) {
        if (!error)
            socket->close(error);
    });
    socket->async_connect({ asio::ip::make_address(hostAndPort->first), hostAndPort->second },
        [this, socket, timer, alive = m_alive](boost::system::error_code error) {
            timer->cancel();
            if (!*alive)
                return;
            m_connecting = false;
            m_nextConnectAt = Clock::now() + detail::reconnectDelay;
            if (!error)
                onConnected(std::move(*socket));
        });
}

void SidecarLink::onConnected(asio::ip::tcp::socket socket)
{
    m_connection = std::make_shared<Connection>(std::move(socket));
    m_heartbeat = {};
    m_unansweredSince.reset();
    m_connection->start({ [this, alive = m_alive](Message&& message) {
                             if (*alive)
                                 onMessage(std::move(message));
                         },
        [this, alive = m_alive](std::string_view cause) {
            if (*alive)
                onClosed(cause);
        } });
    m_connection->send(Hello { m_identity.incarnation, ++m_connectionNumber, m_identity.name, m_identity.zone, m_endpoint });
    sendPing(Clock::now());
}

void SidecarLink::onClosed(std::string_view cause)
{
    log(LogLevel::Warning, "connection to sidecar closed", { { "endpoint", m_endpoint }, { "cause", std::string(cause) } });
    m_hooks.incrementCounter("orioletrail_link_losses_total");
    m_connection = nullptr;
    m_handshakeDone = false;
    logCredits("credits lost with the link", m_credits.onDisconnected());
    if (!m_disconnectedAt)
        m_disconnectedAt = Clock::now();
    m_hooks.onAvailabilityChanged();
}

void SidecarLink::onMessage(Message&& message)
{
    if (auto* frame = std::get_if<Frame>(&message))
        onFrame(std::move(*frame));
    else if (auto* grant = std::get_if<GrantCredits>(&message))
        onGrant(*grant);
    else if (auto* ping = std::get_if<Ping>(&message))
        onPing(*ping);
    else if (auto* welcome = std::get_if<Welcome>(&message))
        onWelcome(*welcome);
    else if (auto* delta = std::get_if<ConfigDelta>(&message))
        m_hooks.onConfigDelta(std::move(*delta));
    else if (auto* report = std::get_if<PoisonReport>(&message))
        m_hooks.onPoisonReport(*report);
    else if (auto* recall = std::get_if<RecallCredits>(&message))
        onRecall(*recall);
}

void SidecarLink::onGrant(const GrantCredits& grant)
{
    m_credits.onGranted(grant.credits);
    logCredits("credits granted", grant.credits);
    m_hooks.onAvailabilityChanged();
}

void SidecarLink::onRecall(const RecallCredits& recall)
{
    const uint32_t returned = m_credits.onRecalled(recall.credits);
    logCredits("credits recalled", recall.credits);
    logCredits("credits returned", returned);
    send(ReturnCredits { returned });
}

void SidecarLink::logCredits(std::string_view event, uint32_t credits) const
{
    if (isLogged(LogLevel::Debug))
        log(LogLevel::Debug, event, { { "endpoint", m_endpoint }, { "entry", std::to_string(m_identity.incarnation) }, { "connection", std::to_string(m_connectionNumber) }, { "credits", std::to_string(credits) }, { "left", std::to_string(m_credits.available()) } });
}

void SidecarLink::onWelcome(const Welcome& welcome)
{
    if (welcome.endpoint != m_endpoint) {
        m_connection->close("another endpoint answers at this address: " + welcome.endpoint);
        return;
    }
    // A restarted sidecar has no record of attempts that its previous process received.
    if (m_peerIncarnation && m_peerIncarnation != welcome.incarnation)
        failAll(Reason::EndpointDied);
    m_peerIncarnation = welcome.incarnation;
    m_handshakeDone = true;
    m_disconnectedAt.reset();
    for (const auto& [id, stream] : m_streams)
        m_connection->send(Resume { id, stream->expectedNumber() });
    for (const PoisonReport& report : m_hooks.poisonReports())
        m_connection->send(report);
    if (m_creditDemand)
        m_connection->send(CreditDemand { m_creditDemand });
    m_hooks.onAvailabilityChanged();
}

void SidecarLink::onPing(const Ping& ping)
{
    const std::optional<FreshnessProof> proof = m_heartbeat.receive(ping);
    if (proof)
        m_hooks.onHeartbeatAnswered(m_endpoint, ping, *proof);
    const auto [revision, age] = m_hooks.configRevisionAndAge();
    if (ping.revision < revision)
        m_hooks.onConfigBehind(ping.revision);
    m_hooks.onAvailabilityChanged();
}

void SidecarLink::onFrame(Frame&& frame)
{
    const auto found = m_streams.find(frame.id);
    const AttemptId id = frame.id;
    const uint32_t number = frame.number;
    if (found == m_streams.end()) {
        // The attempt was cancelled or has ended: acknowledge, so that the sidecar can free the frame.
        m_hooks.incrementCounter("orioletrail_frames_unwanted_total");
        send(Ack { id, number + 1 });
    } else if (!found->second->push(std::move(frame))) {
        m_hooks.incrementCounter("orioletrail_frames_out_of_order_total");
    }
}

std::shared_ptr<AttemptStream> SidecarLink::openAttempt(OpenAttempt&& request)
{
    m_credits.onUsed();
    logCredits("credit used", 1);
    auto stream = std::make_shared<AttemptStream>(m_executor, request.idempotent);
    m_streams.emplace(request.id, stream);
    send(std::move(request));
    return stream;
}

void SidecarLink::acknowledge(const AttemptId& id, uint32_t next)
{
    send(Ack { id, next });
}

void SidecarLink::cancelAttempt(const AttemptId& id)
{
    if (m_streams.erase(id))
        send(Cancel { id });
}

void SidecarLink::setCreditDemand(uint32_t credits)
{
    if (credits == m_creditDemand)
        return;
    m_creditDemand = credits;
    send(CreditDemand { credits });
}

void SidecarLink::send(const Message& message)
{
    if (m_connection)
        m_connection->send(message);
}

void SidecarLink::sendPing(TimePoint now)
{
    const auto [revision, age] = m_hooks.configRevisionAndAge();
    send(m_heartbeat.make(revision, age, Reason::None, now));
    m_lastPingAt = now;
    if (!m_unansweredSince)
        m_unansweredSince = now;
}

bool SidecarLink::isSilent(TimePoint now)
{
    if (m_unansweredSince && m_connection->lastReceived() >= *m_unansweredSince)
        m_unansweredSince.reset();
    return m_unansweredSince && now - *m_unansweredSince > heartbeatTimeout;
}

bool SidecarLink::needsPing(TimePoint now) const
{
    const bool busy = !m_streams.empty() || m_creditDemand;
    return now - m_lastPingAt >= idleHeartbeatInterval || (busy && now - m_connection->lastSent() >= heartbeatInterval);
}

void SidecarLink::tick(TimePoint now)
{
    if (m_connection && isSilent(now)) {
        m_hooks.incrementCounter("orioletrail_silent_connections_total");
        const auto connection = m_connection;
        connection->close("silent");
    }
    if (m_connection && needsPing(now))
        sendPing(now);
    if (!m_connection && now >= m_nextConnectAt)
        connect(now);
    if (m_disconnectedAt)
        failUnresolved(std::chrono::duration_cast<Millis>(now - *m_disconnectedAt));
}

void SidecarLink::failUnresolved(Millis disconnectedFor)
{
    std::erase_if(m_streams, [&](const auto& item) {
        AttemptStream& stream = *item.second;
        const bool canRetryElsewhere = stream.isIdempotent() && !stream.expectedNumber();
        const bool expired = disconnectedFor > (canRetryElsewhere ? detail::retryableResolveTimeout : detail::resolveTimeout);
        if (expired)
            stream.fail(Outcome::MayHaveRun, Reason::ConnectionLost);
        return expired;
    });
}

void SidecarLink::failAll(Reason reason)
{
    const auto streams = std::move(m_streams);
    m_streams.clear();
    for (const auto& [id, stream] : streams)
        stream->fail(Outcome::MayHaveRun, reason);
}

} // namespace orioletrail
