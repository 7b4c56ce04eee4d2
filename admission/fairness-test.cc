#include "admission/fairness.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("an account's limit is divided among the live entries")
{
    FairShare fairness;
    const FairShareRequest request { "a", "s", 4, 2, 100 };
    CHECK(fairness.admit(request) == Reason::None);
    CHECK(fairness.admit(request) == Reason::None);
    CHECK(fairness.admit(request) == Reason::AccountLimit);
    fairness.finish("a", "s");
    CHECK(fairness.admit(request) == Reason::None);
}

TEST_CASE("a large account cannot crowd out a small one")
{
    FairShare fairness;
    for (int i = 0; i < 10; ++i)
        fairness.admit({ "large", "s", 1000, 1, 10 });
    CHECK(fairness.admit({ "small", "s", 1000, 1, 10 }) == Reason::None);
    CHECK(fairness.admit({ "large", "s", 1000, 1, 10 }) == Reason::FairShare);
    for (int i = 0; i < 4; ++i)
        CHECK(fairness.admit({ "small", "s", 1000, 1, 10 }) == Reason::None);
    CHECK(fairness.admit({ "small", "s", 1000, 1, 10 }) == Reason::FairShare);
}

TEST_CASE("an account may exceed its share while the service has capacity")
{
    FairShare fairness;
    CHECK(fairness.admit({ "small", "s", 1000, 1, 10 }) == Reason::None);
    for (int i = 0; i < 9; ++i)
        CHECK(fairness.admit({ "large", "s", 1000, 1, 10 }) == Reason::None);
    CHECK(fairness.admit({ "large", "s", 1000, 1, 10 }) == Reason::FairShare);
}

TEST_CASE("an account that uses a service alone is not limited to its capacity")
{
    FairShare fairness;
    for (int i = 0; i < 30; ++i)
        CHECK(fairness.admit({ "a", "s", 1000, 1, 10 }) == Reason::None);
}

TEST_CASE("use of one service does not count against another")
{
    FairShare fairness;
    for (int i = 0; i < 10; ++i)
        fairness.admit({ "a", "s", 1000, 1, 10 });
    fairness.admit({ "b", "t", 1000, 1, 2 });
    CHECK(fairness.admit({ "a", "t", 1000, 1, 2 }) == Reason::None);
}
