// The memory budget that all servers of a process share.
#pragma once

#include "memory/budget.h"

#include <functional>
#include <memory>
#include <mutex>

namespace orioletrail {

// Why a connection is cut off.
enum class CutOffReason : uint8_t {
    // Memory is short, and the connection does not keep its pace.
    Memory,
    // There are too many connections.
    Connections
};

// What is told about a connection that is cut off, or about a refused reservation.
struct MemoryEvent {
    CutOffReason reason = CutOffReason::Memory;
    ConnectionPhase phase = ConnectionPhase::Idle;
    std::string client;
    size_t heldByConnection = 0;
    size_t heldByClient = 0;
    size_t used = 0;
};

// Makes a MemoryBudget safe to use from the threads of several servers. When much memory has been released, returns it
// to the system, since the allocator keeps what many small blocks took.
class MemoryGuard {
public:
    using Holder = MemoryBudget::Holder;
    // Cuts the connection off on its own thread, if isCutOff() still says so there. May be called on any thread.
    using CutOff = std::function<void()>;

    struct Hooks {
        std::function<void(const MemoryEvent&)> cutOff;
        std::function<void(const MemoryEvent&)> refused;
        // Told about once per second while connections come or go, and when nothing is held.
        std::function<void(MemoryKind, size_t bytes)> usage {};
    };

    MemoryGuard(MemorySettings settings, Hooks hooks)
        : m_budget(settings)
        , m_hooks(std::move(hooks))
    {
    }

    // Adds a connection.
    Holder open(std::string client, CutOff);
    void close(Holder);
    MemoryDecision::Kind reserve(Holder, MemoryKind, size_t bytes);
    void count(Holder, MemoryKind, size_t bytes);
    void release(Holder, MemoryKind, size_t bytes);
    void setAccount(Holder, std::string_view account);
    void setPhase(Holder, ConnectionPhase);
    void onProgress(Holder, size_t bytes);
    bool isCutOff(Holder) const;
    // As MemoryBudget::mayOpen(), and cuts off the connection that it names.
    MemoryDecision::Kind mayOpen();
    // The connection's answer is abandoned because its client does not read it, or its request gets no memory.
    void countRefusal(Holder);

    size_t used() const;
    size_t usedBy(MemoryKind) const;
    size_t connections() const;

private:
    MemoryDecision::Kind carryOut(const MemoryDecision&, CutOffReason, std::unique_lock<std::mutex>&);
    MemoryEvent describe(Holder, CutOffReason) const;
    void returnToSystem();
    void reportUsage();

    mutable std::mutex m_mutex;
    MemoryBudget m_budget;
    Hooks m_hooks;
    std::map<Holder, CutOff> m_cutOffs;
    // Most that was used since memory was last returned to the system.
    size_t m_peak = 0;
    TimePoint m_returnedAt;
    TimePoint m_reportedAt;
};

// Settings for a process on a machine with this memory and this number of descriptors, 0 if unknown.
// `descriptorsPerCaller` is 2 for a process that opens a connection for each request.
MemorySettings memorySettingsFor(size_t memoryBytes, size_t maxDescriptors, size_t descriptorsPerCaller);

// Keeps the allocator from holding released memory. Call it once, before other threads start.
void limitRetainedMemory();

} // namespace orioletrail
