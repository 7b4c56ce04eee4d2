#include "rejection/full-endpoints.h"

#include "base/digest.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace orioletrail {

void FullEndpoints::keep(std::string_view endpoint, const Statement& statement)
{
    const auto found = m_statements.find(endpoint);
    if (found == m_statements.end())
        m_statements.emplace(std::string(endpoint), statement);
    else
        found->second = statement;
}

bool FullEndpoints::onRejected(std::string_view endpoint, uint64_t process, uint32_t load, const CountedRequests& counted, TimePoint now)
{
    const bool wasFull = loadOf(endpoint, process, counted, now) >= load;
    keep(endpoint, { process, load, true, true, counted, now });
    if (!wasFull)
        m_news.emplace(endpoint);
    return !wasFull;
}

void FullEndpoints::onNearlyFull(std::string_view endpoint, uint64_t process, uint32_t load, const CountedRequests& counted, TimePoint now)
{
    keep(endpoint, { process, load, true, true, counted, now });
    m_news.emplace(endpoint);
}

FullReports FullEndpoints::takeNews(TimePoint now)
{
    FullReports reports;
    for (const std::string& endpoint : std::exchange(m_news, {})) {
        const auto found = m_statements.find(endpoint);
        if (found != m_statements.end() && found->second.isOwn && isInUse(found->second, now) && reports.size() < maxReported)
            reports.emplace(endpoint, FullReport { found->second.process, found->second.load, std::chrono::duration_cast<Millis>(now - found->second.stated) });
    }
    return reports;
}

void FullEndpoints::onReported(std::string_view endpoint, uint64_t process, uint32_t load, uint32_t slots, const CountedRequests& counted, TimePoint now)
{
    if (load > counted.own + counted.others || loadOf(endpoint, process, counted, now) > 0) {
        if (load >= slots && loadOf(endpoint, process, counted, now) < load)
            m_news.emplace(endpoint);
        keep(endpoint, { process, load, load >= slots, true, counted, now });
    }
}

bool FullEndpoints::onPeerReport(std::string_view endpoint, const FullReport& report, const CountedRequests& counted, TimePoint now)
{
    const TimePoint stated = now - report.age;
    const auto found = m_statements.find(endpoint);
    if (report.age >= holdTime || (found != m_statements.end() && found->second.stated >= stated))
        return false;
    keep(endpoint, { report.process, report.load, true, false, counted, stated });
    return true;
}

FullReports FullEndpoints::report(TimePoint now) const
{
    using Item = const std::pair<const std::string, Statement>*;
    std::vector<Item> items;
    for (const auto& item : m_statements)
        if (item.second.isFull && item.second.isOwn && isInUse(item.second, now))
            items.push_back(&item);
    std::sort(items.begin(), items.end(), [](Item a, Item b) { return a->second.stated > b->second.stated; });
    items.resize(std::min(items.size(), maxReported));
    FullReports reports;
    for (const Item item : items)
        reports.emplace(item->first, FullReport { item->second.process, item->second.load, std::chrono::duration_cast<Millis>(now - item->second.stated) });
    return reports;
}

double FullEndpoints::loadOf(std::string_view endpoint, uint64_t process, const CountedRequests& counted, TimePoint now) const
{
    const auto found = m_statements.find(endpoint);
    if (found == m_statements.end() || found->second.process != process || !isInUse(found->second, now))
        return 0;
    const Statement& statement = found->second;
    // Requests of others that are counted only now may be among those that the endpoint had.
    return std::max(0.0, statement.load + counted.own - statement.counted.own + std::min(0.0, counted.others - statement.counted.others));
}

size_t FullEndpoints::size(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_statements.begin(), m_statements.end(), [&](const auto& item) { return isInUse(item.second, now); }));
}

void FullEndpoints::removeEndpoint(std::string_view endpoint)
{
    const auto found = m_statements.find(endpoint);
    if (found != m_statements.end())
        m_statements.erase(found);
}

bool isTurn(std::string_view instance, std::string_view endpoint, size_t instances, TimePoint now)
{
    const uint64_t turns = std::clamp<size_t>(instances, 1, FullEndpoints::maxTurns);
    const auto number = static_cast<uint64_t>(now.time_since_epoch() / FullEndpoints::turn);
    return (number + rendezvousScore(instance, endpoint)) % turns == 0;
}

} // namespace orioletrail
