// The operators' port of an entry. Everything here runs on the control thread.
#include "entry/state.h"
#include "gateway/async.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <ctime>
#include <random>

namespace orioletrail {

namespace json = boost::json;

namespace detail {

    // How long a command waits until its change is in force at this entry.
    constexpr Millis inForceTimeout { 2000 };
    constexpr Millis inForcePause { 10 };
    // Tries to resolve a write whose answer was lost.
    constexpr int readBacks = 5;
    constexpr Millis readBackPause { 200 };

    std::string newCommandId()
    {
        static std::mt19937_64 random { std::random_device {}() };
        return std::to_string(random());
    }

    std::string commandIdOf(std::string_view object)
    {
        boost::system::error_code error;
        const json::value value = json::parse(object, error);
        if (error || !value.is_object())
            return {};
        const json::value* id = value.get_object().if_contains("commandId");
        return id && id->is_string() ? std::string(id->get_string()) : std::string();
    }

    std::string toJson(const CommandResult& result)
    {
        json::array rows;
        for (const auto& row : result.rows)
            rows.push_back(json::array(row.begin(), row.end()));
        return json::serialize(json::object { { "status", static_cast<int>(result.status) }, { "message", result.message }, { "rows", std::move(rows) } });
    }

    // A minute since 1970 as UTC, such as 2026-01-31T06:05Z.
    std::string formatMinute(int64_t minute)
    {
        constexpr int64_t secondsPerMinute = 60;
        const time_t seconds = minute * secondsPerMinute;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 32> text {};
        const size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%MZ", &parts);
        return { text.data(), length };
    }

