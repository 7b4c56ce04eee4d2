// Coordinates changes of the expert map in a group of engines, so that no forward pass runs with
// different maps on different ranks.
#pragma once

#include "base/types.h"
#include "expertmap/engine-map.h"

#include <memory>

namespace orioletrail {

enum class MapOrderKind : uint8_t {
    // Copy the weights of the experts that the version adds to the rank.
    Prepare,
    // Switch to the prepared version at the start of the given pass.
    Arm,
    // Cancel a scheduled switch to the version.
    Disarm,
    // Do not start the given pass. Since the ranks run in lock-step, one rank holds the whole group.
    Hold,
    // Release a hold at the given pass.
    Go
};

// Name of the order as engines know it.
std::string_view mapOrderName(MapOrderKind);

// An order to one rank. A rank refuses orders for another epoch, and orders with a lower fencing
// token than the highest that it has accepted.
struct MapOrder {
    MapOrderKind kind = MapOrderKind::Prepare;
    uint32_t rank = 0;
    uint64_t epoch = 0;
    // Fencing token of the leader.
    uint64_t fence = 0;
    // Version of the map. For Prepare, Arm and Disarm.
    uint64_t version = 0;
    // Number of the pass. For Arm, Hold and Go.
    uint64_t step = 0;
    // Content of the version. For Prepare.
    std::shared_ptr<const ExpertMap> map;
};

enum class OrderAnswer : uint8_t {
    // The order is under way or done, or was in effect already.
    Accepted,
    // The order does not fit the state or the epoch of the rank.
    Conflict,
    // The rank has accepted an order with a higher fencing token.
    Fenced,
    // No answer, or one without a clear result: the order may take effect now, seconds later or never.
    Unknown
};

// State of a rank as its engine reports it. It may have changed since.
struct RankReport {
    uint32_t rank = 0;
    // Rises each time the group is formed.
    uint64_t epoch = 0;
    // False while the group is broken.
    bool open = false;
    // Number of the last pass that was started.
    uint64_t step = 0;
    // Version of the map in use.
    uint64_t version = 0;
    // Version whose weights have been copied.
    std::optional<uint64_t> prepared;
    // Version and pass of a scheduled switch.
    std::optional<std::pair<uint64_t, uint64_t>> armed;
    // Pass at which this rank holds the group.
    std::optional<uint64_t> held;
};

// Phases of leading a group. Fencing and Settling establish a known state; a change then goes from
// Ready through Preparing, Holding, Arming and Switching back to Ready.
enum class MapPhase : uint8_t {
    // This process does not lead.
    Idle,
    // Sends the fencing token to all ranks, so that they refuse orders of earlier leaders.
    Fencing,
    // Waits for reports made after Fencing, then completes or undoes the changes that they show.
    Settling,
    // All ranks use the same map and no change is under way.
    Ready,
    // The ranks copy the weights that the new version adds.
    Preparing,
    // The group is ordered to hold at the pass of the switch. From here until its release, one rank
    // that does not answer stops the whole group, so the hold comes as late as possible.
    Holding,
    // All ranks are ordered to switch at that pass.
    Arming,
    // All ranks are armed; the group is released and switches.
    Switching
};

// Name of the phase for the log.
std::string_view mapPhaseName(MapPhase);

struct MapLeaderSettings {
    // Number of ranks in the group.
    uint32_t ranks = 0;
    // Time until an unanswered order is sent again. A few round trips, since a held group runs no
    // passes until all orders have been answered.
    Millis resendInterval { 40 };
    // Time between requests for reports while a change is under way.
    Millis busyReportInterval { 80 };
    // Time between requests for reports while no change is under way.
    Millis idleReportInterval { 400 };
    // Time allowed for the order to hold. The pass of the switch is chosen this far ahead, plus the
    // recent duration of arming, so that the group rarely has to wait at it.
    Millis holdOrderTime { 40 };
    // Minimum number of passes between the last one expected to start in that time and the switch.
    uint64_t minPassMargin = 2;
    // A change that is not armed after this time is abandoned and undone.
    Millis changeTimeout { 6000 };
};

// Safety rules of the protocol. A test turns off one at a time to show that it detects the
// resulting fault.
struct MapLeaderRules {
    // All ranks have accepted the fencing token before any other order is sent.
    bool fenceFirst = true;
    // Reports from before the fencing are ignored when settling.
    bool requireFreshReports = true;
    // The group is held before the first rank is armed.
    bool holdFirst = true;
    // The group is released only when all ranks are armed, or none is.
    bool releaseLast = true;
    // If all ranks are armed, the switch is completed and never cancelled.
    bool completeArmed = true;
    // The group is never held at a pass for which an order to release it was sent before.
    bool neverReuseReleasedPass = true;
};

// Leader's side of the protocol, as a state machine without I/O: takes in reports and answers, and
// returns the orders to send. Invariant: while some ranks are armed and others are not, the group is
// held before the pass of the switch. Orders are idempotent, so unanswered ones are sent again. An
// order that arrives late has no effect, because the rank has seen a higher fencing token, no longer
// has the version prepared, or has already started the pass.
class MapLeader {
public:
    explicit MapLeader(const MapLeaderSettings& settings, const MapLeaderRules& rules = {});

