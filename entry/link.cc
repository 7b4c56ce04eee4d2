#include "entry/link.h"

#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr Millis reconnectPause { 200 };
    constexpr Millis connectTimeout { 1000 };
    // How long a sidecar that cannot be reached is waited for to tell what became of an attempt.
    // An idempotent request of whose answer nothing has come had better be tried elsewhere soon.
    constexpr Millis resolveTimeout { 5000 };
    constexpr Millis retriableResolveTimeout { 500 };

} // namespace detail

AttemptStream::AttemptStream(const asio::any_io_executor& executor, bool idempotent)
    : m_idempotent(idempotent)
    , m_wake(executor)
{
}

bool AttemptStream::push(Frame&& frame)
{
    if (m_ended || frame.number != m_expected)
        return false;
    ++m_expected;
    m_ended = frame.kind == FrameKind::End || frame.kind == FrameKind::Failed;
    m_frames.push_back(std::move(frame));
    m_wake.cancel();
    return true;
}

void AttemptStream::fail(Outcome outcome, Reason reason)
{
    Frame frame;
    frame.number = m_expected;
    frame.kind = FrameKind::Failed;
    frame.outcome = outcome;
    frame.reason = reason;
    push(std::move(frame));
}

Task<std::optional<Frame>> AttemptStream::next(TimePoint until)
{
    while (m_frames.empty() && Clock::now() < until) {
        m_wake.expires_at(until);
        boost::system::error_code ignored;
        co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (m_frames.empty())
        co_return std::nullopt;
    Frame frame = std::move(m_frames.front());
    m_frames.pop_front();
    co_return frame;
}

Link::Link(asio::any_io_executor executor, Identity identity, std::string_view endpoint, std::string_view address, Hooks hooks)
    : m_executor(std::move(executor))
    , m_identity(std::move(identity))
    , m_endpoint(endpoint)
    , m_address(address)
    , m_hooks(std::move(hooks))
{
    connect(Clock::now());
}

Link::~Link()
{
    *m_alive = false;
    if (m_connection)
        m_connection->close("endpoint is gone from the configuration");
    failAll(Reason::ConnectionLost);
}

void Link::connect(TimePoint now)
{
    const auto parsed = parseAddress(m_address);
    if (!parsed || m_connecting)
        return;
    m_connecting = true;
    m_nextConnect = now + detail::connectTimeout + detail::reconnectPause;
    auto socket = std::make_shared<asio::ip::tcp::socket>(m_executor);
    auto timer = std::make_shared<asio::steady_timer>(m_executor, detail::connectTimeout);
    timer->async_wait([socket](boost::system::error_code error) {
        if (!error)
            socket->close(error);
    });
    socket->async_connect({ asio::ip::make_address(parsed->first), parsed->second },
        [this, socket, timer, alive = m_alive](boost::system::error_code error) {
            timer->cancel();
            if (!*alive)
                return;
            m_connecting = false;
            m_nextConnect = Clock::now() + detail::reconnectPause;
            if (!error)
                onConnected(std::move(*socket));
        });
}

void Link::onConnected(asio::ip::tcp::socket socket)
{
    m_connection = std::make_shared<Connection>(std::move(socket));
    m_heartbeat = {};
    m_unansweredSince.reset();
    m_connection->start({ [this, alive = m_alive](Message&& message) {
                             if (*alive)
                                 receive(std::move(message));
                         },
        [this, alive = m_alive](std::string_view cause) {
            if (*alive)
                onClosed(cause);
        } });
    m_connection->send(Hello { m_identity.entry, ++m_connections, m_identity.name, m_identity.zone });
    sendPing(Clock::now());
}

void Link::onClosed(std::string_view cause)
{
    log(LogLevel::Warning, "connection to sidecar ended", { { "endpoint", m_endpoint }, { "cause", std::string(cause) } });
    m_hooks.count("orioletrail_link_losses_total");
    m_connection = nullptr;
    m_welcomed = false;
    m_credits = 0;
    if (!m_lostAt)
        m_lostAt = Clock::now();
    m_hooks.changed();
}

void Link::receive(Message&& message)
{
    if (auto* frame = std::get_if<Frame>(&message))
        onFrame(std::move(*frame));
    else if (auto* grant = std::get_if<Grant>(&message))
        m_credits += grant->credits, m_hooks.changed();
    else if (auto* ping = std::get_if<Ping>(&message))
        onPing(*ping);
    else if (auto* welcome = std::get_if<Welcome>(&message))
        onWelcome(*welcome);
    else if (auto* delta = std::get_if<ConfigDelta>(&message))
        m_hooks.delta(std::move(*delta));
    else if (auto* recall = std::get_if<Recall>(&message)) {
        const uint32_t returned = std::min(recall->credits, m_credits);
        m_credits -= returned;
        send(Return { returned });
    }
}

void Link::onWelcome(const Welcome& welcome)
{
    if (welcome.endpoint != m_endpoint) {
        m_connection->close("another endpoint answers at this address: " + welcome.endpoint);
        return;
    }
    // A restarted sidecar knows nothing of attempts that its predecessor was given.
    if (m_peerStart && m_peerStart != welcome.start)
        failAll(Reason::EndpointDied);
    m_peerStart = welcome.start;
    m_welcomed = true;
    m_lostAt.reset();
    for (const auto& [id, stream] : m_streams)
        m_connection->send(Resume { id, stream->expected() });
    if (m_wanted)
        m_connection->send(Want { m_wanted });
    m_hooks.changed();
}

void Link::onPing(const Ping& ping)
{
    const std::optional<HeartbeatProof> proof = m_heartbeat.receive(ping);
    if (proof)
        m_hooks.proof(m_endpoint, ping, *proof);
    const auto [revision, age] = m_hooks.revisionAndAge();
    if (ping.revision < revision)
        m_hooks.behind(ping.revision);
    m_hooks.changed();
}

void Link::onFrame(Frame&& frame)
{
    const auto found = m_streams.find(frame.id);
    const AttemptId id = frame.id;
    const uint32_t number = frame.number;
    if (found == m_streams.end()) {
        // Of an attempt that was given up: acknowledged, so that the sidecar can forget it.
        m_hooks.count("orioletrail_frames_unwanted_total");
        send(Ack { id, number + 1 });
    } else if (!found->second->push(std::move(frame))) {
        m_hooks.count("orioletrail_frames_out_of_order_total");
    }
}

std::shared_ptr<AttemptStream> Link::open(Open&& open)
{
    --m_credits;
    auto stream = std::make_shared<AttemptStream>(m_executor, open.idempotent);
    m_streams.emplace(open.id, stream);
    send(std::move(open));
    return stream;
}

void Link::ack(const AttemptId& id, uint32_t next)
{
    send(Ack { id, next });
}

void Link::cancel(const AttemptId& id)
{
    if (m_streams.erase(id))
        send(Cancel { id });
}

void Link::want(uint32_t credits)
{
    if (credits == m_wanted)
        return;
    m_wanted = credits;
    send(Want { credits });
}

void Link::send(const Message& message)
{
    if (m_connection)
        m_connection->send(message);
}

void Link::sendPing(TimePoint now)
{
    const auto [revision, age] = m_hooks.revisionAndAge();
    send(m_heartbeat.make(revision, age, Reason::None, now));
    m_lastPing = now;
    if (!m_unansweredSince)
        m_unansweredSince = now;
}

bool Link::isSilent(TimePoint now)
{
    if (m_unansweredSince && m_connection->lastReceived() >= *m_unansweredSince)
        m_unansweredSince.reset();
    return m_unansweredSince && now - *m_unansweredSince > heartbeatTimeout;
}

bool Link::needsPing(TimePoint now) const
{
    const bool busy = !m_streams.empty() || m_wanted;
    return now - m_lastPing >= idleHeartbeatInterval || (busy && now - m_connection->lastSent() >= heartbeatInterval);
}

void Link::tick(TimePoint now)
{
    if (m_connection && isSilent(now)) {
        m_hooks.count("orioletrail_silent_connections_total");
        const auto silent = m_connection;
        silent->close("silent");
    }
    if (m_connection && needsPing(now))
        sendPing(now);
    if (!m_connection && now >= m_nextConnect)
        connect(now);
    if (m_lostAt)
        failUnresolved(std::chrono::duration_cast<Millis>(now - *m_lostAt));
}

void Link::failUnresolved(Millis lostFor)
{
    std::erase_if(m_streams, [&](const auto& item) {
        AttemptStream& stream = *item.second;
        const bool retriable = stream.isIdempotent() && !stream.expected();
        const bool given = lostFor > (retriable ? detail::retriableResolveTimeout : detail::resolveTimeout);
        if (given)
            stream.fail(Outcome::MayHaveRun, Reason::ConnectionLost);
        return given;
    });
}

void Link::failAll(Reason reason)
{
    const auto streams = std::move(m_streams);
    m_streams.clear();
    for (const auto& [id, stream] : streams)
        stream->fail(Outcome::MayHaveRun, reason);
}

} // namespace orioletrail
