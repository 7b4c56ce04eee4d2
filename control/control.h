// The control state of one instance, kept by a CAF actor on one thread.
#pragma once

#include "config/store.h"
#include "membership/freshness.h"

#include <functional>
#include <memory>

namespace orioletrail {

// What is in force, as the traffic threads see it.
struct ControlView {
    std::shared_ptr<const ConfigView> config = std::make_shared<ConfigView>();
    Freshness freshness { "" };

    // True if new work may be accepted now.
    bool mayAct(TimePoint now) const { return config->revision && freshness.mayAct(now, config->zones.size()); }
};

// Owns the configuration replica. Any thread may call it; work happens on the actor's thread.
class Control {
public:
    struct Hooks {
        // A new view, on the actor's thread, after each change of configuration or freshness.
        std::function<void(const ControlView&)> published;
        // Changes that were just applied, to be passed on to peers.
        std::function<void(const ConfigDelta&)> news;
    };

    Control(std::string_view zone, const FreshnessSettings&, Hooks);
    ~Control();

    // A delta from the platform or a peer of `zone`. `asked` is when the question was sent that
    // it answers, and `age` is the age of the peer's configuration then. A message that was not
    // asked for has no time, since it may have waited in a buffer while this process was frozen.
    void offer(ConfigDelta, std::string zone, std::optional<TimePoint> asked, Millis age);

    // Calls back on the actor's thread with the changes since a revision and the present view.
    void ask(uint64_t since, std::function<void(ConfigDelta, const ControlView&)>);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace orioletrail
