// Divides the slack of the retry budget among instances that do not coordinate.
#pragma once

#include "base/types.h"

#include <set>

namespace orioletrail {

struct SlackShareSettings {
    // Retries that all instances together may make beyond their ratio in any window.
    double slack = 0;
    Millis window { 10'000 };
};

// One process's share of the slack. The shares add up to the slack or less as long as each process
// knows of half of the instances.
class SlackShare {
public:
    explicit SlackShare(const SlackShareSettings& settings = {}, TimePoint started = {})
        : m_settings(settings)
        , m_started(started)
    {
    }

    // An instance is registered or was heard. Instances are never forgotten: one that is not heard
    // may be cut off and still serve callers.
    void onInstance(std::string_view name);

    // This process is registered. `isNew` is true if no process of its instance was registered
    // before. Otherwise the previous one may just have spent the share of the instance, so this one
    // gets it a window after its start.
    void onRegistered(bool isNew, TimePoint);

    // The number of retries that this process may save up beyond those its requests allow.
    double share(TimePoint) const;

    size_t instanceCount() const { return m_instances.size(); }

private:
    SlackShareSettings m_settings;
    TimePoint m_started;
    std::optional<TimePoint> m_usableFrom;
    std::set<std::string, std::less<>> m_instances;
};

} // namespace orioletrail