    CommandResult failed(CommandStatus status, std::string message)
    {
        return { status, std::move(message), {} };
    }

} // namespace detail

Task<> Entry::State::serveAdmin(const HttpRequest& request, Responder& responder)
{
    HttpAnswer answer;
    if (request.path() == "/metrics") {
        answer.headers = { { "Content-Type", "text/plain; version=0.0.4" } };
        answer.body = metrics.print();
    } else if (request.path() == "/readyz") {
        answer.status = ready && !stopping ? 200 : 503;
    } else if (request.path() == "/v1/command" || request.path() == "/v1/apply") {
        co_await serveCommand(request, responder);
        co_return;
    } else if (request.path() != "/healthz") {
        answer.status = 404;
    }
    co_await responder.respond(answer);
}

Task<> Entry::State::serveCommand(const HttpRequest& request, Responder& responder)
{
    std::string reason;
    const std::optional<Command> command = request.path() == "/v1/apply" ? parseObjectFile(request.body, reason) : parseCommand(request.body, reason);
    CommandResult result = detail::failed(CommandStatus::BadCommand, reason);
    if (command)
        result = co_await runCommand(*command);
    const HttpAnswer answer { command ? 200U : 400U, { { "Content-Type", "application/json" } }, detail::toJson(result) };
    co_await responder.respond(answer);
}

Task<CommandResult> Entry::State::runCommand(const Command& command)
{
    switch (command.kind) {
    case CommandKind::TakeZoneOut:
        return setFlag("config/zone/" + command.name, "out", true);
    case CommandKind::ReturnZone:
        return setFlag("config/zone/" + command.name, "out", false);
    case CommandKind::DrainEndpoint:
        return setFlag("config/endpoint/" + command.name, "leaving", true);
    case CommandKind::ReturnEndpoint:
        return setFlag("config/endpoint/" + command.name, "leaving", false);
    case CommandKind::RemoveEndpoint:
        return removeObject("config/endpoint/" + command.name);
    case CommandKind::FreezeMap:
        return setFlag("config/group/" + command.name, "frozen", true);
    case CommandKind::ResumeMap:
        return setFlag("config/group/" + command.name, "frozen", false);
    case CommandKind::ShowRefusals:
        return askTraffic([this] { return showRefusals(); });
    case CommandKind::ExplainRequest:
        return askTraffic([this, name = command.name] { return explainRequest(name); });
    case CommandKind::ShowMaps:
        return showMaps();
    case CommandKind::Apply:
        return applyObjects(command);
    case CommandKind::ShowConfig:
        return showRevisions();
    default:
        break;
    }
    return [](CommandResult result) -> Task<CommandResult> { co_return result; }(answerQuery(command, *controlView.config));
}

Task<CommandResult> Entry::State::setFlag(std::string key, std::string field, bool value)
{
    const PlatformReply found = co_await platform.get(key);
    if (found.status == PlatformStatus::NotFound)
        co_return detail::failed(CommandStatus::NotFound, "object \"" + key + "\" does not exist");
    if (found.status != PlatformStatus::Ok)
        co_return detail::failed(CommandStatus::Unknown, "the platform did not answer; nothing was changed");
    const std::optional<std::string> changed = withFlag(found.value, field, value, detail::newCommandId());
    if (!changed)
        co_return detail::failed(CommandStatus::NotFound, "object \"" + key + "\" is malformed");
    co_return co_await writeObject(key, *changed, found.revision);
}

Task<CommandResult> Entry::State::writeObject(std::string key, std::string value, std::optional<uint64_t> expected)
{
    const std::string id = detail::commandIdOf(value);
    if (!expected) {
        const PlatformReply found = co_await platform.get(key);
        if (found.status != PlatformStatus::Ok && found.status != PlatformStatus::NotFound)
            co_return detail::failed(CommandStatus::Unknown, "the platform did not answer; nothing was changed");
        expected = found.status == PlatformStatus::Ok ? found.revision : 0;
    }
    PutRequest put { key, value, *expected };
    PlatformReply reply = co_await platform.put(put);
    // A lost answer is resolved by reading back who wrote the object last.
    for (int i = 0; reply.status == PlatformStatus::Unknown && i < detail::readBacks; ++i) {
        co_await sleepFor(detail::readBackPause);
        const PlatformReply found = co_await platform.get(key);
        if (found.status == PlatformStatus::Ok && detail::commandIdOf(found.value) == id)
            reply = { PlatformStatus::Ok, found.revision, {} };
        else if (found.status == PlatformStatus::Ok || found.status == PlatformStatus::NotFound)
            reply = co_await platform.put(put);
    }
    // The retried write may meet its own first try.
    if (reply.status == PlatformStatus::Conflict) {
        const PlatformReply found = co_await platform.get(key);
        const std::string winner = detail::commandIdOf(found.value);
        if (found.status == PlatformStatus::Ok && winner == id)
            reply = { PlatformStatus::Ok, found.revision, {} };
        else
            co_return detail::failed(CommandStatus::Conflict, "object \"" + key + "\" was changed at the same time by command " + winner + "; nothing was changed by this one");
    }
    if (reply.status != PlatformStatus::Ok)
        co_return detail::failed(CommandStatus::Unknown, "the platform did not answer; the change may be in force");
    co_await waitUntilInForce(reply.revision);
    CommandResult result;
    result.message = key + " written at revision " + std::to_string(reply.revision);
    co_return result;
}

Task<CommandResult> Entry::State::applyObjects(const Command& command)
{
    CommandResult result;
    result.rows.push_back({ "object", "result" });
    for (const auto& [key, value] : command.objects) {
        boost::system::error_code error;
        json::value object = json::parse(value, error);
        object.as_object()["commandId"] = detail::newCommandId();
        const CommandResult one = co_await writeObject(key, json::serialize(object), std::nullopt);
        result.rows.push_back({ key, one.message });
        if (one.status != CommandStatus::Done)
            result.status = one.status;
    }
    co_return result;
}

Task<CommandResult> Entry::State::removeObject(std::string key)
{
    const PlatformReply found = co_await platform.get(key);
    if (found.status == PlatformStatus::NotFound)
        co_return detail::failed(CommandStatus::NotFound, "object \"" + key + "\" does not exist");
    if (found.status != PlatformStatus::Ok)
        co_return detail::failed(CommandStatus::Unknown, "the platform did not answer; nothing was changed");
    const PlatformReply reply = co_await platform.remove(key, found.revision);
    if (reply.status == PlatformStatus::Conflict)
        co_return detail::failed(CommandStatus::Conflict, "object \"" + key + "\" was changed at the same time; nothing was removed");
    if (reply.status != PlatformStatus::Ok)
        co_return detail::failed(CommandStatus::Unknown, "the platform did not answer; the object may be gone");
    co_await waitUntilInForce(reply.revision);
    co_return CommandResult { CommandStatus::Done, key + " removed at revision " + std::to_string(reply.revision), {} };
}

Task<CommandResult> Entry::State::askTraffic(std::function<CommandResult()> question)
{
    auto answer = std::make_shared<std::optional<CommandResult>>();
    boost::asio::post(traffic, [this, question = std::move(question), answer] {
        boost::asio::post(controlIo, [answer, result = question()]() mutable { *answer = std::move(result); });
    });
    while (!*answer)
        co_await sleepFor(detail::inForcePause);
    co_return std::move(**answer);
}

CommandResult Entry::State::explainRequest(const std::string& requestId) const
{
    const RequestNote* note = history.find(requestId);
    if (!note)
        return detail::failed(CommandStatus::NotFound, "this entry does not remember request \"" + requestId + '"');
    CommandResult result;
    result.message = "request " + requestId + " of " + note->account + " to " + note->service + (note->idempotent ? ", idempotent" : ", non-idempotent")
        + ": status " + std::to_string(note->status) + ", " + std::string(outcomeName(note->outcome)) + ", " + std::string(reasonName(note->reason));
    result.rows.push_back({ "attempt", "endpoint", "run", "reason", "ended after ms" });
    for (const AttemptNote& attempt : note->attempts)
        result.rows.push_back({ format(attempt.id), attempt.endpoint, std::string(outcomeName(attempt.outcome)),
            std::string(reasonName(attempt.reason)), std::to_string(attempt.endedAfter.count()) });
    return result;
}

CommandResult Entry::State::showRefusals() const
{
    CommandResult result;
    result.message = std::to_string(refusals.minutesWithRefusals()) + " minutes with refusals by the system at " + settings.name + " in the last day";
    result.rows.push_back({ "minute", "service", "reason", "run", "refused", "answered" });
    for (const RefusalCount& count : refusals.counts())
        result.rows.push_back({ detail::formatMinute(count.minute), count.service.empty() ? "-" : count.service, std::string(reasonName(count.reason)),
            std::string(outcomeName(count.outcome)), std::to_string(count.count), std::to_string(refusals.answers(count.minute, count.service)) });
    return result;
}

Task<CommandResult> Entry::State::showMaps()
{
    const std::optional<ConfigDelta> stored = co_await platform.list("map/", 0, Millis(0));
    if (!stored)
        co_return detail::failed(CommandStatus::Unknown, "the platform did not answer");
    CommandResult result;
    result.rows.push_back({ "group", "latest map", "why", "frozen" });
    for (const ObjectChange& change : stored->changes) {
        boost::system::error_code error;
        const json::value map = json::parse(change.value, error);
        if (error || !map.is_object())
            continue;
        const std::string name = change.key.substr(std::string_view("map/").size());
        const auto group = controlView.config->groups.find(name);
        const bool frozen = group != controlView.config->groups.end() && group->second.frozen;
        const json::value* version = map.get_object().if_contains("version");
        const json::value* reason = map.get_object().if_contains("reason");
        result.rows.push_back({ name, version ? json::serialize(*version) : "unknown",
            reason && reason->is_string() ? std::string(reason->get_string()) : "unknown", frozen ? "yes" : "no" });
    }
    co_return result;
}

Task<> Entry::State::waitUntilInForce(uint64_t revision)
{
    const TimePoint until = Clock::now() + detail::inForceTimeout;
    while (controlView.config->revision < revision && Clock::now() < until)
        co_await sleepFor(detail::inForcePause);
}

Task<CommandResult> Entry::State::showRevisions()
{
    struct Answers {
        std::mutex mutex;
        std::map<std::string, std::string> revisions;
    };
    auto answers = std::make_shared<Answers>();
    std::vector<std::unique_ptr<GossipClient>> clients;
    const std::shared_ptr<const ConfigView> config = controlView.config;
    for (const auto& [name, instance] : config->instances) {
        clients.push_back(std::make_unique<GossipClient>(instance.gossip, settings.platformTimeout));
        // A request that already has every revision is answered with the peer's own number alone.
        const GossipRequest request { settings.name, settings.zone, std::numeric_limits<uint64_t>::max(), {} };
        clients.back()->call(request, [answers, name = name](std::optional<Message> reply) {
            const GossipReply* gossip = reply ? std::get_if<GossipReply>(&*reply) : nullptr;
            const std::lock_guard lock(answers->mutex);
            answers->revisions[name] = gossip ? std::to_string(gossip->delta.to) : "no answer";
        });
    }
    const TimePoint until = Clock::now() + settings.platformTimeout + detail::readBackPause;
    while (Clock::now() < until) {
        {
            const std::lock_guard lock(answers->mutex);
            if (answers->revisions.size() == clients.size())
                break;
        }
        co_await sleepFor(detail::inForcePause);
    }
    CommandResult result;
    result.rows.push_back({ "instance", "config revision" });
    const std::lock_guard lock(answers->mutex);
    for (const auto& [name, instance] : config->instances)
        result.rows.push_back({ name, answers->revisions.contains(name) ? answers->revisions[name] : "no answer" });
    for (const auto& [name, revision] : sidecarRevisions)
        result.rows.push_back({ name, revision ? std::to_string(revision) : "no answer" });
    co_return result;
}

} // namespace orioletrail
