#include "cost/work-table.h"

#include <algorithm>

namespace orioletrail {

void WorkTable::onSent(std::string_view endpoint, double work, Clock::duration duration, TimePoint now)
{
    auto found = m_items.find(endpoint);
    if (found == m_items.end())
        found = m_items.try_emplace(std::string(endpoint)).first;
    found->second.push_back({ work, now + duration });
}

void WorkTable::onEnded(std::string_view endpoint)
{
    const auto found = m_items.find(endpoint);
    if (found == m_items.end())
        return;
    std::vector<Item>& items = found->second;
    const auto next = std::min_element(items.begin(), items.end(), [](const Item& a, const Item& b) { return a.expectedEnd < b.expectedEnd; });
    if (next != items.end())
        items.erase(next);
    if (items.empty())
        m_items.erase(found);
}

double WorkTable::beyondCount(std::string_view endpoint) const
{
    const auto found = m_items.find(endpoint);
    double beyond = 0;
    if (found != m_items.end())
        for (const Item& item : found->second)
            beyond += item.work - 1;
    return beyond;
}

void WorkTable::removeEndpoint(std::string_view endpoint)
{
    const auto found = m_items.find(endpoint);
    if (found != m_items.end())
        m_items.erase(found);
}

} // namespace orioletrail
