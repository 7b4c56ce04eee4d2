// One map in every step: the rules by which the ranks of a group run in lock-step.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace orioletrail {

// Identifies a step. Fencing tokens are handed out by the platform, each once, and a leader
// numbers its steps from 1, so that no step of two leaders is the same.
struct StepId {
    uint64_t token = 0;
    uint64_t number = 0;

    auto operator<=>(const StepId&) const = default;
};

enum class GroupMessageKind : uint8_t {
    // Leader to rank: follow this token.
    Join,
    // Rank to leader: follows, with the versions that it has loaded.
    Joined,
    // Leader to rank: load the weights of a version.
    Prepare,
    // Rank to leader: has loaded the version.
    Prepared,
    // Leader to rank: agree to run a step with a version.
    Propose,
    // Rank to leader: agrees.
    Accepted,
    // Leader to rank: all ranks have agreed, run it.
    Run,
    // Rank to leader: has run it.
    Ran,
    // Rank to leader: follows a higher token.
    Superseded
};

struct GroupMessage {
    GroupMessageKind kind = GroupMessageKind::Join;
    uint32_t rank = 0;
    // Start number of the rank's process; a message to or from an earlier process is void.
    uint64_t rankStart = 0;
    StepId step;
    uint64_t version = 0;
    // Joined only.
    std::vector<uint64_t> loaded {};
    // Prepare only: the expert map of the version, as JSON. Filled in by the driver.
    std::string map {};
};

// Parts of the rules that a test can break, to show that it notices. All hold by default.
struct GroupRules {
    // Ranks refuse lower tokens and older steps.
    bool checkToken = true;
    // The switch waits until all ranks have loaded the version.
    bool waitForLoad = true;
    // The leader asks all ranks to follow and to agree before a step, whatever its clock says of its lease.
    bool askRanks = true;
    // A new process of a rank starts with the token in the platform's lease.
    bool keepTokenFloor = true;
};

// What a rank is to do besides replying.
struct RankActions {
    std::optional<GroupMessage> reply;
    // Load the weights of this version; onLoaded() follows.
    std::optional<uint64_t> load;
    // Run this step with this version now.
    std::optional<std::pair<StepId, uint64_t>> run;
};

// The part of a rank's sidecar: it admits a step to its rank.
class GroupRank {
public:
    // `tokenFloor` is the token in the platform's lease when this process started; lower ones
    // are refused, since an earlier process of this rank may have refused them.
    GroupRank(uint32_t rank, uint64_t start, uint64_t tokenFloor, const GroupRules& rules = {});

    RankActions receive(const GroupMessage&);

    RankActions onLoaded(uint64_t version);

    // The rank has finished the step that it was told to run.
    RankActions onStepDone(const StepId&);

    bool isLoaded(uint64_t version) const { return m_loaded.contains(version); }
    uint64_t start() const { return m_start; }

private:
    GroupMessage reply(GroupMessageKind, const GroupMessage& to) const;
    RankActions onPropose(const GroupMessage&);
    RankActions onRun(const GroupMessage&);
    void unloadBelow(uint64_t version);

    uint32_t m_rank;
    uint64_t m_start;
    GroupRules m_rules;
    uint64_t m_token;
    std::set<uint64_t> m_loaded;
    // The leader's request to load each version.
    std::map<uint64_t, GroupMessage> m_loading;
    std::optional<std::pair<StepId, uint64_t>> m_accepted;
    std::optional<StepId> m_ran;
    // The leader's request for the step that the rank is running.
    std::optional<GroupMessage> m_running;
    uint64_t m_inForce = 0;
};

enum class LeaderPhase : uint8_t {
    Joining,
    // Nothing is under way.
    Ready,
    Proposing,
    Running,
    // Another leader has a higher token.
    Superseded
};

// The leader of a group. It sends the same message again until it is answered; whoever drives
// it calls messages() on a timer, and gives up a preparation that takes too long.
class GroupLeader {
public:
    // `token` comes from a conditional write of the group's lease and is used by one process once.
    GroupLeader(uint32_t ranks, uint64_t token, const GroupRules& rules = {});

    // Messages to all ranks that have not answered.
    std::vector<GroupMessage> messages() const;

    void receive(const GroupMessage&);

    // Starts loading a version on all ranks. The switch follows in the first step after all have it.
    void prepare(uint64_t version);

    // Gives up the version that is being prepared; the one in force stays.
    void abandonPrepare();

    // Starts the next step. False unless the phase is Ready and there is a version to run.
    bool startStep();

    // Gives up a step that some rank does not answer, and meets all ranks anew, since some may
    // have been replaced. The step's number is not used again.
    void abandonStep();

    LeaderPhase phase() const { return m_phase; }
    uint64_t inForce() const { return m_inForce; }
    std::optional<uint64_t> preparing() const { return m_preparing; }
    StepId step() const { return m_step; }

private:
    GroupMessage make(GroupMessageKind, uint32_t rank) const;
    void onJoined(const GroupMessage&);
    void onAllJoined();
    bool hasAll(const std::set<uint32_t>& ranks) const { return ranks.size() == m_ranks; }

    uint32_t m_ranks;
    GroupRules m_rules;
    LeaderPhase m_phase = LeaderPhase::Joining;
    StepId m_step;
    uint64_t m_stepVersion = 0;
    uint64_t m_inForce = 0;
    std::optional<uint64_t> m_preparing;
    std::map<uint32_t, uint64_t> m_starts;
    std::map<uint32_t, std::set<uint64_t>> m_loaded;
    std::set<uint32_t> m_prepared;
    std::set<uint32_t> m_answered;
};

} // namespace orioletrail
