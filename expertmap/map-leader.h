// Changes the expert map of a group of engines, so that no pass begins with two maps.
#pragma once

#include "base/types.h"
#include "expertmap/engine-map.h"

#include <memory>

namespace orioletrail {

enum class MapOrderKind : uint8_t {
    // Copy the experts of a version.
    Prepare,
    // Switch to the version as a pass begins.
    Arm,
    // Forget to.
    Disarm,
    // The group does not begin a pass until it is let go at this rank.
    Hold,
    Go
};

std::string_view mapOrderName(MapOrderKind);

// An order to one rank. Ranks refuse it if they have accepted one with a higher fence, or are in
// another epoch.
struct MapOrder {
    MapOrderKind kind = MapOrderKind::Prepare;
    uint32_t rank = 0;
    uint64_t epoch = 0;
    uint64_t fence = 0;
    // Prepare, Arm, Disarm.
    uint64_t version = 0;
    // Arm, Hold, Go.
    uint64_t step = 0;
    // Prepare.
    std::shared_ptr<const ExpertMap> map;
};

enum class OrderAnswer : uint8_t {
    // Begun, or done, or it was so already.
    Accepted,
    // It does not fit the rank's state or epoch.
    Conflict,
    // The rank has accepted a higher fence.
    Fenced,
    // No answer, or none that says anything: it may be carried out, now or seconds later.
    Unknown
};

// What a rank says of itself, with a lag.
struct RankReport {
    uint32_t rank = 0;
    uint64_t epoch = 0;
    // False while the group is broken.
    bool open = false;
    // Last pass that was begun.
    uint64_t step = 0;
    // Version of the map in use.
    uint64_t version = 0;
    std::optional<uint64_t> prepared;
    // Version and pass.
    std::optional<std::pair<uint64_t, uint64_t>> armed;
    std::optional<uint64_t> held;
};

enum class MapPhase : uint8_t {
    // Another process leads, or none.
    Idle,
    // Shows its fence to all ranks, so that orders of earlier leaders are refused.
    Fencing,
    // Waits for reports that are later than the fence, and completes or undoes what they show.
    Settling,
    // All ranks have one map and nothing is under way.
    Ready,
    // Ranks copy what is new to them.
    Preparing,
    // The group is told not to begin the pass at which it is to switch. From here until it is let
    // go, it would stand still for a rank that does not answer, so this comes as late as it can.
    Holding,
    Arming,
    // All ranks are armed; the group is let go and switches.
    Switching
};

std::string_view mapPhaseName(MapPhase);

struct MapLeaderSettings {
    uint32_t ranks = 0;
    // Between two copies of an order that was not answered: some round trips, since a group that
    // is held stands still until all have been answered.
    Millis resendAfter { 40 };
    // Between reports while a change is under way.
    Millis busyReports { 80 };
    // Between reports while nothing is under way.
    Millis idleReports { 400 };
    // Time of the order to hold, so that the group hardly ever waits for it. The time that arming
    // took lately is added.
    Millis orderTime { 40 };
    // Passes between the last one expected by then and the one to switch at.
    uint64_t leastPassesAhead = 2;
    // A change that takes longer is given up and undone.
    Millis changeTimeout { 6000 };
};

// Parts of the rules that a test can break, to show that it notices. All hold by default.
struct MapLeaderRules {
    // Earlier leaders are fenced off at all ranks before anything else.
    bool fenceFirst = true;
    // Reports from before the fence count for nothing.
    bool waitForReports = true;
    // The group is held before the first rank is armed.
    bool holdFirst = true;
    // The group is let go only when all ranks are armed, or none is.
    bool goLast = true;
    // Ranks that are all armed are never disarmed.
    bool completeArmed = true;
    // The group is never held at a pass for which it was told to go before.
    bool freshSteps = true;
};

// The leader's side of a change. A pure state machine: it is told reports and answers, and says
// which orders to send. The invariant that it keeps: if some ranks are armed and others are not,
// the group is held before the pass in question. An order without an answer is sent again, since
// all orders do nothing the second time; one that is carried out late meets a higher fence, a
// version that is no longer prepared, or a pass that has begun.
class MapLeader {
public:
    explicit MapLeader(const MapLeaderSettings& settings, const MapLeaderRules& rules = {});

