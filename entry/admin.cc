// The admin port of an entry: metrics, health checks and the operators' commands. Runs on the
// control thread, except for functions passed to runOnTrafficThread().
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

    // How long a command waits for this entry to apply the change.
    constexpr Millis revisionTimeout { 2000 };
    constexpr Millis pollInterval { 10 };
    // How often to read an object back to learn whether a write took effect whose answer was lost.
    constexpr int maxReadBacks = 5;
    constexpr Millis readBackDelay { 200 };

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

    // Formats minutes since 1970 as UTC, such as 2026-01-31T06:05Z.
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

    CommandResult errorResult(CommandStatus status, std::string message)
    {
        return { status, std::move(message), {} };
    }

} // namespace detail

Task<> Entry::State::handleAdminRequest(const HttpRequest& request, Responder& responder)
{
    HttpResponse answer;
    if (request.path() == "/metrics") {
        answer.headers = { { "Content-Type", "text/plain; version=0.0.4" } };
        answer.body = metrics.toPrometheusText();
    } else if (request.path() == "/readyz") {
        answer.status = ready && !stopping ? 200 : 503;
    } else if (request.path() == "/v1/command" || request.path() == "/v1/apply") {
        co_await handleCommand(request, responder);
        co_return;
    } else if (request.path() != "/healthz") {
        answer.status = 404;
    }
    co_await responder.respond(answer);
}

Task<> Entry::State::handleCommand(const HttpRequest& request, Responder& responder)
{
    std::string reason;
    const std::optional<Command> command = request.path() == "/v1/apply" ? parseObjectFile(request.body, reason) : parseCommand(request.body, reason);
    CommandResult result = detail::errorResult(CommandStatus::BadCommand, reason);
    if (command)
        result = co_await runCommand(*command);
    const HttpResponse answer { command ? 200U : 400U, { { "Content-Type", "application/json" } }, detail::toJson(result) };
    co_await responder.respond(answer);
}

Task<CommandResult> Entry::State::runCommand(const Command& command)
{
    switch (command.kind) {
    case CommandKind::TakeZoneOut:
        return setFlag("config/zone/" + command.argument, "out", true);
    case CommandKind::ReturnZone:
        return setFlag("config/zone/" + command.argument, "out", false);
    case CommandKind::DrainEndpoint:
        return setFlag("config/endpoint/" + command.argument, "leaving", true);
    case CommandKind::ReturnEndpoint:
        return setFlag("config/endpoint/" + command.argument, "leaving", false);
    case CommandKind::RemoveEndpoint:
        return removeObject("config/endpoint/" + command.argument);
    case CommandKind::FreezeMap:
        return setFlag("config/group/" + command.argument, "frozen", true);
    case CommandKind::ResumeMap:
        return setFlag("config/group/" + command.argument, "frozen", false);
    case CommandKind::ShowRefusals:
        return runOnTrafficThread([this] { return showRefusals(); });
    case CommandKind::ExplainRequest:
        return runOnTrafficThread([this, requestId = command.argument] { return explainRequest(requestId); });
    case CommandKind::ShowMaps:
        return showMaps();
    case CommandKind::Apply:
        return applyObjects(command);
    case CommandKind::ShowConfigVersion:
        return showRevisions();
    default:
        break;
    }
    return [](CommandResult result) -> Task<CommandResult> { co_return result; }(answerQuery(command, *controlThreadView.config));
}

Task<CommandResult> Entry::State::setFlag(std::string key, std::string field, bool value)
{
    const PlatformReply current = co_await platform.get(key);
    if (current.status == PlatformStatus::NotFound)
        co_return detail::errorResult(CommandStatus::NotFound, "object \"" + key + "\" does not exist");
    if (current.status != PlatformStatus::Ok)
        co_return detail::errorResult(CommandStatus::Unknown, "the platform did not answer; nothing was changed");
    const std::optional<std::string> newValue = setBoolField(current.value, field, value, detail::newCommandId());
    if (!newValue)
        co_return detail::errorResult(CommandStatus::NotFound, "object \"" + key + "\" is malformed");
    co_return co_await writeObject(key, *newValue, current.revision);
}

Task<CommandResult> Entry::State::writeObject(std::string key, std::string value, std::optional<uint64_t> expectedRevision)
{
    const std::string id = detail::commandIdOf(value);
    if (!expectedRevision) {
        const PlatformReply current = co_await platform.get(key);
        if (current.status != PlatformStatus::Ok && current.status != PlatformStatus::NotFound)
            co_return detail::errorResult(CommandStatus::Unknown, "the platform did not answer; nothing was changed");
        expectedRevision = current.status == PlatformStatus::Ok ? current.revision : 0;
    }
    PutRequest put { key, value, *expectedRevision };
    PlatformReply reply = co_await platform.put(put);
    // If the answer was lost, read the object to see whether this command wrote it.
    for (int i = 0; reply.status == PlatformStatus::Unknown && i < detail::maxReadBacks; ++i) {
        co_await sleepFor(detail::readBackDelay);
        const PlatformReply current = co_await platform.get(key);
        if (current.status == PlatformStatus::Ok && detail::commandIdOf(current.value) == id)
            reply = { PlatformStatus::Ok, current.revision, {} };
        else if (current.status == PlatformStatus::Ok || current.status == PlatformStatus::NotFound)
            reply = co_await platform.put(put);
    }
    // A repeated write conflicts with the first one if that took effect after all.
    if (reply.status == PlatformStatus::Conflict) {
        const PlatformReply current = co_await platform.get(key);
        const std::string otherCommandId = detail::commandIdOf(current.value);
        if (current.status == PlatformStatus::Ok && otherCommandId == id)
            reply = { PlatformStatus::Ok, current.revision, {} };
        else
            co_return detail::errorResult(CommandStatus::Conflict, "object \"" + key + "\" was changed at the same time by command " + otherCommandId + "; nothing was changed by this one");
    }
    if (reply.status != PlatformStatus::Ok)
        co_return detail::errorResult(CommandStatus::Unknown, "the platform did not answer; the change may be in force");
    co_await waitForRevision(reply.revision);
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
        const CommandResult objectResult = co_await writeObject(key, json::serialize(object), std::nullopt);
        result.rows.push_back({ key, objectResult.message });
        if (objectResult.status != CommandStatus::Done)
            result.status = objectResult.status;
    }
    co_return result;
}

