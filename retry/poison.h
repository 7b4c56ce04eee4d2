// Remembers requests during which endpoints died, so that they stop taking endpoints down.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

struct PoisonSettings {
    // Deaths after which a request is refused.
    uint32_t refuseAfter = 2;
    Millis remember { 600'000 };
    // Oldest records beyond this many are dropped.
    size_t maxRecords = 4096;
    // Deaths within this time count as one: what ends several endpoints at once is no request.
    Millis leastBetween { 0 };
};

enum class PoisonVerdict : uint8_t {
    Run,
    // Run only where nothing else is at risk.
    RunAlone,
    Refuse
};

// Counts endpoint deaths by request digest. A request that later completes is cleared, since
// it was only running beside the one that caused the death.
class PoisonRecords {
public:
    explicit PoisonRecords(const PoisonSettings& settings = {})
        : m_settings(settings)
    {
    }

    // Notes one more death and returns the number known.
    uint32_t onDeath(std::string_view digest, TimePoint);

    // Takes over a number learned from a peer; counts never fall by it.
    void merge(std::string_view digest, uint32_t deaths, TimePoint);

    void onCompleted(std::string_view digest);

    PoisonVerdict verdict(std::string_view digest, TimePoint) const;

    // Numbers that have changed since then, to be told to peers.
    std::map<std::string, uint32_t, std::less<>> changedSince(TimePoint) const;

    size_t size() const { return m_records.size(); }

private:
    struct Record {
        uint32_t deaths = 0;
        TimePoint last;
    };

    void dropOldest();

    PoisonSettings m_settings;
    std::map<std::string, Record, std::less<>> m_records;
};

} // namespace orioletrail
