#include "expertmap/lease.h"

#include <boost/json.hpp>

namespace orioletrail {

std::string toJson(const LeaseRecord& record)
{
    return boost::json::serialize(boost::json::object { { "token", record.token }, { "holder", std::to_string(record.holder) } });
}

std::optional<LeaseRecord> parseLeaseRecord(std::string_view text, std::string& reason)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error) {
        reason = "lease is not JSON: " + error.message();
        return std::nullopt;
    }
    // Boost.JSON reports a field of the wrong type by exception; it ends here as a value.
    try {
        const auto& object = value.as_object();
        return LeaseRecord { object.at("token").to_number<uint64_t>(), std::stoull(std::string(object.at("holder").as_string())) };
    } catch (const std::exception& failure) {
        reason = std::string("malformed lease: ") + failure.what();
        return std::nullopt;
    }
}

LeaseActions LeaseCandidate::tick(TimePoint now)
{
    if (!m_heard)
        m_heard = now;
    const bool lapsed = !m_held && now - *m_heard >= m_settings.timeout;
    if (m_busy || now < m_next || (!m_mustRead && !lapsed))
        return {};
    m_next = now + m_settings.interval;
    m_busy = true;
    LeaseActions actions;
    actions.read = true;
    return actions;
}

LeaseActions LeaseCandidate::write(const LeaseRecord& record)
{
    m_busy = true;
    m_writing = record;
    LeaseActions actions;
    actions.write = LeaseWrite { record, m_revision };
    return actions;
}

LeaseActions LeaseCandidate::onRead(const LeaseRecord& record, uint64_t revision, TimePoint now)
{
    m_busy = false;
    m_mustRead = false;
    // Someone else has taken over in the meantime; give it time to be heard.
    if (m_known && revision != m_revision)
        m_heard = now;
    m_known = true;
    m_record = record;
    m_revision = revision;
    // A write whose answer was lost may have given this process the lease.
    m_held = revision && record.holder == m_self;
    const bool lapsed = m_heard && now - *m_heard >= m_settings.timeout;
    if (!m_held && (!revision || lapsed))
        return write({ record.token + 1, m_self });
    return {};
}

void LeaseCandidate::onWritten(uint64_t revision, TimePoint)
{
    m_busy = false;
    m_record = *m_writing;
    m_revision = revision;
    m_held = true;
}

void LeaseCandidate::onUnresolved(TimePoint)
{
    m_busy = false;
    m_mustRead = true;
}

std::optional<uint64_t> LeaseCandidate::token() const
{
    return m_held ? std::optional(m_record.token) : std::nullopt;
}

} // namespace orioletrail
