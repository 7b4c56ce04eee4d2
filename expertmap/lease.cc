#include "expertmap/lease.h"

#include <boost/json.hpp>

namespace orioletrail {

std::string toJson(const LeaseRecord& record)
{
    return boost::json::serialize(boost::json::object { { "token", record.token }, { "holder", std::to_string(record.holder) }, { "beat", record.beat } });
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
        return LeaseRecord { object.at("token").to_number<uint64_t>(), std::stoull(std::string(object.at("holder").as_string())),
            object.at("beat").to_number<uint64_t>() };
    } catch (const std::exception& failure) {
        reason = std::string("malformed lease: ") + failure.what();
        return std::nullopt;
    }
}

LeaseActions LeaseCandidate::tick(TimePoint now)
{
    if (m_busy || now < m_next)
        return {};
    m_next = now + m_settings.interval;
    if (m_held && !m_mustRead)
        return write({ m_record.token, m_self, m_record.beat + 1 });
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
    if (!m_known || revision != m_revision || !(record == m_record))
        m_changed = now;
    m_known = true;
    m_record = record;
    m_revision = revision;
    // A write whose answer was lost may have given this process the lease.
    m_held = revision && record.holder == m_self;
    const bool lapsed = now - m_changed >= m_settings.timeout;
    if (!m_held && (!revision || lapsed))
        return write({ record.token + 1, m_self, 0 });
    return {};
}

void LeaseCandidate::onWritten(uint64_t revision, TimePoint now)
{
    m_busy = false;
    m_record = *m_writing;
    m_revision = revision;
    m_changed = now;
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
