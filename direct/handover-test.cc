#include "direct/handover.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

const InstanceRun first { "entry-a", 11 };
const InstanceRun second { "entry-b", 22 };
const InstanceRun third { "entry-c", 33 };
constexpr MapLead lead { 65'700, 131'072 };

} // namespace

TEST_CASE("a lead is offered to one process, also if one that comes before it by name appears later")
{
    LeadHandover handover(third);
    CHECK_FALSE(handover.offer(lead, [] { return std::optional<InstanceRun>(); }));
    const auto offered = handover.offer(lead, [] { return std::optional(second); });
    REQUIRE(offered);
    CHECK(offered->successor == second);
    CHECK(handover.offer(lead, [] { return std::optional(first); }) == offered);
    CHECK(handover.offer(lead, [] { return std::optional<InstanceRun>(); }) == offered);
}

TEST_CASE("an offer is taken once, by the process that it is meant for")
{
    const LeadOffer offer { second, lead };
    LeadHandover other(first);
    CHECK_FALSE(other.take(offer));
    LeadHandover meant(second);
    CHECK(meant.take(offer) == lead);
    // It is repeated until its maker has gone, perhaps after this process has led and resigned.
    CHECK_FALSE(meant.take(offer));
    // A later lead is another one.
    CHECK(meant.take({ second, { 200'000, 262'144 } }));
}

TEST_CASE("an offer is not taken by the next process of the same instance")
{
    LeadHandover restarted({ second.instance, 44 });
    CHECK_FALSE(restarted.take({ second, lead }));
}