Task<CommandResult> Entry::State::removeObject(std::string key)
{
    const PlatformReply current = co_await platform.get(key);
    if (current.status == PlatformStatus::NotFound)
        co_return detail::errorResult(CommandStatus::NotFound, "object \"" + key + "\" does not exist");
    if (current.status != PlatformStatus::Ok)
        co_return detail::errorResult(CommandStatus::Unknown, "the platform did not answer; nothing was changed");
    const PlatformReply reply = co_await platform.remove(key, current.revision);
    if (reply.status == PlatformStatus::Conflict)
        co_return detail::errorResult(CommandStatus::Conflict, "object \"" + key + "\" was changed at the same time; nothing was removed");
    if (reply.status != PlatformStatus::Ok)
        co_return detail::errorResult(CommandStatus::Unknown, "the platform did not answer; the object may be gone");
    co_await waitForRevision(reply.revision);
    co_return CommandResult { CommandStatus::Done, key + " removed at revision " + std::to_string(reply.revision), {} };
}

Task<CommandResult> Entry::State::runOnTrafficThread(std::function<CommandResult()> function)
{
    auto answer = std::make_shared<std::optional<CommandResult>>();
    boost::asio::post(trafficIo, [this, function = std::move(function), answer] {
        boost::asio::post(controlIo, [answer, result = function()]() mutable { *answer = std::move(result); });
    });
    while (!*answer)
        co_await sleepFor(detail::pollInterval);
    co_return std::move(**answer);
}

CommandResult Entry::State::explainRequest(const std::string& requestId) const
{
    const RequestRecord* record = requestHistory.find(requestId);
    if (!record)
        return detail::errorResult(CommandStatus::NotFound, "this entry does not remember request \"" + requestId + '"');
    CommandResult result;
    result.message = "request " + requestId + " of " + record->account + " to " + record->service + (record->idempotent ? ", idempotent" : ", non-idempotent")
        + ": status " + std::to_string(record->status) + ", " + std::string(outcomeName(record->outcome)) + ", " + std::string(reasonName(record->reason));
    result.rows.push_back({ "attempt", "endpoint", "run", "reason", "ended after ms" });
    for (const AttemptRecord& attempt : record->attempts)
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
    const std::optional<ConfigDelta> stored = co_await platform.listChanges("map/", 0, Millis(0));
    if (!stored)
        co_return detail::errorResult(CommandStatus::Unknown, "the platform did not answer");
    CommandResult result;
    result.rows.push_back({ "group", "latest map", "why", "frozen" });
    for (const ObjectChange& storedMap : stored->changes) {
        boost::system::error_code error;
        const json::value map = json::parse(storedMap.value, error);
        if (error || !map.is_object())
            continue;
        const std::string name = storedMap.key.substr(std::string_view("map/").size());
        const auto group = controlThreadView.config->groups.find(name);
        const bool frozen = group != controlThreadView.config->groups.end() && group->second.frozen;
        const json::value* version = map.get_object().if_contains("version");
        const json::value* reason = map.get_object().if_contains("reason");
        result.rows.push_back({ name, version ? json::serialize(*version) : "unknown",
            reason && reason->is_string() ? std::string(reason->get_string()) : "unknown", frozen ? "yes" : "no" });
    }
    co_return result;
}

Task<> Entry::State::waitForRevision(uint64_t revision)
{
    const TimePoint until = Clock::now() + detail::revisionTimeout;
    while (controlThreadView.config->revision < revision && Clock::now() < until)
        co_await sleepFor(detail::pollInterval);
}

Task<CommandResult> Entry::State::showRevisions()
{
    struct Answers {
        std::mutex mutex;
        std::map<std::string, std::string> revisions;
    };
    auto answers = std::make_shared<Answers>();
    std::vector<std::unique_ptr<GossipClient>> clients;
    const std::shared_ptr<const ConfigView> config = controlThreadView.config;
    for (const auto& [name, instance] : config->instances) {
        clients.push_back(std::make_unique<GossipClient>(instance.gossip, settings.platformTimeout));
        // A request that claims the highest possible revision gets no changes back, only the peer's
        // own revision.
        const GossipRequest request { settings.name, settings.zone, std::numeric_limits<uint64_t>::max(), {} };
        clients.back()->call(request, [answers, name = name](std::optional<Message> reply) {
            const GossipReply* gossip = reply ? std::get_if<GossipReply>(&*reply) : nullptr;
            const std::lock_guard lock(answers->mutex);
            answers->revisions[name] = gossip ? std::to_string(gossip->delta.to) : "no answer";
        });
    }
    const TimePoint until = Clock::now() + settings.platformTimeout + detail::readBackDelay;
    while (Clock::now() < until) {
        {
            const std::lock_guard lock(answers->mutex);
            if (answers->revisions.size() == clients.size())
                break;
        }
        co_await sleepFor(detail::pollInterval);
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
