#include "transport/codec.h"

#include <caf/binary_deserializer.hpp>
#include <caf/binary_serializer.hpp>

namespace orioletrail {

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, AttemptId& x)
{
    return f(x.entryIncarnation, x.request, x.attempt);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, ObjectChange& x)
{
    return f(x.key, x.revision, x.value, x.deleted);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, Hello& x)
{
    return f(x.entryIncarnation, x.connection, x.name, x.zone, x.endpoint);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, Welcome& x)
{
    return f(x.endpoint, x.zone, x.incarnation);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, OpenAttempt& x)
{
    return f(x.id, x.account, x.service, x.method, x.target, x.headers, x.body, x.deadlineMs, x.idempotent, x.idempotencyKey, x.digest, x.runAlone);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, Cancel& x)
{
    return f(x.id);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, Frame& x)
{
    return f(x.id, x.number, x.kind, x.value, x.headers, x.data, x.outcome, x.reason);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, Ack& x)
{
    return f(x.id, x.next);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, Resume& x)
{
    return f(x.id, x.next);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, GrantCredits& x)
{
    return f(x.credits);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, CreditDemand& x)
{
    return f(x.credits);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, ReturnCredits& x)
{
    return f(x.credits);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, RecallCredits& x)
{
    return f(x.credits);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, Ping& x)
{
    return f(x.sentAtMs, x.echoMs, x.revision, x.ageMs, x.closed);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, ConfigDelta& x)
{
    return f(x.from, x.to, x.changes);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, ReportedDeath& x)
{
    return f(x.process, x.sentAgoMs, x.lostAgoMs);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, PoisonReport& x)
{
    return f(x.digest, x.deaths, x.isCleared, x.clearedAgoMs);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, GossipRequest& x)
{
    return f(x.name, x.zone, x.revision, x.recentChanges);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, GossipReply& x)
{
    return f(x.name, x.zone, x.ageMs, x.delta);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, GroupHello& x)
{
    return f(x.group, x.rank);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, StepId& x)
{
    return f(x.token, x.number);
}

template <class Inspector>
typename Inspector::result_type inspect(Inspector& f, GroupMessage& x)
{
    return f(x.kind, x.rank, x.rankStart, x.step, x.version, x.loaded, x.map);
}

namespace detail {

    // Decodes the fields of the variant alternative with index `kind`, which is searched for from
    // index `Kind` on.
    template <size_t Kind = 0>
    std::optional<Message> decodeKind(size_t kind, caf::binary_deserializer& source, std::string& reason)
    {
        if constexpr (Kind < std::variant_size_v<Message>) {
            if (kind != Kind)
                return decodeKind<Kind + 1>(kind, source, reason);
            std::variant_alternative_t<Kind, Message> message;
            if (auto error = source(message)) {
                reason = "malformed message of kind " + std::to_string(kind);
                return std::nullopt;
            }
            return Message(std::move(message));
        } else {
            reason = "unknown message kind " + std::to_string(kind);
            return std::nullopt;
        }
    }

    // Whether all enum fields hold a declared value; the deserializer does not check that.
    bool areEnumsInRange(const Message& message)
    {
        if (const Frame* frame = std::get_if<Frame>(&message))
            return frame->kind <= FrameKind::Failed && frame->outcome <= Outcome::MayHaveRun && frame->reason < Reason::Count;
        if (const GroupMessage* group = std::get_if<GroupMessage>(&message))
            return group->kind <= GroupMessageKind::Superseded;
        const Ping* ping = std::get_if<Ping>(&message);
        return !ping || ping->closed < Reason::Count;
    }

} // namespace detail

void encode(const Message& message, std::vector<char>& out)
{
    const size_t start = out.size();
    out.resize(start + frameHeaderBytes);
    out.push_back(static_cast<char>(message.index()));
    caf::binary_serializer sink(nullptr, out);
    sink.seek(out.size());
    std::visit([&](const auto& fields) { sink(fields); }, message);
    const size_t size = out.size() - start - frameHeaderBytes;
    for (size_t i = 0; i < frameHeaderBytes; ++i)
        out[start + i] = static_cast<char>(size >> (8 * (frameHeaderBytes - 1 - i)));
}

std::optional<size_t> payloadSize(std::span<const char, frameHeaderBytes> header)
{
    size_t size = 0;
    for (const char byte : header)
        size = size << 8 | static_cast<unsigned char>(byte);
    if (!size || size > maxFrameBytes)
        return std::nullopt;
    return size;
}

std::optional<Message> decode(std::span<const char> payload, std::string& reason)
{
    if (payload.empty()) {
        reason = "empty message";
        return std::nullopt;
    }
    caf::binary_deserializer source(nullptr, payload.data() + 1, payload.size() - 1);
    std::optional<Message> message = detail::decodeKind(static_cast<unsigned char>(payload[0]), source, reason);
    if (message && !detail::areEnumsInRange(*message)) {
        reason = "value out of range";
        return std::nullopt;
    }
    return message;
}

} // namespace orioletrail
