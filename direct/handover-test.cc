#include "direct/handover.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

const InstanceProcess first { "entry-a", 11 };
const InstanceProcess second { "entry-b", 22 };
const InstanceProcess third { "entry-c", 33 };
constexpr MapLeadership leadership { 65'700, 131'072 };

} // namespace

TEST_CASE("a lead is offered to one process, also if one that comes before it by name appears later")
{
    LeadershipHandover handover(third);
    CHECK_FALSE(handover.offer(leadership, [] { return std::optional<InstanceProcess>(); }));
    const auto offered = handover.offer(leadership, [] { return std::optional(second); });
    REQUIRE(offered);
    CHECK(offered->successor == second);
    CHECK(handover.offer(leadership, [] { return std::optional(first); }) == offered);
    CHECK(handover.offer(leadership, [] { return std::optional<InstanceProcess>(); }) == offered);
}

TEST_CASE("an offer is accepted once, by the process that it is addressed to")
{
    const LeadershipOffer offer { second, leadership };
    LeadershipHandover addressedToOther(first);
    CHECK_FALSE(addressedToOther.accept(offer));
    LeadershipHandover successor(second);
    CHECK(successor.accept(offer) == leadership);
    // The offer is sent until its sender exits, which may be after this process has led and resigned.
    CHECK_FALSE(successor.accept(offer));
    // A later leadership has a higher range and is accepted.
    CHECK(successor.accept({ second, { 200'000, 262'144 } }));
}

TEST_CASE("an offer is not taken by the next process of the same instance")
{
    LeadershipHandover restarted({ second.instance, 44 });
    CHECK_FALSE(restarted.accept({ second, leadership }));
}
