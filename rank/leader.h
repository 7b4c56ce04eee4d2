// Leads a group of ranks while this process holds the group's lease.
#pragma once

#include "expertmap/group.h"
#include "platform/platform.h"
#include "rank/map.h"
#include "rank/rank.h"
#include "transport/connection.h"

namespace orioletrail {

// Connects to all ranks, has them agree on one step after another, and plans new expert maps. Sends
// and times what GroupLeader decides. Used on one thread only.
class LeaderDriver {
public:
    struct Hooks {
        // Returns the token counts of the last interval from this rank's engine, by layer and
        // expert, or nothing if there are none.
        std::function<Task<std::optional<std::vector<std::vector<double>>>>()> counts;
        // Whether operators have frozen the map.
        std::function<bool()> isFrozen;
    };

    // `token` is the fencing token of the lease.
    LeaderDriver(boost::asio::any_io_executor, const RankSettings&, Platform, Metrics&, uint64_t token, Hooks);
    ~LeaderDriver();

    LeaderDriver(const LeaderDriver&) = delete;
    LeaderDriver& operator=(const LeaderDriver&) = delete;

    // Connects, sends, plans and applies timeouts as they fall due. To be called at short intervals.
    void tick(TimePoint);

    // Whether a rank has reported a leader with a higher token.
    bool isSuperseded() const { return m_leader.phase() == LeaderPhase::Superseded; }
    const GroupLeader& leader() const { return m_leader; }

private:
    // A connection to one rank.
    struct Member {
        std::shared_ptr<Connection> connection;
        bool connecting = false;
        TimePoint lastPing;
        TimePoint nextConnect;
    };

    void connect(uint32_t rank, TimePoint);
    // Sends heartbeats to a rank and closes its connection if the rank is silent.
    void checkMember(Member&, TimePoint);
    void receive(GroupMessage&&);
    // Sends the messages that ranks have not answered.
    void sendPending(TimePoint);
    // Abandons steps and preparations that take too long, and starts the next step if possible.
    void advancePhase(TimePoint);
    // Starts restore() or plan() if it is time and neither is running.
    void planIfDue(TimePoint);
    // Plans a map from current token counts, stores it and has the ranks load it.
    Task<> plan();
    // Adopts the stored map, and has ranks load it if it is not in force.
    Task<> restore();
    // Stores a new version of the map. Returns false if that failed or may have failed.
    Task<bool> publish(StoredMap);

    boost::asio::any_io_executor m_executor;
    const RankSettings& m_settings;
    Platform m_platform;
    Metrics& m_metrics;
    Hooks m_hooks;
    GroupLeader m_leader;
    Planner m_planner;
    // By number of the rank.
    std::vector<Member> m_members;
    // Recent maps as JSON, by version, to be sent to ranks that load them.
    std::map<uint64_t, std::string> m_recentMaps;
    // Latest stored version of the map, and the revision of its object in the platform.
    uint64_t m_latestVersion = 0;
    uint64_t m_mapRevision = 0;
    // False until the stored map has been read, and again after a failed write.
    bool m_restored = false;
    // Set while restore() or plan() runs.
    bool m_planning = false;
    // When the present phase, and the present preparation, started.
    TimePoint m_phaseSince;
    TimePoint m_prepareSince;
    TimePoint m_nextPlan;
    TimePoint m_nextSend;
    LeaderPhase m_lastPhase = LeaderPhase::Joining;
    // Set to false by the destructor, for callbacks and coroutines that outlive this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace orioletrail
