// Tells whether an instance may still act on the configuration that it holds.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

struct FreshnessSettings {
    // Configuration confirmed within this time is fresh.
    Millis freshFor { 2500 };
    // A zone is heard while one of its instances answered within this time.
    Millis heardFor { 2500 };
};

// Follows when the configuration was last known to be current, by the platform or by a peer
// that knew, and which zones were heard of. An instance whose configuration is not fresh goes
// on only while it hears from more than half of all zones: then the platform is down for all.
// Else it may be cut off while operators change what is in force, and must refuse.
class Freshness {
public:
    explicit Freshness(std::string_view ownZone, const FreshnessSettings& settings = {})
        : m_ownZone(ownZone)
        , m_settings(settings)
    {
    }

    // The configuration was current at `at`, which is before the call that confirmed it was sent.
    void confirm(TimePoint at);

    void hear(std::string_view zone, TimePoint);

    // True if any peer was heard of lately.
    bool hearsAny(TimePoint now) const;

    // Time since the configuration was known to be current.
    Millis age(TimePoint now) const;

    // True if new work may be accepted, given the number of zones in force.
    bool mayAct(TimePoint now, size_t zones) const;

private:
    std::string m_ownZone;
    FreshnessSettings m_settings;
    std::optional<TimePoint> m_confirmed;
    std::map<std::string, TimePoint, std::less<>> m_heard;
};

} // namespace orioletrail
