/** Bounds retries to a share of requests, so that a failing pool is not loaded further by its own retries. */
#pragma once

namespace lycheecleat
{

/** Retries allowed for each request. */
inline constexpr auto defaultRetryRatio = 0.1;

/** Retries that may be saved up; few enough that they do not matter for a pool that fails as a whole. */
inline constexpr auto defaultMaximumRetryTokens = 10.0;

/** Saved-up retries. */
struct RetryBudget
{
    double tokens_ = defaultMaximumRetryTokens;
    /** Retries that each request adds, and the most that are saved up. */
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
