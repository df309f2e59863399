/** Retry budget: limits retries to a fraction of requests, so that retries don't add to the load of a failing pool. */
#pragma once

namespace lycheecleat
{

/** Retries allowed per request. */
inline constexpr auto defaultRetryRatio = 0.1;

/** Retries that may accumulate; few enough to be negligible for a pool that fails as a whole. */
inline constexpr auto defaultMaximumRetryTokens = 10.0;

/** Token bucket of retries: each request adds ratio_ tokens, each retry takes one. Starts full. */
struct RetryBudget
{
    double tokens_ = defaultMaximumRetryTokens;
    /** Tokens that each request adds, and the capacity of the bucket. */
    double ratio_ = defaultRetryRatio;
    double maximumTokens_ = defaultMaximumRetryTokens;

    auto operator==(const RetryBudget &other) const -> bool = default;
};

/** The budget after one more request. */
[[nodiscard]] auto withRequest(RetryBudget budget) -> RetryBudget;

/** Whether a retry is allowed. */
[[nodiscard]] auto mayRetry(RetryBudget budget) -> bool;

/** The budget after a retry. */
[[nodiscard]] auto withRetry(RetryBudget budget) -> RetryBudget;

}
