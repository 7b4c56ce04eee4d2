#include "direct/keeper.h"

#include "telemetry/log.h"

#include <caf/all.hpp>

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(orioletrail::DirectoryUpdate)

namespace orioletrail {

namespace detail {

    class KeeperActor : public caf::event_based_actor {
    public:
        KeeperActor(caf::actor_config& config, std::function<void(DirectorySnapshot)> onChange)
            : caf::event_based_actor(config)
            , m_onChange(std::move(onChange))
        {
        }

        caf::behavior make_behavior() override
        {
            return {
                [this](const DirectoryUpdate& update) {
                    const bool changed = std::visit([this](const auto& item) { return apply(item); }, update);
                    logSuperseded();
                    if (changed && m_state.isComplete())
                        m_onChange(m_state.snapshot());
                },
            };
        }

    private:
        bool apply(const CatalogUpdate& update)
        {
            const std::string version = std::to_string(update.catalog->version());
            if (!m_state.onCatalog(*update.catalog)) {
                log(LogLevel::Info, "configuration ignored: it is not newer than the one in force", { { "version", version } });
                return false;
            }
            log(LogLevel::Info, "configuration in force", { { "version", version }, { "routes", std::to_string(update.catalog->routeCount()) } });
            return true;
        }

        bool apply(const EndpointListUpdate& update)
        {
            m_state.onEndpointsListed(update.list, Clock::now());
            log(LogLevel::Info, "endpoints listed", { { "endpoints", std::to_string(update.list.endpoints.size()) }, { "unreadable", std::to_string(update.list.unreadable.size()) } });
            return true;
        }

        bool apply(const EndpointUpdate& update)
        {
            const EndpointRecord& endpoint = update.endpoint;
            // The many records of a fleet that starts are summed up.
            if (endpoint.leaving)
                log(LogLevel::Info, "endpoint leaving", { { "endpoint", endpoint.id }, { "service", endpoint.service }, { "zone", endpoint.zone } });
            else
                m_changedRecords.insert(endpoint.id);
            m_state.onEndpointChanged(endpoint, Clock::now());
            return true;
        }

        bool apply(const EndpointRemoval& endpoint)
        {
            log(LogLevel::Info, "endpoint removed", { { "endpoint", endpoint.id } });
            m_state.onEndpointRemoved(endpoint.id, Clock::now());
            return true;
        }

        bool apply(const EndpointUnreadable& endpoint)
        {
            m_state.onEndpointUnreadable(endpoint.id);
            return true;
        }

        bool apply(const ClosedZonesUpdate& update)
        {
            std::string zones;
            for (const std::string& zone : update.zones)
                zones += (zones.empty() ? "" : ",") + zone;
            log(LogLevel::Info, "closed zones changed", { { "zones", zones } });
            m_state.onClosedZones(update.zones);
            return true;
        }

        bool apply(const StoreAvailability& store)
        {
            if (store.isAvailable)
                m_state.onStoreReturned(Clock::now());
            else
                m_state.onStoreLost(Clock::now());
            return false;
        }

        bool apply(const StoreRestored&)
        {
            m_state.onStoreRestored(Clock::now());
            return false;
        }

        bool apply(const ExpiryTick&)
        {
            logChangedRecords();
            return m_state.expire(Clock::now());
        }

        void logSuperseded()
        {
            for (const SupersededProcess& process : m_state.takeSuperseded())
                log(LogLevel::Info, "endpoint ended: a later process is registered at its address", { { "endpoint", process.id }, { "startMs", std::to_string(process.processStartMs) }, { "successor", process.successor }, { "service", process.successorService } });
        }

        void logChangedRecords()
        {
            constexpr size_t maxNamed = 8;
            if (m_changedRecords.empty())
                return;
            std::string named;
            size_t count = 0;
            for (const std::string& id : m_changedRecords)
                if (count++ < maxNamed)
                    named += (named.empty() ? "" : ",") + id;
            log(LogLevel::Info, "endpoints changed", { { "count", std::to_string(m_changedRecords.size()) }, { "endpoints", named } });
            m_changedRecords.clear();
        }

        std::function<void(DirectorySnapshot)> m_onChange;
        DirectoryState m_state;
        // Endpoints whose records have changed since the last line in the log about them.
        std::set<std::string> m_changedRecords;
    };

    caf::actor_system_config& configureActorSystem(caf::actor_system_config& config)
    {
        config.set("scheduler.max-threads", 1);
        // The default policy, work stealing, polls for work 100 times per second when idle.
        config.set("scheduler.policy", caf::atom("sharing"));
        config.set("logger.verbosity", caf::atom("quiet"));
        return config;
    }

} // namespace detail

struct DirectoryKeeper::State {
    explicit State(std::function<void(DirectorySnapshot)> onChange)
        : system(detail::configureActorSystem(config))
        , actor(system.spawn<detail::KeeperActor>(std::move(onChange)))
    {
    }

    ~State() { caf::anon_send_exit(actor, caf::exit_reason::user_shutdown); }

    caf::actor_system_config config;
    caf::actor_system system;
    caf::actor actor;
};

DirectoryKeeper::DirectoryKeeper(std::function<void(DirectorySnapshot)> onChange)
    : m_state(std::make_unique<State>(std::move(onChange)))
{
}

DirectoryKeeper::~DirectoryKeeper() = default;

void DirectoryKeeper::send(DirectoryUpdate update)
{
    caf::anon_send(m_state->actor, std::move(update));
}

} // namespace orioletrail
