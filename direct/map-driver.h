// Drives the expert maps of all groups of engines: reads how often experts are chosen, plans new maps
// and makes the engines switch to them. Only one instance does so at a time: the leader.
#pragma once

#include "direct/handover.h"
#include "directory/beliefs.h"
#include "dispatch/dispatcher.h"
#include "expertmap/forecast.h"
#include "expertmap/proposal.h"
#include "group/group-watch.h"
#include "platform/engine.h"
#include "telemetry/metrics.h"

namespace orioletrail {

// Client to one engine, direct or through the sidecar beside it.
struct EngineAccess {
    // Endpoint, or instance of the sidecar.
    std::string name;
    std::string service;
    std::shared_ptr<HttpClient> client;
    // Upper bound for the age of a report when it arrives.
    Millis reportLag { 0 };
    // Leads through a sidecar, where reading counts costs the engine nothing.
    bool isSidecar = false;
    // Client for orders only. Engines do not name orders in their answers, so only the first answer on a connection
    // is known to be the order's.
    std::shared_ptr<HttpClient> orderClient {};
};

struct MapDriverSettings {
    // Time between two readings of a group's counts, if all its ranks have sidecars, and otherwise.
    // A direct reading has a cost and blocks the group for a moment. The popularity of experts
    // changes every few seconds.
    Millis countInterval { 150 };
    Millis directCountInterval { 1000 };
    // Number of ranks whose counts are read through sidecars, and directly. All ranks of a large group
    // would send more than the leader's link carries; a few dozen show the popularity as well.
    uint32_t sampledRanks = 32;
    uint32_t directlySampledRanks = 4;
    ProposalSettings proposals;
    // A map is left as it is while the expected gap between two events of a stream is below this
    // share of the objective. Passes are short enough then and copying experts would only disturb
    // them; the rest of the objective is headroom for passes that also process prompts.
    double minGapRatio = 0.5;
    // Timeout of requests for reports, counts and experts.
    Millis readTimeout { 400 };
    // Timeout of orders: many round trips. An order without an answer by then is sent again. An order to
    // prepare holds the whole map, which takes longer to send.
    Millis orderTimeout { 40 };
    Millis prepareTimeout { 400 };
    // Orders to prepare that may be under way at once, so that they do not delay each other and the
    // reports beyond their timeouts.
    size_t maxPreparing = 32;
    // The leader resigns if no engine has sent a report for this long.
    Millis reportTimeout { 2000 };
    // Size of the range of fences and versions of one leadership. When it is used up, the leadership
    // has to be acquired again.
    uint64_t numbersPerLeadership = 65'536;
    // Another instance may become leader if the present one has been silent for this long, and if it was
    // changing a map, since a group may be held meanwhile.
    Millis leaderTimeout { 1000 };
    Millis leaderTimeoutDuringChange { 500 };
};

// What a plan is made from.
struct MapPlanInput {
    ExpertMap map;
    ExpertCounts expected;
    RankSlowness slowness;
    MapLimits limits;
    Millis copyTime { 0 };
    ProposalSettings settings;
};

class MapDriver {
public:
    struct Hooks {
        // Direct access to the engines of all services that have expert maps.
        std::function<std::vector<EngineAccess>()> engines;
        // Access through all registered sidecars, or nothing if the store does not answer.
        std::function<Task<std::optional<std::vector<EngineAccess>>>()> sidecars;
        // The engine parameters of a service, or null.
        std::function<const EngineProfile*(const std::string& service)> profile;
        // Expected gap between two events of the group's streams with a map of this unevenness, as
        // a share of its objective.
        std::function<double(const std::string& service, const std::string& group, double unevenness)> expectedGapRatio;
        // Acquires the leadership in the store. Returns its number, which is higher than that of each
        // earlier leadership, or nothing if another instance was faster or the outcome is unknown.
        std::function<Task<std::optional<uint64_t>>()> acquireLeadership;
        // True if this instance should become leader before all others that are alive.
        std::function<bool()> isPreferredLeader;
        // A rank has reported. Optional.
        std::function<void(const RankObservation&)> onRank {};
        // The map of a group is or is not being changed, and how uneven it is; 0 if that is unknown. Optional.
        std::function<void(const std::string& group, bool isChanging, double unevenness)> onMap {};
    };

    // Plans are made on `planner`, everything else is done on `executor`.
    MapDriver(boost::asio::any_io_executor executor, boost::asio::any_io_executor planner, const MapDriverSettings&, Hooks, Metrics&);

    // Does all work that is due. Call it several times per forward pass of the engines.
    void tick(TimePoint);

    // Another instance has announced that it leads, and whether it is changing a map.
    void onLeaderHeard(bool isChanging, TimePoint);

    // True if this instance leads and is changing a map.
    bool isChanging() const;

    // Completes changes under way, then gives up the leadership for good.
    void stop() { m_isStopping = true; }

    // The leadership given up after stop(), with the numbers not yet used, so that a planned stop
    // needs no store and leaves no time without a leader. Nothing until it is given up.
    const std::optional<MapLeadership>& releasedLeadership() const { return m_releasedLeadership; }

    // Continues the leadership of an instance that has stopped. The numbers used from here on are
    // higher, so engines refuse orders of the former leader that arrive late.
    void takeOver(const MapLeadership&);

