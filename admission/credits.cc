#include "admission/credits.h"

#include <algorithm>

namespace orioletrail {

void CreditPool::connect(uint64_t connection)
{
    m_holders.try_emplace(connection);
}

void CreditPool::disconnect(uint64_t connection)
{
    const auto found = m_holders.find(connection);
    if (found == m_holders.end())
        return;
    m_held -= found->second.held;
    m_holders.erase(found);
}

void CreditPool::setDemand(uint64_t connection, uint32_t credits)
{
    if (const auto found = m_holders.find(connection); found != m_holders.end())
        found->second.demand = credits;
}

void CreditPool::returnCredits(uint64_t connection, uint32_t credits)
{
    const auto found = m_holders.find(connection);
    if (found == m_holders.end())
        return;
    Holder& holder = found->second;
    const uint32_t returned = std::min(credits, holder.held);
    holder.held -= returned;
    m_held -= returned;
    if (holder.recalls.empty())
        return;
    holder.recalled -= holder.recalls.front();
    holder.recalls.pop_front();
}

Reason CreditPool::tryOpen(uint64_t connection)
{
    const auto found = m_holders.find(connection);
    if (found == m_holders.end() || !found->second.held)
        return Reason::NoCredit;
    --found->second.held;
    --m_held;
    if (m_inFlight >= m_limit)
        return Reason::OverLimit;
    ++m_inFlight;
    return Reason::None;
}

void CreditPool::finish()
{
    --m_inFlight;
}

uint32_t CreditPool::held(uint64_t connection) const
{
    const auto found = m_holders.find(connection);
    return found == m_holders.end() ? 0 : found->second.held;
}

uint32_t CreditPool::freeCredits() const
{
    const uint32_t used = m_held + m_inFlight;
    return used < m_limit ? m_limit - used : 0;
}

std::vector<CreditChange> CreditPool::rebalance()
{
    std::map<uint64_t, int32_t> changes;
    if (!m_holders.empty()) {
        grantDemand(changes);
        grantUpTo(m_limit / static_cast<uint32_t>(m_holders.size()), changes);
        recallIdle(changes);
    }
    std::vector<CreditChange> result;
    for (const auto& [connection, credits] : changes)
        if (credits)
            result.push_back({ connection, credits });
    return result;
}

void CreditPool::grantUpTo(uint32_t share, std::map<uint64_t, int32_t>& changes)
{
    for (auto& [connection, holder] : m_holders) {
        const uint32_t shortfall = share > holder.held ? share - holder.held : 0;
        const uint32_t granted = std::min(shortfall, freeCredits());
        holder.held += granted;
        m_held += granted;
        changes[connection] += static_cast<int32_t>(granted);
    }
}

void CreditPool::grantDemand(std::map<uint64_t, int32_t>& changes)
{
    bool granted = true;
    while (granted && freeCredits()) {
        granted = false;
        auto next = m_holders.upper_bound(m_lastGranted);
        for (size_t i = 0; i < m_holders.size() && freeCredits(); ++i, ++next) {
            if (next == m_holders.end())
                next = m_holders.begin();
            auto& [connection, holder] = *next;
            if (holder.held >= holder.demand)
                continue;
            ++holder.held;
            ++m_held;
            ++changes[connection];
            m_lastGranted = connection;
            granted = true;
        }
    }
}

void CreditPool::recallIdle(std::map<uint64_t, int32_t>& changes)
{
    uint32_t shortfall = 0;
    for (const auto& [connection, holder] : m_holders)
        shortfall += holder.demand > holder.held ? holder.demand - holder.held : 0;
    const uint32_t used = m_held + m_inFlight;
    shortfall += used > m_limit ? used - m_limit : 0;
    for (auto& [connection, holder] : m_holders) {
        const uint32_t kept = holder.demand + holder.recalled;
        const uint32_t idle = holder.held > kept ? holder.held - kept : 0;
        const uint32_t recalled = std::min(idle, shortfall);
        if (!recalled)
            continue;
        shortfall -= recalled;
        holder.recalled += recalled;
        holder.recalls.push_back(recalled);
        changes[connection] -= static_cast<int32_t>(recalled);
    }
}

} // namespace orioletrail
