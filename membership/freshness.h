// Decides whether an instance may accept new work with the configuration that it has.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

struct FreshnessSettings {
    // A configuration counts as current for this long after it was confirmed.
    Millis freshFor { 2500 };
    // A zone counts as reachable for this long after one of its instances answered.
    Millis contactTimeout { 2500 };
};

// Tracks when the platform, or a peer with the same configuration, last confirmed that the
// configuration is current, and which zones are reachable. An instance without a recent confirmation
// accepts work only while it reaches more than half of all zones, its own included: it then assumes
// that the platform is down for all. Otherwise it may be cut off while operators change the
// configuration, so it must refuse.
class Freshness {
public:
    explicit Freshness(std::string_view ownZone, const FreshnessSettings& settings = {})
        : m_ownZone(ownZone)
        , m_settings(settings)
    {
    }

    // The configuration was current at `at`, which is before the call that confirmed it was sent.
    void confirm(TimePoint at);

    // An instance of the zone answered.
    void recordContact(std::string_view zone, TimePoint);

    // True if there was contact with any zone within contactTimeout.
    bool hasRecentContact(TimePoint now) const;

    // Time since the configuration was last confirmed; very large if it never was.
    Millis age(TimePoint now) const;

    // True if new work may be accepted. `zones` is the number of zones in the configuration.
    bool mayAcceptWork(TimePoint now, size_t zones) const;

private:
    std::string m_ownZone;
    FreshnessSettings m_settings;
    std::optional<TimePoint> m_confirmedAt;
    std::map<std::string, TimePoint, std::less<>> m_lastContact;
};

} // namespace orioletrail
