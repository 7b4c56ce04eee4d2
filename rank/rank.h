// The sidecar process of one rank of a group of engines that run one model together. All ranks of
// the group run each step with the same version of the expert map.
#pragma once

#include "base/types.h"
#include "expertmap/lease.h"
#include "expertmap/planner.h"

#include <memory>

namespace orioletrail {

struct RankSettings {
    // Name of the group, and number of this rank in it, counted from 0.
    std::string group;
    uint32_t rank = 0;
    // IP:PORT on which to accept connections of the group's leader.
    std::string listen = "127.0.0.1:7200";
    // The same addresses of all ranks of the group, by number.
    std::vector<std::string> ranks;
    // IP:PORT of this rank's engine, of the platform, and on which to serve metrics and health checks.
    std::string engine = "127.0.0.1:8000";
    std::string platform = "127.0.0.1:7000";
    std::string admin = "127.0.0.1:7201";
    // Ranks whose number is lower than this may lead the group.
    uint32_t candidates = 3;
    // Engine steps that ranks run after agreeing once on the version of the map.
    uint32_t stepsPerAgreement = 8;
    // Time after which the leader abandons an agreement with its steps, or the loading of a new
    // version, if some rank has not answered.
    Millis stepTimeout { 2000 };
    Millis prepareTimeout { 30'000 };
    // How often the leader plans a new map.
    Millis planInterval { 2000 };
    // How often the leader checks whether operators have frozen the map.
    Millis freezePollInterval { 5000 };
    Millis platformTimeout { 1000 };
    // Experts of one layer that a rank can hold.
    uint32_t slotsPerRank = 2;
    LeaseSettings lease;
    // Memory that the process may use; 0 if unknown.
    size_t memoryMegabytes = 0;
    PlannerSettings planner;
};

// Takes part in the group's agreements for its engine, and leads the group while it holds the lease.
class Rank {
public:
    explicit Rank(RankSettings);
    ~Rank();

    // Blocks until SIGTERM or SIGINT. Returns false at once, with lastError() set, if a setting is
    // invalid or an address cannot be used.
    bool run();

    const std::string& lastError() const { return m_lastError; }

private:
    struct State;
    std::unique_ptr<State> m_state;
    std::string m_lastError;
};

// Checks the settings. Returns false with `reason` set to a message that names the invalid flag
// and its value.
bool validate(const RankSettings&, std::string& reason);

} // namespace orioletrail
