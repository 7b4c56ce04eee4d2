// The sidecar of one rank of a group that runs in lock-step on an expert map.
#pragma once

#include "base/types.h"
#include "expertmap/lease.h"
#include "expertmap/planner.h"

#include <memory>

namespace orioletrail {

struct RankSettings {
    std::string group;
    uint32_t rank = 0;
    // Where this process answers the group's leader, and where all ranks do, in order.
    std::string listen = "127.0.0.1:7200";
    std::vector<std::string> ranks;
    std::string engine = "127.0.0.1:8000";
    std::string platform = "127.0.0.1:7000";
    std::string admin = "127.0.0.1:7201";
    // Ranks below this number may lead.
    uint32_t candidates = 3;
    // Engine steps that one agreement covers.
    uint32_t stepsPerAgreement = 8;
    // A step or a preparation that some rank does not answer is given up.
    Millis stepTimeout { 2000 };
    Millis prepareTimeout { 30'000 };
    Millis planInterval { 2000 };
    // How often the leader looks whether operators froze the map.
    Millis freezePoll { 5000 };
    Millis platformTimeout { 1000 };
    uint32_t slotsPerRank = 2;
    LeaseSettings lease;
    PlannerSettings planner;
};

// Runs on the caller's thread until SIGTERM or SIGINT.
class Rank {
public:
    explicit Rank(RankSettings);
    ~Rank();

    // False with lastError() set if an address cannot be used.
    bool run();

    const std::string& lastError() const { return m_lastError; }

private:
    struct State;
    std::unique_ptr<State> m_state;
    std::string m_lastError;
};

// Checks the settings. Returns false with `reason` set, which names the flag and the value.
bool validate(const RankSettings&, std::string& reason);

} // namespace orioletrail
