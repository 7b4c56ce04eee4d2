// Protocol that runs the ranks of a group in lock-step, so that all ranks run a step with the same
// version of the expert map.
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

// Identifies a step. Each leader has a fencing token of its own from the platform and numbers its
// steps from 1, so steps of different leaders never have the same id.
struct StepId {
    uint64_t token = 0;
    uint64_t number = 0;

    auto operator<=>(const StepId&) const = default;
};

enum class GroupMessageKind : uint8_t {
    // Leader to rank: accept this fencing token.
    Join,
    // Rank to leader: the token is accepted. Lists the versions that the rank has loaded.
    Joined,
    // Leader to rank: load the weights of a version.
    Prepare,
    // Rank to leader: the version is loaded.
    Prepared,
    // Leader to rank: asks it to agree to run a step with a version.
    Propose,
    // Rank to leader: the proposal is accepted.
    Accepted,
    // Leader to rank: all ranks have accepted, run the step.
    Run,
    // Rank to leader: the step is complete.
    Ran,
    // Rank to leader: refused, since the rank has accepted a higher token.
    Superseded
};

// A message between the leader and one rank.
struct GroupMessage {
    GroupMessageKind kind = GroupMessageKind::Join;
    // The rank that sends or receives the message.
    uint32_t rank = 0;
    // Start number of the rank's process. Messages to or from an earlier process of the rank are
    // ignored.
    uint64_t rankStart = 0;
    StepId step;
    uint64_t version = 0;
    // Versions that the rank has loaded. Joined only.
    std::vector<uint64_t> loaded {};
    // The expert map of the version, as JSON. Prepare only; GroupLeader leaves it empty and its driver
    // fills it in.
    std::string map {};
};

// Safety rules of the protocol. A test turns off one at a time to show that it detects the
// resulting fault.
struct GroupRules {
    // Ranks refuse messages with lower tokens, and older steps.
    bool checkToken = true;
    // The group switches to a version only after all ranks have loaded it.
    bool waitForLoad = true;
    // The leader needs Joined and Accepted from all ranks before a step, and never relies on its clock
    // to tell that it still holds the lease.
    bool requireAgreement = true;
    // A new process of a rank refuses tokens below the one in the platform's lease.
    bool keepMinToken = true;
};

// What the driver of a rank has to do next.
struct RankActions {
    // Send this message to the leader.
    std::optional<GroupMessage> reply;
    // Load the weights of this version, then call onLoaded().
    std::optional<uint64_t> load;
    // Run this step with this version now, then call onStepDone().
    std::optional<std::pair<StepId, uint64_t>> run;
};

// State machine of a rank, run by its sidecar. Decides when the rank may run a step.
class GroupRank {
public:
    // `start` is the start number of this process. `minToken` is the token in the platform's lease when
    // the process started. Lower tokens are refused, since an earlier process of the rank may have
    // accepted a higher one.
    GroupRank(uint32_t rank, uint64_t start, uint64_t minToken, const GroupRules& rules = {});

    // Takes in a message from a leader. Messages that do not fit the state get no reply.
    RankActions receive(const GroupMessage&);

    // The weights of the version have been loaded.
    RankActions onLoaded(uint64_t version);

    // The rank has completed the step that RankActions::run asked for.
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
    // The highest token accepted.
    uint64_t m_token;
    std::set<uint64_t> m_loaded;
    // Pending Prepare messages by version.
    std::map<uint64_t, GroupMessage> m_loading;
    // The last proposal accepted.
    std::optional<std::pair<StepId, uint64_t>> m_accepted;
    // The last step started.
    std::optional<StepId> m_lastStep;
    // The Run message of the step in progress.
    std::optional<GroupMessage> m_running;
    // Version of the last step.
    uint64_t m_inForce = 0;
};

enum class LeaderPhase : uint8_t {
    // Waits until all ranks have accepted the token.
    Joining,
    // No step is under way.
    Ready,
    // Waits until all ranks have accepted the step.
    Proposing,
    // Waits until all ranks have completed the step.
    Running,
    // A rank has accepted a higher token, so another process leads. Final.
    Superseded
};

// State machine of the leader of a group. Messages are repeated until they are answered: the driver
// calls messages() on a timer and sends the result. The driver also enforces timeouts with
// abandonPrepare() and abandonStep().
class GroupLeader {
public:
    // `token` comes from a conditional write of the group's lease, and is used for one leader only.
    GroupLeader(uint32_t ranks, uint64_t token, const GroupRules& rules = {});

    // Returns the messages to all ranks whose answers are missing.
    std::vector<GroupMessage> messages() const;

    // Takes in an answer of a rank. Answers to another leader or an earlier step are ignored.
    void receive(const GroupMessage&);

    // Starts loading a version on all ranks. The group switches to it with the first step after all
    // ranks have loaded it.
    void prepare(uint64_t version);

    // Abandons the version that is being prepared. The version in force stays.
    void abandonPrepare();

    // Starts the next step. Returns false if the phase is not Ready or there is no version to run.
    bool startStep();

    // Abandons a step for which a rank does not answer. All ranks have to join again, since some may
    // have new processes. The number of the step is not used again.
    void abandonStep();

    LeaderPhase phase() const { return m_phase; }
    // Version of the last completed step, or the latest that all ranks had loaded when they joined; 0 if
    // there is none.
    uint64_t inForce() const { return m_inForce; }
    // Version that is being prepared.
    std::optional<uint64_t> preparing() const { return m_preparing; }
    // The current step, or the last one if none is under way.
    StepId step() const { return m_step; }

private:
    GroupMessage makeMessage(GroupMessageKind, uint32_t rank) const;
    void onJoined(const GroupMessage&);
    void onAllJoined();
    bool hasAll(const std::set<uint32_t>& ranks) const { return ranks.size() == m_ranks; }

    uint32_t m_ranks;
    GroupRules m_rules;
    LeaderPhase m_phase = LeaderPhase::Joining;
    StepId m_step;
    // Version of the current step.
    uint64_t m_stepVersion = 0;
    uint64_t m_inForce = 0;
    std::optional<uint64_t> m_preparing;
    // Start number of each rank that has joined.
    std::map<uint32_t, uint64_t> m_rankStarts;
    // Versions loaded by each rank.
    std::map<uint32_t, std::set<uint64_t>> m_loaded;
    // Ranks that have loaded the version being prepared.
    std::set<uint32_t> m_prepared;
    // Ranks that have answered the current Propose or Run.
    std::set<uint32_t> m_answered;
};

} // namespace orioletrail
