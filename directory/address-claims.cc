#include "directory/address-claims.h"

#include <utility>

namespace orioletrail {

std::vector<SupersededProcess> AddressClaims::update(const EndpointRecords& records, const ServiceFilter& isNamed)
{
    std::map<std::pair<std::string_view, uint16_t>, const EndpointRecord*> latest;
    for (const auto& [id, record] : records) {
        if (record.host.empty() || !record.processStartMs || record.startsInFuture || !isNamed(record.service))
            continue;
        const EndpointRecord*& known = latest[{ record.host, record.port }];
        if (!known || record.processStartMs > known->processStartMs)
            known = &record;
    }
    std::vector<SupersededProcess> news;
    for (const auto& [id, record] : records) {
        const auto claim = latest.find({ record.host, record.port });
        if (claim == latest.end() || !record.processStartMs || record.processStartMs >= claim->second->processStartMs || isSuperseded(record))
            continue;
        m_superseded.insert_or_assign(id, record.processStartMs);
        news.push_back({ id, record.processStartMs, claim->second->id, claim->second->service });
    }
    return news;
}

void AddressClaims::forget(std::string_view id)
{
    const auto found = m_superseded.find(id);
    if (found != m_superseded.end())
        m_superseded.erase(found);
}

bool AddressClaims::isSuperseded(const EndpointRecord& record) const
{
    const auto found = m_superseded.find(record.id);
    return found != m_superseded.end() && found->second == record.processStartMs;
}

} // namespace orioletrail
