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
    // Boost.JSON reports a missing field or a wrong type with an exception.
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
    if (!m_leaderHeardAt)
        m_leaderHeardAt = now;
    const bool timedOut = !m_isHolder && now - *m_leaderHeardAt >= m_settings.timeout;
    if (m_callInProgress || now < m_nextRead || (!m_mustRead && !timedOut))
        return {};
    m_nextRead = now + m_settings.readInterval;
    m_callInProgress = true;
    LeaseActions actions;
    actions.read = true;
    return actions;
}

LeaseActions LeaseCandidate::write(const LeaseRecord& record)
{
    m_callInProgress = true;
    m_recordBeingWritten = record;
    LeaseActions actions;
    actions.write = LeaseWrite { record, m_revision };
    return actions;
}

LeaseActions LeaseCandidate::onRead(const LeaseRecord& record, uint64_t revision, TimePoint now)
{
    m_callInProgress = false;
    m_mustRead = false;
    // Another process has taken the lease since the last read. Restart the timeout so that it can be
    // heard from.
    if (m_known && revision != m_revision)
        m_leaderHeardAt = now;
    m_known = true;
    m_record = record;
    m_revision = revision;
    // True also if an earlier write by this process succeeded but its answer was lost.
    m_isHolder = revision && record.holder == m_self;
    const bool timedOut = m_leaderHeardAt && now - *m_leaderHeardAt >= m_settings.timeout;
    if (!m_isHolder && (!revision || timedOut))
        return write({ record.token + 1, m_self });
    return {};
}

void LeaseCandidate::onWritten(uint64_t revision, TimePoint)
{
    m_callInProgress = false;
    m_record = *m_recordBeingWritten;
    m_revision = revision;
    m_isHolder = true;
}

void LeaseCandidate::onUnresolved(TimePoint)
{
    m_callInProgress = false;
    m_mustRead = true;
}

std::optional<uint64_t> LeaseCandidate::token() const
{
    return m_isHolder ? std::optional(m_record.token) : std::nullopt;
}

} // namespace orioletrail
