#include "memory/budget.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Bodies and answers leave this share of the budget to connections and heads, so that requests without a body are
    // served while bodies fill the rest.
    constexpr size_t reservedShare = 8;
    // Answers up to this share of the budget are short, as most are.
    constexpr size_t shortAnswerShare = 128;

    void addTo(std::map<std::string, size_t, std::less<>>& sums, const std::string& key, size_t bytes)
    {
        if (!key.empty() && bytes)
            sums[key] += bytes;
    }

    void subtractFrom(std::map<std::string, size_t, std::less<>>& sums, const std::string& key, size_t bytes)
    {
        const auto found = sums.find(key);
        if (found != sums.end() && !(found->second -= bytes))
            sums.erase(found);
    }

    size_t valueOf(const std::map<std::string, size_t, std::less<>>& sums, std::string_view key)
    {
        const auto found = sums.find(key);
        return found == sums.end() ? 0 : found->second;
    }

} // namespace detail

std::string_view memoryKindName(MemoryKind kind)
{
    constexpr std::array<std::string_view, static_cast<size_t>(MemoryKind::Count)> names { "connection", "head", "body", "answer" };
    return names[static_cast<size_t>(kind)];
}

std::string_view phaseName(ConnectionPhase phase)
{
    constexpr std::array<std::string_view, 4> names { "idle", "receiving", "running", "sending" };
    return names[static_cast<size_t>(phase)];
}

MemoryBudget::Holder MemoryBudget::open(std::string client, TimePoint now)
{
    Connection connection;
    connection.client = std::move(client);
    connection.phaseBegan = connection.lastProgress = now;
    m_connections.emplace(++m_lastHolder, std::move(connection));
    return m_lastHolder;
}

void MemoryBudget::close(Holder holder)
{
    const auto found = m_connections.find(holder);
    if (found == m_connections.end())
        return;
    Connection& connection = found->second;
    keep(connection);
    for (size_t kind = 0; kind < kinds; ++kind)
        subtract(connection, static_cast<MemoryKind>(kind), connection.held[kind]);
    m_connections.erase(found);
}

MemoryDecision MemoryBudget::reserve(Holder holder, MemoryKind kind, size_t bytes, TimePoint now)
{
    Connection& asking = m_connections.at(holder);
    const size_t limit = limitFor(asking, kind, bytes);
    if (bytes > limit)
        return { MemoryDecision::Kind::TooLarge };
    if (m_used + bytes <= limit) {
        add(asking, kind, bytes);
        return {};
    }
    const size_t missing = m_used + bytes - limit;
    if (missing <= m_releasing)
        return { MemoryDecision::Kind::Wait };
    std::vector<std::pair<double, Holder>> candidates;
    for (const auto& [other, connection] : m_connections)
        if (other != holder && connection.total && !connection.isCutOff && mayBeCutOff(connection, now))
            candidates.emplace_back(static_cast<double>(connection.total) * std::chrono::duration<double>(now - connection.lastProgress).count(), other);
    std::sort(candidates.rbegin(), candidates.rend());
    MemoryDecision decision { MemoryDecision::Kind::Wait };
    size_t releasing = m_releasing;
    for (const auto& [weight, other] : candidates) {
        if (releasing >= missing)
            break;
        decision.cutOff.push_back(other);
        releasing += m_connections.at(other).total;
    }
    if (releasing < missing)
        return { MemoryDecision::Kind::Refused };
    for (const Holder other : decision.cutOff)
        cutOff(m_connections.at(other));
    return decision;
}

void MemoryBudget::count(Holder holder, MemoryKind kind, size_t bytes)
{
    add(m_connections.at(holder), kind, bytes);
}

void MemoryBudget::release(Holder holder, MemoryKind kind, size_t bytes)
{
    Connection& connection = m_connections.at(holder);
    subtract(connection, kind, std::min(bytes, connection.held[static_cast<size_t>(kind)]));
}

void MemoryBudget::setAccount(Holder holder, std::string_view account)
{
    Connection& connection = m_connections.at(holder);
    if (connection.account == account)
        return;
    detail::subtractFrom(m_usedByAccount, connection.account, connection.total);
    connection.account = account;
    detail::addTo(m_usedByAccount, connection.account, connection.total);
}

void MemoryBudget::setPhase(Holder holder, ConnectionPhase phase, TimePoint now)
{
    Connection& connection = m_connections.at(holder);
    keep(connection);
    connection.phase = phase;
    connection.phaseBegan = connection.lastProgress = now;
    connection.progressBytes = 0;
}

