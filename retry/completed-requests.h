// Remembers which requests endpoints have recently run to the end.
#pragma once

#include "base/types.h"

#include <unordered_map>

namespace orioletrail {

// A request that crashes each endpoint that runs it never completes, so one that has completed was running next to the
// one at fault. Keeps two generations in bounded memory.
class CompletedRequests {
public:
    // A generation is replaced after this time, or when it is full.
    static constexpr Millis generationTime { 120'000 };
    static constexpr size_t maxPerGeneration = 16'384;

    void add(std::string_view digest, TimePoint now);

    // When the request last completed, or nothing if that is not known any more.
    std::optional<TimePoint> find(std::string_view digest) const;

private:
    using Generation = std::unordered_map<uint64_t, TimePoint>;

    Generation m_current;
    Generation m_previous;
    TimePoint m_started;
};

} // namespace orioletrail
