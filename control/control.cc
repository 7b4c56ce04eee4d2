#include "control/control.h"

#include "telemetry/log.h"

#include <caf/all.hpp>

namespace orioletrail {

namespace detail {

    // Messages to the actor. They stay within the process.
    struct Offer {
        ConfigDelta delta;
        std::string zone;
        std::optional<TimePoint> asked;
        Millis age { 0 };
    };

    struct Ask {
        uint64_t since = 0;
        std::function<void(ConfigDelta, const ControlView&)> reply;
    };

} // namespace detail

} // namespace orioletrail

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(orioletrail::detail::Offer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(orioletrail::detail::Ask)

namespace orioletrail {

namespace detail {

    class ControlActor : public caf::event_based_actor {
    public:
        ControlActor(caf::actor_config& config, const std::string& zone, const FreshnessSettings& settings, Control::Hooks hooks)
            : caf::event_based_actor(config)
            , m_hooks(std::move(hooks))
        {
            m_view.freshness = Freshness(zone, settings);
        }

        caf::behavior make_behavior() override
        {
            return {
                [this](const Offer& offer) { take(offer); },
                [this](const Ask& ask) { ask.reply(m_store.deltaSince(ask.since), m_view); },
            };
        }

    private:
        void take(const Offer& offer)
        {
            if (offer.asked)
                m_view.freshness.recordContact(offer.zone, *offer.asked);
            if (!m_store.apply(offer.delta)) {
                log(LogLevel::Warning, "configuration not applied", { { "reason", m_store.lastError() } });
                return;
            }
            // Of another revision than the one held, the peer says nothing about this one.
            if (offer.asked && offer.delta.to == m_store.revision())
                m_view.freshness.confirm(*offer.asked - offer.age);
            if (m_store.revision() != m_view.config->revision)
                publishConfig(offer.delta);
            m_hooks.published(m_view);
        }

        void publishConfig(const ConfigDelta& delta)
        {
            m_view.config = m_store.buildView();
            if (!m_store.lastError().empty())
                log(LogLevel::Error, "object left out", { { "reason", m_store.lastError() } });
            log(LogLevel::Info, "configuration in force", { { "revision", std::to_string(m_store.revision()) } });
            if (m_hooks.news)
                m_hooks.news(delta);
        }

        Control::Hooks m_hooks;
        ConfigStore m_store;
        ControlView m_view;
    };

    caf::actor_system_config& prepare(caf::actor_system_config& config)
    {
        config.set("scheduler.max-threads", 1);
        // The default policy polls for work 100 times a second when idle.
        config.set("scheduler.policy", caf::atom("sharing"));
        config.set("logger.verbosity", caf::atom("quiet"));
        return config;
    }

} // namespace detail

struct Control::State {
    State(std::string_view zone, const FreshnessSettings& settings, Hooks hooks)
        : system(detail::prepare(config))
        , actor(system.spawn<detail::ControlActor>(std::string(zone), settings, std::move(hooks)))
    {
    }

    ~State() { caf::anon_send_exit(actor, caf::exit_reason::user_shutdown); }

    caf::actor_system_config config;
    caf::actor_system system;
    caf::actor actor;
};

Control::Control(std::string_view zone, const FreshnessSettings& settings, Hooks hooks)
    : m_state(std::make_unique<State>(zone, settings, std::move(hooks)))
{
}

Control::~Control() = default;

void Control::offer(ConfigDelta delta, std::string zone, std::optional<TimePoint> asked, Millis age)
{
    caf::anon_send(m_state->actor, detail::Offer { std::move(delta), std::move(zone), asked, age });
}

void Control::ask(uint64_t since, std::function<void(ConfigDelta, const ControlView&)> reply)
{
    caf::anon_send(m_state->actor, detail::Ask { since, std::move(reply) });
}

} // namespace orioletrail