void MemoryBudget::onProgress(Holder holder, size_t bytes, TimePoint now)
{
    Connection& connection = m_connections.at(holder);
    connection.progressBytes += bytes;
    connection.lastProgress = now;
    // One that trickles bytes makes progress, too.
    if (!hasStalled(connection, now))
        keep(connection);
}

MemoryDecision MemoryBudget::mayOpen(TimePoint now)
{
    if (m_connections.size() < m_settings.connections)
        return {};
    if (m_closing)
        return { MemoryDecision::Kind::Wait };
    const auto rank = [](const Connection& connection) { return std::pair(connection.phase == ConnectionPhase::Idle ? 0 : 1, connection.lastProgress); };
    auto best = m_connections.end();
    for (auto item = m_connections.begin(); item != m_connections.end(); ++item)
        if (!item->second.isCutOff && mayBeCutOff(item->second, now) && (best == m_connections.end() || rank(item->second) < rank(best->second)))
            best = item;
    if (best == m_connections.end())
        return { MemoryDecision::Kind::Refused };
    cutOff(best->second);
    return { MemoryDecision::Kind::Wait, { best->first } };
}

bool MemoryBudget::isCutOff(Holder holder) const
{
    const auto found = m_connections.find(holder);
    return found != m_connections.end() && found->second.isCutOff;
}

bool MemoryBudget::keepsPace(Holder holder, TimePoint now) const
{
    return !hasStalled(m_connections.at(holder), now);
}

bool MemoryBudget::mayBeCutOff(const Connection& connection, TimePoint now) const
{
    return connection.phase == ConnectionPhase::Idle ? now - connection.lastProgress >= m_settings.minIdle : hasStalled(connection, now);
}

bool MemoryBudget::hasStalled(const Connection& connection, TimePoint now) const
{
    if (connection.phase != ConnectionPhase::Receiving && connection.phase != ConnectionPhase::Sending)
        return false;
    if (now - connection.lastProgress >= m_settings.stallTime)
        return true;
    const auto elapsed = now - connection.phaseBegan;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    return elapsed >= m_settings.stallTime && static_cast<double>(connection.progressBytes) < seconds * static_cast<double>(m_settings.minBytesPerSecond);
}

size_t MemoryBudget::limitFor(const Connection& asking, MemoryKind kind, size_t bytes) const
{
    const bool isLongAnswer = kind == MemoryKind::Answer && asking.held[static_cast<size_t>(kind)] + bytes > m_settings.bytes / detail::shortAnswerShare;
    const bool isBulk = kind == MemoryKind::Body || isLongAnswer;
    return isBulk ? m_settings.bytes - m_settings.bytes / detail::reservedShare : m_settings.bytes;
}

size_t MemoryBudget::heldBy(Holder holder) const
{
    const auto found = m_connections.find(holder);
    return found == m_connections.end() ? 0 : found->second.total;
}

size_t MemoryBudget::heldByClient(std::string_view client) const
{
    return detail::valueOf(m_usedByClient, client);
}

size_t MemoryBudget::heldByAccount(std::string_view account) const
{
    return detail::valueOf(m_usedByAccount, account);
}

ConnectionPhase MemoryBudget::phase(Holder holder) const
{
    return m_connections.at(holder).phase;
}

void MemoryBudget::add(Connection& connection, MemoryKind kind, size_t bytes)
{
    connection.held[static_cast<size_t>(kind)] += bytes;
    connection.total += bytes;
    m_usedByKind[static_cast<size_t>(kind)] += bytes;
    m_used += bytes;
    if (connection.isCutOff)
        m_releasing += bytes;
    detail::addTo(m_usedByClient, connection.client, bytes);
    detail::addTo(m_usedByAccount, connection.account, bytes);
}

void MemoryBudget::subtract(Connection& connection, MemoryKind kind, size_t bytes)
{
    connection.held[static_cast<size_t>(kind)] -= bytes;
    connection.total -= bytes;
    m_usedByKind[static_cast<size_t>(kind)] -= bytes;
    m_used -= bytes;
    if (connection.isCutOff)
        m_releasing -= bytes;
    detail::subtractFrom(m_usedByClient, connection.client, bytes);
    detail::subtractFrom(m_usedByAccount, connection.account, bytes);
}

void MemoryBudget::keep(Connection& connection)
{
    if (!connection.isCutOff)
        return;
    connection.isCutOff = false;
    m_releasing -= connection.total;
    --m_closing;
}

void MemoryBudget::cutOff(Connection& connection)
{
    connection.isCutOff = true;
    m_releasing += connection.total;
    ++m_closing;
}

} // namespace orioletrail
