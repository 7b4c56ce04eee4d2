#include "retry/budget.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("retries are limited to a fraction of successes")
{
    RetryBudget budget({ 0.2, 10, 10 });
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
        retries += budget.tryRetry("a") ? 1 : 0;
    CHECK(retries == 10);
    for (int i = 0; i < 1000; ++i) {
        budget.onSuccess("a");
        retries += budget.tryRetry("a") ? 1 : 0;
    }
    CHECK(retries <= 10 + 200);
    CHECK(retries >= 10 + 190);
}

TEST_CASE("one account cannot use up the retries of another")
{
    RetryBudget budget({ 0.2, 100, 5 });
    while (budget.tryRetry("a")) { }
    CHECK(budget.tryRetry("b"));
}
