// Reports the use of a memory budget in metrics and logs.
#pragma once

#include "memory/guard.h"
#include "telemetry/metrics.h"

namespace orioletrail {

// Makes a guard that counts its decisions in the metrics, which must outlive it, and logs them.
std::shared_ptr<MemoryGuard> makeMemoryGuard(MemorySettings, Metrics&);

} // namespace orioletrail