    // Fencing tokens and versions are numbered upwards from `base` + 1; a later leader must use a base
    // that is not below any number used here.
    void startLeading(uint64_t base, TimePoint);

    // Stops leading, because another process does. No more orders are sent.
    void resign();

    // Returns the orders that are due. Each counts as in flight until onAnswer().
    std::vector<MapOrder> orders(TimePoint);

    // The order was not sent; orders() returns it again at once.
    void postpone(const MapOrder&);

    // True if it is time to request reports from all ranks.
    bool needsReports(TimePoint) const;
    // Starts the interval until the next request.
    void onReportsRequested(TimePoint now) { m_reportsRequested = now; }

    // Takes in a report that shows the state of the rank at `asOf` or later.
    void onReport(const RankReport&, TimePoint asOf, TimePoint now);
    void onAnswer(const MapOrder&, OrderAnswer, TimePoint);

    // Does nothing unless the phase is Ready.
    void startChange(ExpertMap target, TimePoint);

    MapPhase phase() const { return m_phase; }
    uint64_t epoch() const { return m_epoch; }
    // Version that all ranks use. Valid only in the phase Ready.
    uint64_t version() const { return m_version; }
    uint64_t fence() const { return m_fence; }
    // The highest number used as a fencing token or version.
    uint64_t lastUsedNumber() const { return m_lastNumber; }
    // Why the leader last started over or resigned; empty after a completed change.
    const std::string& lastReason() const { return m_lastReason; }
    // The map of the last change completed by this leader, if it has the given version, otherwise null.
    std::shared_ptr<const ExpertMap> completedMap(uint64_t version) const;
    uint32_t ranks() const { return m_settings.ranks; }

private:
    struct RankState {
        std::optional<RankReport> report;
        // The report shows the state at this time or later.
        TimePoint asOf;
        // An order was sent and not answered yet.
        bool inFlight = false;
        TimePoint sentAt;
        // The rank has accepted its order of the current phase.
        bool accepted = false;
    };

    void enterPhase(MapPhase, TimePoint);
    // Abandons what is under way and starts again at Fencing, with a new fencing token.
    void startOver(std::string reason, TimePoint);
    MapOrder makeOrder(MapOrderKind, uint32_t rank) const;
    void addDueOrders(std::vector<MapOrder>&, TimePoint);
    // The order that the rank needs in the current phase, if any.
    std::optional<MapOrder> orderFor(uint32_t rank) const;
    // The order for a rank in the phase Settling.
    std::optional<MapOrder> settlingOrder(uint32_t rank) const;
    bool allAccepted() const;
    bool hasFreshReports() const;
    size_t armedCount() const;
    // True if all ranks are armed for the same version and pass.
    bool isArmedAlike() const;
    bool isAnyHeld() const;
    bool isPreparedEverywhere() const;
    // Estimates the number of the last pass started by the given time.
    uint64_t expectedStep(TimePoint) const;
    // Ends the phase Settling if all ranks use the same map and none is armed or held.
    void finishSettling(TimePoint);
    // Enters the next phase if the current one is complete.
    void advance(TimePoint);
    void updatePassRate(const RankReport& before, TimePoint asOfBefore, const RankReport& after, TimePoint asOf);
    void updateArmTime(TimePoint now);
    // Chooses the pass at which the group is held and switches.
    void chooseStep(TimePoint now);

    MapLeaderSettings m_settings;
    MapLeaderRules m_rules;
    MapPhase m_phase = MapPhase::Idle;
    std::vector<RankState> m_ranks;
    uint64_t m_lastNumber = 0;
    uint64_t m_fence = 0;
    uint64_t m_epoch = 0;
    uint64_t m_version = 0;
    // Version and pass of the change under way.
    uint64_t m_targetVersion = 0;
    uint64_t m_step = 0;
    // Moving average.
    double m_passesPerSecond = 0;
    std::shared_ptr<const ExpertMap> m_targetMap;
    // The last change that was completed.
    std::shared_ptr<const ExpertMap> m_completedMap;
    uint64_t m_completedVersion = 0;
    TimePoint m_phaseEntered;
    TimePoint m_changeStarted;
    // When the first order to arm was sent, and how long arming all ranks has taken recently.
    std::optional<TimePoint> m_armingStarted;
    Millis m_armTime { 0 };
    // Orders to hold, in this change, that arrived after the pass had started.
    uint32_t m_lateHolds = 0;
    // Reports of earlier states are not fresh enough for the current phase.
    TimePoint m_freshSince;
    TimePoint m_reportsRequested;
    std::string m_lastReason;
};

} // namespace orioletrail
