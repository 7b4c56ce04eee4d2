#include "directory/address-claims.h"

#include <string_view>
#include <utility>

namespace orioletrail {

std::vector<SupersededProcess> AddressClaims::update(const EndpointRecords& records)
{
    std::map<std::pair<std::string_view, uint16_t>, const EndpointRecord*> latest;
    for (const auto& [id, record] : records) {
        if (record.host.empty() || !record.processStartMs)
            continue;
        const EndpointRecord*& known = latest[{ record.host, record.port }];
        if (!known || record.processStartMs > known->processStartMs)
            known = &record;
    }
    std::vector<SupersededProcess> news;
    const auto before = std::exchange(m_superseded, {});
    for (const auto& [id, record] : records) {
        const auto claim = latest.find({ record.host, record.port });
        if (claim == latest.end() || !record.processStartMs || record.processStartMs >= claim->second->processStartMs)
            continue;
        m_superseded.emplace(id, record.processStartMs);
        const auto known = before.find(id);
        if (known == before.end() || known->second != record.processStartMs)
            news.push_back({ id, record.processStartMs, claim->second->id, claim->second->service });
    }
    return news;
}

bool AddressClaims::isSuperseded(const EndpointRecord& record) const
{
    const auto found = m_superseded.find(record.id);
    return found != m_superseded.end() && found->second == record.processStartMs;
}

} // namespace orioletrail