    // Begins to lead. Numbers above `base` are used for fences and versions; the numbers of a
    // later leader must be above all of them.
    void lead(uint64_t base, TimePoint);

    // Another process leads: sends nothing more.
    void resign();

    // Orders to be sent now. Each is in flight until onAnswer().
    std::vector<MapOrder> orders(TimePoint);

    // True if reports of all ranks are to be asked for now.
    bool wantsReports(TimePoint) const;
    void onReportsAsked(TimePoint now) { m_reportsAsked = now; }

    // `asOf` is a moment that the report is not older than.
    void onReport(const RankReport&, TimePoint asOf, TimePoint now);
    void onAnswer(const MapOrder&, OrderAnswer, TimePoint);

    // Starts a change, if the phase is Ready.
    void change(ExpertMap target, TimePoint);

    MapPhase phase() const { return m_phase; }
    uint64_t epoch() const { return m_epoch; }
    // Version that all ranks use; meaningful when Ready.
    uint64_t version() const { return m_version; }
    uint64_t fence() const { return m_fence; }
    // The highest fence or version used.
    uint64_t lastNumber() const { return m_next; }
    // Why the last change was given up, empty if it was not.
    const std::string& lastReason() const { return m_lastReason; }
    // The map of a change that was completed, by version. Null for one of an earlier leader.
    std::shared_ptr<const ExpertMap> mapOf(uint64_t version) const;
    uint32_t ranks() const { return m_settings.ranks; }

private:
    struct Rank {
        std::optional<RankReport> report;
        TimePoint asOf;
        bool inFlight = false;
        TimePoint sentAt;
        // The order of the present phase was accepted.
        bool accepted = false;
    };

    void enter(MapPhase, TimePoint);
    void startOver(std::string reason, TimePoint);
    MapOrder make(MapOrderKind, uint32_t rank) const;
    void addOrders(std::vector<MapOrder>&, TimePoint);
    std::optional<MapOrder> orderFor(uint32_t rank) const;
    std::optional<MapOrder> settleOrder(uint32_t rank) const;
    bool allAccepted() const;
    bool hasFreshReports() const;
    size_t armedCount() const;
    // All ranks are armed for the same version and pass.
    bool isArmedAlike() const;
    bool isAnyHeld() const;
    bool isPreparedEverywhere() const;
    // Last pass that is likely to have begun by then.
    uint64_t expectedStep(TimePoint) const;
    void settle(TimePoint);
    void advance(TimePoint);
    void notePace(const RankReport& before, TimePoint asOfBefore, const RankReport& after, TimePoint asOf);
    void noteArmed(TimePoint now);
    void chooseStep(TimePoint now);

    MapLeaderSettings m_settings;
    MapLeaderRules m_rules;
    MapPhase m_phase = MapPhase::Idle;
    std::vector<Rank> m_ranks;
    uint64_t m_next = 0;
    uint64_t m_fence = 0;
    uint64_t m_epoch = 0;
    uint64_t m_version = 0;
    // The change under way.
    uint64_t m_target = 0;
    uint64_t m_step = 0;
    double m_passesPerSecond = 0;
    std::shared_ptr<const ExpertMap> m_map;
    std::shared_ptr<const ExpertMap> m_lastMap;
    uint64_t m_lastVersion = 0;
    TimePoint m_entered;
    TimePoint m_changeStarted;
    // When the first rank was told to arm, and how long it took lately until all were.
    std::optional<TimePoint> m_armingFrom;
    Millis m_armTime { 0 };
    // Orders to hold in this change that came after the pass had begun.
    uint32_t m_lateHolds = 0;
    // Reports from before this say nothing of the present phase.
    TimePoint m_reportsFrom;
    TimePoint m_reportsAsked;
    std::string m_lastReason;
};

} // namespace orioletrail
