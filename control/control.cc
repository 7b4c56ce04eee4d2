#include "control/control.h"

#include "telemetry/log.h"

#include <caf/all.hpp>

namespace orioletrail {

namespace detail {

    // Messages to the actor. They never leave the process, so they are not serialized.
    struct DeltaMessage {
        ConfigDelta delta;
        std::string zone;
        std::optional<TimePoint> requestSentAt;
        Millis age { 0 };
    };

    struct DeltaRequest {
        uint64_t since = 0;
        std::function<void(ConfigDelta, const ControlView&)> reply;
    };

} // namespace detail

} // namespace orioletrail

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(orioletrail::detail::DeltaMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(orioletrail::detail::DeltaRequest)

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
                [this](const DeltaMessage& message) { apply(message); },
                [this](const DeltaRequest& request) { request.reply(m_store.deltaSince(request.since), m_view); },
            };
        }

    private:
        void apply(const DeltaMessage& message)
        {
            if (message.requestSentAt)
                m_view.freshness.recordContact(message.zone, *message.requestSentAt);
            if (!m_store.apply(message.delta)) {
                log(LogLevel::Warning, "configuration delta rejected", { { "reason", m_store.lastError() } });
                return;
            }
            // A sender at another revision cannot confirm that the stored one is current.
            if (message.requestSentAt && message.delta.to == m_store.revision())
                m_view.freshness.confirm(*message.requestSentAt - message.age);
            if (m_store.revision() != m_view.config->revision)
                publishConfig(message.delta);
            m_hooks.viewChanged(m_view);
        }

        void publishConfig(const ConfigDelta& delta)
        {
            m_view.config = m_store.buildView();
            if (!m_store.lastError().empty())
                log(LogLevel::Error, "malformed object left out of the configuration", { { "reason", m_store.lastError() } });
            log(LogLevel::Info, "configuration in force", { { "revision", std::to_string(m_store.revision()) } });
            if (m_hooks.changesApplied)
                m_hooks.changesApplied(delta);
        }

        Control::Hooks m_hooks;
        ConfigStore m_store;
        ControlView m_view;
    };

    caf::actor_system_config& configure(caf::actor_system_config& config)
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
        : system(detail::configure(config))
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

void Control::submitDelta(ConfigDelta delta, std::string zone, std::optional<TimePoint> requestSentAt, Millis age)
{
    caf::anon_send(m_state->actor, detail::DeltaMessage { std::move(delta), std::move(zone), requestSentAt, age });
}

void Control::requestDelta(uint64_t since, std::function<void(ConfigDelta, const ControlView&)> reply)
{
    caf::anon_send(m_state->actor, detail::DeltaRequest { since, std::move(reply) });
}

} // namespace orioletrail
