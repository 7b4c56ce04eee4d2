#include "direct/keeper.h"

#include "telemetry/log.h"

#include <caf/all.hpp>

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(orioletrail::BeliefNews)

namespace orioletrail {

namespace detail {

    class KeeperActor : public caf::event_based_actor {
    public:
        KeeperActor(caf::actor_config& config, std::function<void(BeliefSnapshot)> published)
            : caf::event_based_actor(config)
            , m_published(std::move(published))
        {
        }

        caf::behavior make_behavior() override
        {
            return {
                [this](const BeliefNews& news) {
                    const bool changed = std::visit([this](const auto& item) { return take(item); }, news);
                    if (changed && m_beliefs.isComplete())
                        m_published(m_beliefs.snapshot());
                },
            };
        }

    private:
        bool take(const CatalogNews& news)
        {
            const std::string version = std::to_string(news.catalog->version());
            if (!m_beliefs.onCatalog(*news.catalog)) {
                log(LogLevel::Info, "configuration not newer", { { "version", version } });
                return false;
            }
            log(LogLevel::Info, "configuration in force", { { "version", version }, { "routes", std::to_string(news.catalog->routeCount()) } });
            return true;
        }

        bool take(const EndpointListNews& news)
        {
            m_beliefs.onEndpointsListed(news.endpoints, Clock::now());
            log(LogLevel::Info, "endpoints listed", { { "endpoints", std::to_string(news.endpoints.size()) } });
            return true;
        }

        bool take(const EndpointNews& news)
        {
            const EndpointRecord& endpoint = news.endpoint;
            log(LogLevel::Info, "endpoint changed", { { "endpoint", endpoint.id }, { "service", endpoint.service }, { "zone", endpoint.zone }, { "leaving", endpoint.leaving ? "true" : "false" } });
            m_beliefs.onEndpointChanged(endpoint, Clock::now());
            return true;
        }

        bool take(const EndpointGoneNews& news)
        {
            log(LogLevel::Info, "endpoint gone", { { "endpoint", news.id } });
            m_beliefs.onEndpointRemoved(news.id, Clock::now());
            return true;
        }

        bool take(const ClosedZonesNews& news)
        {
            std::string zones;
            for (const std::string& zone : news.zones)
                zones += (zones.empty() ? "" : ",") + zone;
            log(LogLevel::Info, "closed zones", { { "zones", zones } });
            m_beliefs.onClosedZones(news.zones);
            return true;
        }

        bool take(const StoreNews& news)
        {
            if (news.answers)
                m_beliefs.onStoreReturned(Clock::now());
            else
                m_beliefs.onStoreLost(Clock::now());
            return false;
        }

        bool take(const TickNews&) { return m_beliefs.expire(Clock::now()); }

        std::function<void(BeliefSnapshot)> m_published;
        Beliefs m_beliefs;
    };

    caf::actor_system_config& prepareKeeper(caf::actor_system_config& config)
    {
        config.set("scheduler.max-threads", 1);
        // The default policy polls for work 100 times a second when idle.
        config.set("scheduler.policy", caf::atom("sharing"));
        config.set("logger.verbosity", caf::atom("quiet"));
        return config;
    }

} // namespace detail

struct BeliefKeeper::State {
    explicit State(std::function<void(BeliefSnapshot)> published)
        : system(detail::prepareKeeper(config))
        , actor(system.spawn<detail::KeeperActor>(std::move(published)))
    {
    }

    ~State() { caf::anon_send_exit(actor, caf::exit_reason::user_shutdown); }

    caf::actor_system_config config;
    caf::actor_system system;
    caf::actor actor;
};

BeliefKeeper::BeliefKeeper(std::function<void(BeliefSnapshot)> published)
    : m_state(std::make_unique<State>(std::move(published)))
{
}

BeliefKeeper::~BeliefKeeper() = default;

void BeliefKeeper::tell(BeliefNews news)
{
    caf::anon_send(m_state->actor, std::move(news));
}

} // namespace orioletrail
