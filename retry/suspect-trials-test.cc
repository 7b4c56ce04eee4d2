#include "retry/suspect-trials.h"

#include <array>
#include <doctest/doctest.h>
#include <set>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };
const std::array<std::string, 1> suspect { "d" };

TimePoint at(int millis)
{
    return start + Millis(millis);
}

// Records of a request that is in doubt: attempts at three processes at once were lost.
PoisonRecords recordsInDoubt()
{
    PoisonSettings settings;
    settings.refuseAfter = 3;
    PoisonRecords records(settings);
    for (uint64_t process = 1; process <= 3; ++process)
        records.onDeath("d", { process, at(0), at(60) }, at(60));
    return records;
}

std::vector<SuspectTrials> makeInstances(int count, TimePoint now)
{
    std::vector<SuspectTrials> instances;
    for (int instance = 0; instance < count; ++instance) {
        instances.emplace_back("e" + std::to_string(instance));
        for (int other = 0; other < count; ++other)
            instances.back().onInstance("e" + std::to_string(other), now);
    }
    return instances;
}

} // namespace

TEST_CASE("a request in doubt is tried by few instances at a time, and by all in turn")
{
    const PoisonRecords records = recordsInDoubt();
    for (const int count : { 1, 2, 3, 4, 16, 150 }) {
        CAPTURE(count);
        std::set<int> tried;
        // Deaths are forgotten after ten minutes.
        for (int turn = 0; turn < std::min(count, 100); ++turn) {
            const TimePoint now = at(1000) + turn * SuspectTrials::turn;
            const std::vector<SuspectTrials> instances = makeInstances(count, now);
            size_t testers = 0;
            for (int instance = 0; instance < count; ++instance) {
                if (instances[static_cast<size_t>(instance)].decide(records, suspect, now) != SuspectDecision::Run)
                    continue;
                ++testers;
                tried.insert(instance);
            }
            CHECK(testers == std::min<size_t>(static_cast<size_t>(count), SuspectTrials::testers));
        }
        if (count <= 16)
            CHECK(tried.size() == static_cast<size_t>(count));
    }
}

TEST_CASE("an instance tries a request in doubt once at a time, and refuses it once the trial was lost")
{
    PoisonRecords records = recordsInDoubt();
    SuspectTrials trials("e");
    CHECK(trials.decide(records, suspect, at(100)) == SuspectDecision::Run);
    const std::string trial = trials.onBegun(records, suspect, at(100));
    CHECK(trial == "d");
    CHECK(trials.decide(records, suspect, at(100)) == SuspectDecision::Hold);
    CHECK(trials.decide(records, suspect, at(100) + SuspectTrials::maxTrialTime) == SuspectDecision::Run);
    trials.onEnded(trial);
    CHECK(trials.decide(records, suspect, at(120)) == SuspectDecision::Run);
    records.onDeath("d", { 4, at(100), at(160) }, at(160));
    CHECK(trials.decide(records, suspect, at(160)) == SuspectDecision::Refuse);
}

TEST_CASE("a request that was lost once runs at all instances, one attempt at a time, until it has completed")
{
    PoisonRecords records;
    records.onDeath("d", { 1, at(0), at(60) }, at(60));
    std::vector<SuspectTrials> instances = makeInstances(5, at(100));
    for (SuspectTrials& instance : instances) {
        CHECK(instance.decide(records, suspect, at(100)) == SuspectDecision::Run);
        instance.onBegun(records, suspect, at(100));
        CHECK(instance.decide(records, suspect, at(100)) == SuspectDecision::Hold);
    }
    records.onCompleted("d", at(130));
    records.onDeath("d", { 2, at(140), at(200) }, at(200));
    for (SuspectTrials& instance : instances)
        CHECK(instance.decide(records, suspect, at(200)) == SuspectDecision::Run);
}

TEST_CASE("a trial that completes clears the request")
{
    PoisonRecords records = recordsInDoubt();
    SuspectTrials trials("e");
    trials.onEnded(trials.onBegun(records, suspect, at(100)));
    records.onCompleted("d", at(130));
    CHECK(trials.onBegun(records, suspect, at(140)).empty());
    CHECK(trials.onBegun(records, suspect, at(140)).empty());
    CHECK(trials.decide(records, suspect, at(140)) == SuspectDecision::Run);
}

TEST_CASE("an instance that is not heard any more tries nothing for the others")
{
    const PoisonRecords records = recordsInDoubt();
    std::vector<SuspectTrials> instances = makeInstances(5, at(100));
    const TimePoint later = at(100) + SuspectTrials::instanceTimeout + Millis(1);
    for (SuspectTrials& instance : instances)
        CHECK(instance.decide(records, suspect, later) == SuspectDecision::Run);
}
