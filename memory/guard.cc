#include "memory/guard.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>

namespace orioletrail {

namespace detail {

    constexpr size_t megabyte = size_t { 1 } << 20;
    // Used where the machine's memory is unknown.
    constexpr size_t defaultMemoryBytes = 1024 * megabyte;
    // Program, threads, configuration and directory.
    constexpr size_t ownBytes = 16 * megabyte;
    // The budget's share of the rest. What is not counted takes the other half: blocks that are copied as they grow,
    // coroutine frames, and what the allocator loses between blocks.
    constexpr size_t budgetShare = 2;
    constexpr size_t minBudgetBytes = 4 * megabyte;
    // Descriptors of files, listeners, the store and other instances.
    constexpr size_t ownDescriptors = 200;
    constexpr size_t minConnections = 16;
    // Memory is returned to the system when usage has fallen by this much, but not more often than this.
    constexpr size_t returnAfterBytes = 2 * megabyte;
    constexpr Millis returnInterval { 100 };
    constexpr Millis reportInterval { 1000 };

} // namespace detail

MemoryGuard::Holder MemoryGuard::open(std::string client, CutOff cutOff)
{
    const std::lock_guard lock(m_mutex);
    const Holder holder = m_budget.open(std::move(client), Clock::now());
    m_cutOffs.emplace(holder, std::move(cutOff));
    return holder;
}

void MemoryGuard::close(Holder holder)
{
    const std::lock_guard lock(m_mutex);
    m_budget.close(holder);
    m_cutOffs.erase(holder);
    returnToSystem();
    reportUsage();
}

MemoryDecision::Kind MemoryGuard::reserve(Holder holder, MemoryKind kind, size_t bytes)
{
    std::unique_lock lock(m_mutex);
    const MemoryDecision decision = m_budget.reserve(holder, kind, bytes, Clock::now());
    m_peak = std::max(m_peak, m_budget.used());
    return carryOut(decision, CutOffReason::Memory, lock);
}

MemoryDecision::Kind MemoryGuard::mayOpen()
{
    std::unique_lock lock(m_mutex);
    return carryOut(m_budget.mayOpen(Clock::now()), CutOffReason::Connections, lock);
}

MemoryDecision::Kind MemoryGuard::carryOut(const MemoryDecision& decision, CutOffReason reason, std::unique_lock<std::mutex>& lock)
{
    std::vector<CutOff> cutOffs;
    std::vector<MemoryEvent> events;
    for (const Holder holder : decision.cutOff) {
        cutOffs.push_back(m_cutOffs.at(holder));
        events.push_back(describe(holder, reason));
    }
    lock.unlock();
    for (const CutOff& cutOff : cutOffs)
        cutOff();
    for (const MemoryEvent& event : events)
        if (m_hooks.cutOff)
            m_hooks.cutOff(event);
    return decision.kind;
}

void MemoryGuard::count(Holder holder, MemoryKind kind, size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_budget.count(holder, kind, bytes);
    m_peak = std::max(m_peak, m_budget.used());
    reportUsage();
}

void MemoryGuard::release(Holder holder, MemoryKind kind, size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_budget.release(holder, kind, bytes);
    returnToSystem();
}

void MemoryGuard::setAccount(Holder holder, std::string_view account)
{
    const std::lock_guard lock(m_mutex);
    m_budget.setAccount(holder, account);
}

void MemoryGuard::setPhase(Holder holder, ConnectionPhase phase)
{
    const std::lock_guard lock(m_mutex);
    m_budget.setPhase(holder, phase, Clock::now());
}

void MemoryGuard::onProgress(Holder holder, size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_budget.onProgress(holder, bytes, Clock::now());
}

bool MemoryGuard::isCutOff(Holder holder) const
{
    const std::lock_guard lock(m_mutex);
    return m_budget.isCutOff(holder);
}

void MemoryGuard::countRefusal(Holder holder)
{
    std::unique_lock lock(m_mutex);
    const MemoryEvent event = describe(holder, CutOffReason::Memory);
    lock.unlock();
    if (m_hooks.refused)
        m_hooks.refused(event);
}

size_t MemoryGuard::used() const
{
    const std::lock_guard lock(m_mutex);
    return m_budget.used();
}

size_t MemoryGuard::usedBy(MemoryKind kind) const
{
    const std::lock_guard lock(m_mutex);
    return m_budget.usedBy(kind);
}

size_t MemoryGuard::connections() const
{
    const std::lock_guard lock(m_mutex);
    return m_budget.connections();
}

MemoryEvent MemoryGuard::describe(Holder holder, CutOffReason reason) const
{
    const std::string& client = m_budget.client(holder);
    return { reason, m_budget.phase(holder), client, m_budget.heldBy(holder), m_budget.heldByClient(client), m_budget.used() };
}

void MemoryGuard::returnToSystem()
{
    if (m_budget.used() + detail::returnAfterBytes > m_peak)
        return;
    const TimePoint now = Clock::now();
    if (now - m_returnedAt < detail::returnInterval)
        return;
    m_returnedAt = now;
    m_peak = m_budget.used();
    malloc_trim(0);
}

void MemoryGuard::reportUsage()
{
    const TimePoint now = Clock::now();
    if (!m_hooks.usage || (m_budget.used() && now - m_reportedAt < detail::reportInterval))
        return;
    m_reportedAt = now;
    for (size_t kind = 0; kind < static_cast<size_t>(MemoryKind::Count); ++kind)
        m_hooks.usage(static_cast<MemoryKind>(kind), m_budget.usedBy(static_cast<MemoryKind>(kind)));
}

MemorySettings memorySettingsFor(size_t memoryBytes, size_t maxDescriptors, size_t descriptorsPerCaller)
{
    if (!memoryBytes)
        memoryBytes = detail::defaultMemoryBytes;
    if (rlimit limit {}; !maxDescriptors && !getrlimit(RLIMIT_NOFILE, &limit))
        maxDescriptors = limit.rlim_cur;
    MemorySettings settings;
    const size_t free = memoryBytes > detail::ownBytes ? memoryBytes - detail::ownBytes : 0;
    settings.bytes = std::max(free / detail::budgetShare, detail::minBudgetBytes);
    const size_t descriptors = maxDescriptors > detail::ownDescriptors ? maxDescriptors - detail::ownDescriptors : 0;
    settings.connections = std::max(descriptors / descriptorsPerCaller, detail::minConnections);
    return settings;
}

void limitRetainedMemory()
{
    // Fixed, since the allocator otherwise raises it to the largest block released, and keeps such blocks from then on.
    constexpr int mappedBlockBytes = 128 * 1024;
    constexpr int maxArenas = 2;
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, mappedBlockBytes);
    mallopt(M_ARENA_MAX, maxArenas);
}

} // namespace orioletrail
