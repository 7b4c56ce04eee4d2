// Leads the groups of ranks of all engines: reads what was chosen, plans expert maps and has the
// engines change to them. One instance of all leads at a time.
#pragma once

#include "direct/handover.h"
#include "directory/beliefs.h"
#include "dispatch/dispatcher.h"
#include "expertmap/forecast.h"
#include "expertmap/proposal.h"
#include "platform/engine.h"
#include "telemetry/metrics.h"

namespace orioletrail {

// A way to an engine.
struct EngineAccess {
    // Endpoint, or instance of its sidecar.
    std::string name;
    std::string service;
    std::shared_ptr<HttpClient> client;
    // What it reports is as old as this.
    Millis lag { 0 };
    // Reading counts costs nothing there.
    bool isLocal = false;
};

struct MapDriverSettings {
    // Between two readings of what was chosen, through sidecars or directly: each direct reading
    // is paid for and holds the group up for a moment. A popularity lasts some seconds.
    Millis countInterval { 150 };
    Millis directCountInterval { 1000 };
    // Ranks whose counts are read if they are read directly.
    uint32_t ranksSampled = 4;
    ProposalSettings proposals;
    // Share of the objective for pauses below which passes are short enough and copies only
    // disturb: what is left covers prompts that are read within a pass.
    double comfortablePause = 0.5;
    // Of reports and counts.
    Millis callTimeout { 400 };
    // Of orders: many round trips. One that was not answered by then is sent again.
    Millis orderTimeout { 40 };
    // Without a report of any rank for so long, leading is left to another instance.
    Millis unheardLimit { 2000 };
    // Numbers that one lead may use before it has to be taken anew.
    uint64_t numbersPerLead = 65'536;
    // A leader that others have not heard of for so long is replaced.
    Millis leaderSilence { 1000 };
};

class MapDriver {
public:
    struct Hooks {
        // Direct ways to the engines of all services that have expert maps.
        std::function<std::vector<EngineAccess>()> engines;
        // Ways through sidecars, as they are registered. Nothing if the store does not answer.
        std::function<Task<std::optional<std::vector<EngineAccess>>>()> sidecars;
        // The engine parameters of a service, or null.
        std::function<const EngineProfile*(const std::string& service)> profile;
        // The pause between events that callers of a service would see with a map of this
        // unevenness, against its objective.
        std::function<double(const std::string& service, double unevenness)> expectedPause;
        // Takes the lead in the store and returns a number that rises with each lead. Nothing if
        // another instance was first or nothing is known.
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

    // What is left of the lead after stop(), for another instance to go on with, so that a planned
    // stop needs no store and leaves no gap. Nothing before that.
    const std::optional<MapLead>& handedOver() const { return m_handedOver; }

    // Goes on with the lead of an instance that has stopped. Orders of that one are fenced off by
    // the higher numbers, should any come late.
    void takeOver(const MapLead&);

    bool isLeading() const { return m_lead.has_value(); }

    // Endpoints that take longer than usual, with how many times longer, while this instance leads.
    std::map<std::string, double, std::less<>> slowEndpoints() const;

private:
    struct RankAccess {
        EngineAccess engine;
        TimePoint heard;
    };

    struct Group {
        Group(std::string serviceName, const MapLeaderSettings& settings)
            : service(std::move(serviceName))
            , leader(settings)
        {
        }

        std::string service;
        MapLeader leader;
        MapPhase loggedPhase = MapPhase::Idle;
        // The best way to each rank, and the direct one, which is used while a sidecar is silent.
        std::map<uint32_t, RankAccess> ranks;
        std::map<uint32_t, EngineAccess> direct;
        RankSlowness slowness;
        uint64_t directEpoch = 0;
        // Latest counts by rank, of the epoch below.
        std::map<uint32_t, std::vector<double>> counts;
        uint64_t countsEpoch = 0;
        TokenForecast forecast;
        // The map in use, with its version and epoch.
        std::optional<ExpertMap> map;
        uint64_t mapVersion = 0;
        uint64_t mapEpoch = 0;
        bool reading = false;
        TimePoint nextReading;
    };

    using GroupPtr = std::shared_ptr<Group>;

    Task<> claim();
    void begin(const MapLead&);
    uint64_t lastNumber() const;
    Task<> findSidecars();
    void resign(std::string_view reason);
    void askReports(TimePoint);
    bool isHeardLocally(const Group&, TimePoint) const;
    void askReport(const EngineAccess&);
    Task<> askReportOf(EngineAccess);
    // The way to use for an order now.
    const EngineAccess* wayTo(const Group&, uint32_t rank, TimePoint) const;
    // Sends the orders that are due.
    void pump(const GroupPtr&);
    Task<> sendOrder(GroupPtr, EngineAccess, MapOrder);
    Task<> read(GroupPtr);
    void plan(const GroupPtr&);
    Task<bool> readCounts(GroupPtr, ExpertCounts& chosen);
    Task<bool> readMap(GroupPtr);
    GroupPtr groupOf(const std::string& service, const EngineStatus&);
    Task<HttpResult> call(EngineAccess, HttpRequest, Millis timeout);

    boost::asio::any_io_executor m_executor;
    MapDriverSettings m_settings;
    Hooks m_hooks;
    Metrics& m_metrics;
    std::map<std::string, GroupPtr> m_groups;
    // Set while this instance leads.
    std::optional<MapLead> m_lead;
    std::optional<MapLead> m_handedOver;
    bool m_claiming = false;
    bool m_stopping = false;
    TimePoint m_leaderHeard = Clock::now();
    TimePoint m_reportHeard;
    TimePoint m_discovered;
    std::vector<EngineAccess> m_sidecars;
    bool m_findingSidecars = false;
    TimePoint m_sidecarsFound;
};

} // namespace orioletrail