    bool isLeading() const { return m_leadership.has_value(); }

    // Endpoints that are slower than usual, with the factor by which they are, or unreportedSlowness for an
    // engine that sends no reports. Empty unless leading.
    std::map<std::string, double, std::less<>> slowEndpoints() const;

private:
    struct RankAccess {
        EngineAccess engine;
        // When the rank last reported through this access.
        TimePoint reportedAt;
    };

    // A group of engines that run one model together, one engine per rank.
    struct Group {
        Group(std::string groupName, std::string serviceName, const MapLeaderSettings& settings)
            : name(std::move(groupName))
            , service(std::move(serviceName))
            , leader(settings)
        {
        }

        std::string name;
        std::string service;
        MapLeader leader;
        MapPhase loggedPhase = MapPhase::Idle;
        // Unevenness of the map in use with the forecast load, 0 if unknown.
        double unevenness = 0;
        // Preferred access to each rank, through its sidecar if there is one.
        std::map<uint32_t, RankAccess> ranks;
        // Direct access to each rank in `directEpoch`, used while its sidecar is silent.
        std::map<uint32_t, EngineAccess> directAccess;
        RankSlowness slowness;
        uint64_t directEpoch = 0;
        // Latest counts by rank, of the epoch below.
        std::map<uint32_t, std::vector<double>> lastCounts;
        uint64_t countsEpoch = 0;
        TokenForecast forecast;
        // The map in use, with its version and epoch.
        std::optional<ExpertMap> map;
        uint64_t mapVersion = 0;
        uint64_t mapEpoch = 0;
        // Counts are being read.
        bool isReading = false;
        TimePoint lastReadingAt;
        // A change is being planned.
        bool isPlanning = false;
        // Orders to prepare that wait for an answer, and the request that they share.
        size_t preparing = 0;
        HttpRequest prepareRequest;
        uint64_t prepareVersion = 0;
    };

    using GroupPtr = std::shared_ptr<Group>;

    Task<> acquireLeadership();
    void startLeading(const MapLeadership&);
    // The highest fence or version used so far in this leadership.
    uint64_t lastUsedNumber() const;
    Task<> refreshSidecars();
    void resign(std::string_view reason);
    void requestReports(TimePoint);
    // True if all ranks of the group have reported through their sidecars recently.
    bool reportsThroughSidecars(const Group&, TimePoint) const;
    void requestReport(const EngineAccess&);
    Task<> fetchReport(EngineAccess);
    // The access to use for an order now, or null if there is none.
    const EngineAccess* accessTo(const Group&, uint32_t rank, TimePoint) const;
    void sendDueOrders(const GroupPtr&);
    // Passes the state of the group's map to the hook.
    void reportMap(const Group&) const;
    // The request for an order. All ranks get the same one to prepare a version, which is large.
    HttpRequest requestFor(Group&, const MapOrder&);
    Task<> sendOrder(GroupPtr, EngineAccess, MapOrder);
    // Opens the connections for the orders that follow while the group is held.
    void openOrderConnections(const EngineAccess&, uint32_t rank);
    Task<> readAndPlan(GroupPtr);
    // Starts a change of the group's map if one is worth its cost.
    void planChange(const GroupPtr&);
    Task<> proposeAndStart(GroupPtr, MapPlanInput);
    // Adds up, by expert, how often it was chosen since the previous reading. Returns false if a set
    // of experts has no counts.
    Task<bool> readCounts(GroupPtr, ExpertCounts& chosen);
    // Reads the counts of one rank and adds them to `chosen`.
    Task<> readRankCounts(GroupPtr, uint32_t rank, EngineAccess, std::shared_ptr<ExpertCounts> chosen);
    // Reads the experts that one rank holds in the map's version. Clears `map` if that fails.
    Task<> readRankExperts(GroupPtr, uint32_t rank, EngineAccess, std::shared_ptr<std::optional<ExpertMap>> map);
    // Determines the map that the engines use; asks them if this instance did not make it.
    Task<bool> readMap(GroupPtr);
    // Null if the engine belongs to no group or its service is unknown.
    GroupPtr findOrAddGroup(const std::string& service, const EngineStatus&);
    Task<HttpResult> call(EngineAccess, HttpRequest, Millis timeout);

    boost::asio::any_io_executor m_executor;
    boost::asio::any_io_executor m_planner;
    MapDriverSettings m_settings;
    Hooks m_hooks;
    Metrics& m_metrics;
    std::map<std::string, GroupPtr> m_groups;
    // Set while this instance leads.
    std::optional<MapLeadership> m_leadership;
    std::optional<MapLeadership> m_releasedLeadership;
    bool m_isAcquiring = false;
    bool m_isStopping = false;
    // When another instance last announced that it leads, or this one resigned or tried to lead.
    TimePoint m_leaderHeardAt = Clock::now();
    bool m_isLeaderChanging = false;
    TimePoint m_lastReportAt;
    // When all engines were last asked for reports directly.
    TimePoint m_directReportsAt;
    std::vector<EngineAccess> m_sidecars;
    bool m_isListingSidecars = false;
    TimePoint m_sidecarsListedAt;
};

} // namespace orioletrail
