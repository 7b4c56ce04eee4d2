#include "prefix/part-table.h"

#include "base/digest.h"

#include <algorithm>
#include <array>

namespace orioletrail {

namespace detail {

    // Callers state the tokens of their parts, so the sum is bounded.
    constexpr uint32_t maxPrefixTokens = 100'000'000;

} // namespace detail

std::vector<PromptPrefix> prefixesOf(std::span<const PromptPart> parts)
{
    std::vector<PromptPrefix> prefixes;
    prefixes.reserve(parts.size());
    PromptPrefix prefix;
    for (const PromptPart& part : parts) {
        const std::array<uint64_t, 1> bytes { part.hash };
        prefix.hash = hash64({ reinterpret_cast<const char*>(bytes.data()), sizeof(bytes) }, prefix.hash);
        prefix.tokens = std::min(detail::maxPrefixTokens, prefix.tokens + std::min(detail::maxPrefixTokens, part.tokens));
        prefixes.push_back(prefix);
    }
    return prefixes;
}

bool PartTable::isHeld(const Entry& entry, TimePoint now) const
{
    return entry.running || now - entry.lastEnded < m_settings.retention;
}

void PartTable::onRead(std::string_view endpoint, uint64_t process, std::span<const PromptPrefix> prefixes, TimePoint now)
{
    if (prefixes.empty())
        return;
    auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end() && found->second.process != process) {
        removeEndpoint(endpoint);
        found = m_endpoints.end();
    }
    if (m_size + prefixes.size() > m_settings.maxEntries) {
        makeRoom(now);
        found = m_endpoints.find(endpoint);
    }
    if (found == m_endpoints.end())
        found = m_endpoints.emplace(std::string(endpoint), Endpoint { process, {} }).first;
    for (const PromptPrefix& prefix : prefixes) {
        const auto entry = found->second.entries.find(prefix.hash);
        if (entry != found->second.entries.end()) {
            ++entry->second.running;
        } else if (m_size < m_settings.maxEntries) {
            found->second.entries.emplace(prefix.hash, Entry { 1, {} });
            ++m_size;
        }
    }
    if (found->second.entries.empty())
        m_endpoints.erase(found);
}

void PartTable::onEnded(std::string_view endpoint, uint64_t process, std::span<const PromptPrefix> prefixes, TimePoint now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || found->second.process != process)
        return;
    for (const PromptPrefix& prefix : prefixes) {
        const auto entry = found->second.entries.find(prefix.hash);
        if (entry == found->second.entries.end() || !entry->second.running)
            continue;
        entry->second.lastEnded = now;
        if (--entry->second.running || m_settings.retention > Millis(0))
            continue;
        found->second.entries.erase(entry);
        --m_size;
    }
    if (found->second.entries.empty())
        m_endpoints.erase(found);
}

void PartTable::removeEndpoint(std::string_view endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return;
    m_size -= found->second.entries.size();
    m_endpoints.erase(found);
}

HeldPrefix PartTable::held(std::string_view endpoint, uint64_t process, std::span<const PromptPrefix> prefixes, bool runningOnly, TimePoint now) const
{
    HeldPrefix result;
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || found->second.process != process)
        return result;
    for (const PromptPrefix& prefix : prefixes) {
        const auto entry = found->second.entries.find(prefix.hash);
        if (entry == found->second.entries.end() || !isHeld(entry->second, now) || (runningOnly && !entry->second.running))
            break;
        result.tokens = prefix.tokens;
        result.age = entry->second.running ? Millis(0) : std::chrono::duration_cast<Millis>(now - entry->second.lastEnded);
    }
    return result;
}

void PartTable::makeRoom(TimePoint now)
{
    // Many at once, so that a full table is not searched for each request.
    const size_t wanted = m_settings.maxEntries - m_settings.maxEntries / 4;
    std::vector<TimePoint> ends;
    for (auto& [id, endpoint] : m_endpoints) {
        m_size -= std::erase_if(endpoint.entries, [&](const auto& item) { return !isHeld(item.second, now); });
        for (const auto& [hash, entry] : endpoint.entries)
            if (!entry.running)
                ends.push_back(entry.lastEnded);
    }
    if (m_size > wanted && !ends.empty()) {
        const size_t count = std::min(ends.size(), m_size - wanted);
        std::nth_element(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(count - 1), ends.end());
        const TimePoint latest = ends[count - 1];
        for (auto& [id, endpoint] : m_endpoints)
            m_size -= std::erase_if(endpoint.entries, [&](const auto& item) { return !item.second.running && item.second.lastEnded <= latest; });
    }
    std::erase_if(m_endpoints, [](const auto& item) { return item.second.entries.empty(); });
}

} // namespace orioletrail
