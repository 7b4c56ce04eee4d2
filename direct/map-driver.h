// Leads the groups of ranks of all engines: reads what was chosen, plans expert maps and has the
// engines change to them. One instance of all leads at a time.
#pragma once

#include "directory/beliefs.h"
#include "expertmap/forecast.h"
#include "platform/engine.h"
#include "telemetry/metrics.h"

namespace orioletrail {

// An engine that orders can be sent to.
struct EngineAccess {
    std::string endpoint;
    std::shared_ptr<HttpClient> client;
};

struct MapDriverSettings {
    // Between two readings of what was chosen; a popularity lasts some seconds.
    Millis planInterval { 1000 };
    // Ranks whose counts are read: each reading is paid for and holds the group up for a moment.
    uint32_t ranksSampled = 4;
    // A map is changed if passes become shorter by this factor at least.
    double leastGain = 1.06;
    Millis callTimeout { 400 };
    // Without a report of any rank for so long, leading is left to another instance.
    Millis unheardLimit { 2000 };
    // A leader that others have not heard of for so long is replaced.
    Millis leaderSilence { 1000 };
};

class MapDriver {
public:
    struct Hooks {
        // The engines of all services that have expert maps, by service.
        std::function<std::map<std::string, std::vector<EngineAccess>>()> engines;
        // The engine parameters of a service, or null.
        std::function<const EngineProfile*(const std::string& service)> profile;
        // Takes the lead in the store. Nothing if another instance was first or nothing is known.
        std::function<Task<std::optional<uint64_t>>()> claim;
        // True if this instance comes first among those that are alive.
        std::function<bool()> isFirst;
    };

    MapDriver(boost::asio::any_io_executor, const MapDriverSettings&, Hooks, Metrics&);

    // Does what is due. To be called several times in a pass.
    void tick(TimePoint);

    // Another instance says that it leads.
    void onLeaderHeard(TimePoint now) { m_leaderHeard = now; }

    // Finishes what is under way and leads no more.
    void stop() { m_stopping = true; }

    bool isLeading() const { return m_base.has_value(); }

private:
    struct Group {
        explicit Group(std::string serviceName, const MapLeaderSettings& settings)
            : service(std::move(serviceName))
            , leader(settings)
        {
        }

        std::string service;
        MapLeader leader;
        MapPhase loggedPhase = MapPhase::Idle;
        // Endpoint of each rank.
        std::map<uint32_t, EngineAccess> ranks;
        // Latest counts by rank, of the epoch below.
        std::map<uint32_t, std::vector<double>> counts;
        uint64_t countsEpoch = 0;
        TokenForecast forecast;
        // The map in use, with its version and epoch.
        std::optional<ExpertMap> map;
        uint64_t mapVersion = 0;
        uint64_t mapEpoch = 0;
        bool planning = false;
        TimePoint nextPlan;
    };

    using GroupPtr = std::shared_ptr<Group>;

    Task<> claim();
    void resign(std::string_view reason);
    void askReports(TimePoint);
    Task<> askReport(std::string service, EngineAccess);
    Task<> sendOrder(GroupPtr, EngineAccess, MapOrder);
    Task<> plan(GroupPtr);
    Task<bool> readCounts(GroupPtr, ExpertCounts& chosen);
    Task<bool> readMap(GroupPtr);
    GroupPtr groupOf(const std::string& service, const EngineStatus&);
    Task<HttpResult> call(EngineAccess, HttpRequest);

    boost::asio::any_io_executor m_executor;
    MapDriverSettings m_settings;
    Hooks m_hooks;
    Metrics& m_metrics;
    std::map<std::string, GroupPtr> m_groups;
    // Lower bound of this leader's numbers, while it leads.
    std::optional<uint64_t> m_base;
    bool m_claiming = false;
    bool m_stopping = false;
    TimePoint m_leaderHeard = Clock::now();
    TimePoint m_reportHeard;
    TimePoint m_discovered;
};

} // namespace orioletrail
