// Drives a group while this process holds its lease.
#pragma once

#include "expertmap/group.h"
#include "platform/platform.h"
#include "rank/map.h"
#include "rank/rank.h"
#include "transport/connection.h"

namespace orioletrail {

// Connects to all ranks, runs agreements one after another, and plans new maps. Lives on one thread.
class LeaderDriver {
public:
    struct Hooks {
        // Token counts of the last interval from this rank's engine.
        std::function<Task<std::optional<std::vector<std::vector<double>>>>()> counts;
        // True if operators froze the map.
        std::function<bool()> isFrozen;
    };

    LeaderDriver(boost::asio::any_io_executor, const RankSettings&, Platform, Metrics&, uint64_t token, Hooks);
    ~LeaderDriver();

    LeaderDriver(const LeaderDriver&) = delete;
    LeaderDriver& operator=(const LeaderDriver&) = delete;

    // Sends what is due and gives up what took too long.
    void tick(TimePoint);

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
    void watchMember(Member&, TimePoint);
    void receive(GroupMessage&&);
    void sendAll(TimePoint);
    void watchPhase(TimePoint);
    void planIfDue(TimePoint);
    Task<> plan();
    Task<> restore();
    Task<bool> publish(StoredMap);

    boost::asio::any_io_executor m_executor;
    const RankSettings& m_settings;
    Platform m_platform;
    Metrics& m_metrics;
    Hooks m_hooks;
    GroupLeader m_leader;
    Planner m_planner;
    std::vector<Member> m_members;
    // Texts of maps by version, for preparations.
    std::map<uint64_t, std::string> m_maps;
    uint64_t m_latestVersion = 0;
    uint64_t m_mapRevision = 0;
    bool m_restored = false;
    bool m_busy = false;
    TimePoint m_phaseSince;
    TimePoint m_prepareSince;
    TimePoint m_nextPlan;
    TimePoint m_nextSend;
    LeaderPhase m_lastPhase = LeaderPhase::Joining;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace orioletrail
