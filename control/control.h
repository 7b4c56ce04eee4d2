// The control state of an instance: its replica of the configuration and how current that is.
#pragma once

#include "config/store.h"
#include "membership/freshness.h"

#include <functional>
#include <memory>

namespace orioletrail {

// A copy of the control state for other threads.
struct ControlView {
    std::shared_ptr<const ConfigView> config = std::make_shared<ConfigView>();
    Freshness freshness { "" };

    bool mayAcceptWork(TimePoint now) const { return config->revision && freshness.mayAcceptWork(now, config->zones.size()); }
};

// Owns the control state. Thread-safe: calls are messages to a CAF actor, which has a thread of its
// own.
class Control {
public:
    struct Hooks {
        // Called on the actor's thread after each change of configuration or freshness.
        std::function<void(const ControlView&)> viewChanged;
        // Called on the actor's thread with changes that were just applied and should go to peers. May
        // be empty.
        std::function<void(const ConfigDelta&)> changesApplied;
    };

    Control(std::string_view zone, const FreshnessSettings&, Hooks);
    ~Control();

    // Applies a delta from the platform or from a peer in `zone`. `requestSentAt` is the time at which
    // the request that it answers was sent, and `age` the age of the peer's configuration then. A delta
    // that was not requested has no time and confirms nothing, since it may have waited in a buffer
    // while this process was frozen.
    void submitDelta(ConfigDelta, std::string zone, std::optional<TimePoint> requestSentAt, Millis age);

    // Calls the handler on the actor's thread with the changes after revision `since` and the current
    // view.
    void requestDelta(uint64_t since, std::function<void(ConfigDelta, const ControlView&)>);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace orioletrail
