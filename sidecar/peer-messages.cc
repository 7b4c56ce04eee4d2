// Handles connections from entries and the messages that arrive on them.
#include "sidecar/state.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace orioletrail {

Task<> Sidecar::State::acceptLoop()
{
    while (acceptor.is_open()) {
        boost::system::error_code error;
        boost::asio::ip::tcp::socket socket = co_await acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (!error)
            addPeer(std::move(socket));
    }
}

void Sidecar::State::addPeer(boost::asio::ip::tcp::socket socket)
{
    const uint64_t number = ++nextPeer;
    Peer& peer = peers[number];
    peer.number = number;
    peer.connection = std::make_shared<Connection>(std::move(socket));
    peer.connection->start({ [this, number](Message&& message) { receive(number, std::move(message)); },
        [this, number](std::string_view) { removePeer(number); } });
}

void Sidecar::State::removePeer(uint64_t number)
{
    const auto found = peers.find(number);
    if (found == peers.end())
        return;
    const auto current = peerOfEntry.find(found->second.entry);
    if (current != peerOfEntry.end() && current->second == number)
        peerOfEntry.erase(current);
    logCredits(found->second, "credits lost with the link", pool.held(number));
    peers.erase(found);
    pool.disconnect(number);
    updateCredits();
}

void Sidecar::State::receive(uint64_t number, Message&& message)
{
    const auto found = peers.find(number);
    if (found == peers.end())
        return;
    Peer& peer = found->second;
    if (auto* hello = std::get_if<Hello>(&message))
        onHello(peer, *hello);
    else if (!peer.entry)
        peer.connection->close("no hello");
    else if (auto* open = std::get_if<OpenAttempt>(&message))
        onOpenAttempt(peer, std::move(*open));
    else if (auto* ack = std::get_if<Ack>(&message))
        onAck(*ack);
    else if (auto* cancel = std::get_if<Cancel>(&message))
        onCancel(*cancel);
    else if (auto* resume = std::get_if<Resume>(&message))
        onResume(peer, *resume);
    else if (auto* ping = std::get_if<Ping>(&message))
        onPing(peer, *ping);
    else if (auto* demand = std::get_if<CreditDemand>(&message))
        pool.setDemand(number, demand->credits), updateCredits();
    else if (auto* returned = std::get_if<ReturnCredits>(&message))
        onReturn(peer, *returned);
    else if (auto* report = std::get_if<PoisonReport>(&message))
        onPoisonReport(*report);
    else if (auto* delta = std::get_if<ConfigDelta>(&message))
        agent->control().submitDelta(std::move(*delta), peer.zone, std::nullopt, Millis(0));
}

void Sidecar::State::onReturn(const Peer& peer, const ReturnCredits& returned)
{
    pool.returnCredits(peer.number, returned.credits);
    logCredits(peer, "credits returned", returned.credits);
    updateCredits();
}

void Sidecar::State::onPoisonReport(const PoisonReport& report)
{
    if (!poison.merge(toPoisonEvidence(report), Clock::now()))
        return;
    log(LogLevel::Warning, "deaths of a request reported", { { "digest", report.digest }, { "deaths", std::to_string(poison.deathCount(report.digest)) } });
    sendPoisonReport(report.digest);
}

void Sidecar::State::sendPoisonReport(std::string_view digest)
{
    const PoisonReport report = toPoisonReport(poison.evidence(digest, Clock::now()));
    for (const auto& [number, peer] : peers)
        if (peer.entry)
            peer.connection->send(report);
}

void Sidecar::State::onHello(Peer& peer, const Hello& hello)
{
    // Must not replace the entry's connection for this endpoint.
    if (hello.endpoint != settings.name) {
        peer.connection->close("meant for another endpoint");
        return;
    }
    const std::optional<uint64_t> replaced = attempts.registerConnection(hello.entryIncarnation, hello.connection);
    if (!replaced || !hello.entryIncarnation) {
        peer.connection->close("an entry has a newer connection");
        return;
    }
    peer.entry = hello.entryIncarnation;
    peer.entryConnection = hello.connection;
    peer.zone = hello.zone;
    const uint64_t number = peer.number;
    const auto former = peerOfEntry.find(hello.entryIncarnation);
    const std::shared_ptr<Connection> formerConnection = former == peerOfEntry.end() ? nullptr : peers.at(former->second).connection;
    peerOfEntry[hello.entryIncarnation] = number;
    pool.connect(number);
    peer.connection->send(Welcome { settings.name, settings.zone, startNumber });
    for (const PoisonEvidence& evidence : poison.fullReport(Clock::now()))
        peer.connection->send(toPoisonReport(evidence));
    sendPing(peer);
    if (formerConnection)
        formerConnection->close("replaced by a newer connection");
    updateCredits();
}

void Sidecar::State::onPing(Peer& peer, const Ping& ping)
{
    const std::optional<FreshnessProof> proof = peer.heartbeat.receive(ping);
    if (proof)
        agent->control().submitDelta(ConfigDelta { 0, ping.revision, {} }, peer.zone, proof->pingSentAt, proof->age);
    sendPing(peer);
    if (ping.revision < view.config->revision)
        sendConfigTo(peer.number, ping.revision);
}

void Sidecar::State::sendPing(Peer& peer)
{
    const TimePoint now = Clock::now();
    peer.connection->send(peer.heartbeat.make(view.config->revision, view.freshness.age(now), closedReason(now), now));
}

void Sidecar::State::sendConfigTo(uint64_t number, uint64_t since)
{
    agent->control().requestDelta(since, [this, number](const ConfigDelta& delta, const ControlView&) {
        boost::asio::post(trafficIo, [this, number, delta] {
            const auto peer = peers.find(number);
            if (peer == peers.end())
                return;
            peer->second.heartbeat.setPeerRevision(delta.to);
            peer->second.connection->send(delta);
        });
    });
}

void Sidecar::State::onResume(Peer& peer, const Resume& resume)
{
    metrics.count("orioletrail_resumes_total");
    for (const Frame& frame : attempts.resume(resume.id, resume.next))
        peer.connection->send(frame);
}

void Sidecar::State::onAck(const Ack& ack)
{
    attempts.ack(ack.id, ack.next);
    if (const auto found = activeAttempts.find(ack.id); found != activeAttempts.end())
        found->second->windowTimer.cancel();
}

void Sidecar::State::onCancel(const Cancel& cancel)
{
    const auto found = activeAttempts.find(cancel.id);
    if (found == activeAttempts.end())
        return;
    const AttemptPtr attempt = found->second;
    metrics.count("orioletrail_cancels_total");
    if (attempt->claiming && claims->abandon(attempt->ticket, attempt->claimKey)) {
        fail(attempt, Outcome::NotRun, Reason::CallerGone);
        return;
    }
    if (exclusiveWaits && attempt == exclusiveAttempt) {
        fail(attempt, Outcome::NotRun, Reason::CallerGone);
        return;
    }
    // A non-idempotent request keeps running, so that its answer can be recorded.
    if (attempt->open.idempotent)
        attempt->token->cancel();
}

void Sidecar::State::sendFrame(const AttemptId& id, Frame frame)
{
    const std::optional<Frame> numbered = attempts.append(id, std::move(frame), Clock::now());
    const auto number = peerOfEntry.find(id.entryIncarnation);
    if (numbered && number != peerOfEntry.end())
        peers.at(number->second).connection->send(*numbered);
}

} // namespace orioletrail
