#include "memory/report.h"

#include "telemetry/log.h"

namespace orioletrail {

namespace detail {

    void logEvent(std::string_view message, const MemoryEvent& event, std::string_view reason)
    {
        log(LogLevel::Warning, message, { { "reason", std::string(reason) }, { "phase", std::string(phaseName(event.phase)) }, { "client", event.client }, { "heldBytes", std::to_string(event.heldByConnection) }, { "clientBytes", std::to_string(event.heldByClient) }, { "usedBytes", std::to_string(event.used) } });
    }

} // namespace detail

std::shared_ptr<MemoryGuard> makeMemoryGuard(MemorySettings settings, Metrics& metrics)
{
    MemoryGuard::Hooks hooks;
    hooks.cutOff = [&metrics](const MemoryEvent& event) {
        const std::string_view reason = event.reason == CutOffReason::Memory ? "memory" : "connections";
        metrics.count("orioletrail_connections_cut_off_total", "reason=\"" + std::string(reason) + "\",phase=\"" + std::string(phaseName(event.phase)) + '"');
        detail::logEvent("connection cut off", event, reason);
    };
    hooks.refused = [&metrics](const MemoryEvent& event) {
        metrics.count("orioletrail_memory_refused_total");
        detail::logEvent("memory refused", event, "memory");
    };
    hooks.usage = [&metrics](MemoryKind kind, size_t bytes) { metrics.setGauge("orioletrail_memory_" + std::string(memoryKindName(kind)) + "_bytes", static_cast<double>(bytes)); };
    metrics.setGauge("orioletrail_memory_budget_bytes", static_cast<double>(settings.bytes));
    metrics.setGauge("orioletrail_connections_limit", static_cast<double>(settings.connections));
    log(LogLevel::Info, "memory budget", { { "bytes", std::to_string(settings.bytes) }, { "connections", std::to_string(settings.connections) } });
    return std::make_shared<MemoryGuard>(settings, std::move(hooks));
}

} // namespace orioletrail
