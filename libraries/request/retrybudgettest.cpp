#include "request/retrybudget.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

// Guards against retries that double the load of a pool that fails every request.
TEST_CASE("retries stay within a tenth of the requests plus the accumulated ones")
{
    constexpr auto requests = 1000;
    auto budget = RetryBudget {};
    auto retries = 0;
    for (auto request = 0; request < requests; ++request) {
        budget = withRequest(budget);
        if (mayRetry(budget)) {
            budget = withRetry(budget);
            ++retries;
        }
    }
    CHECK(retries <= requests * defaultRetryRatio + defaultMaximumRetryTokens);
    CHECK(retries >= requests * defaultRetryRatio);
}
