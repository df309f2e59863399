/** Values of the Retry-After header of refusals, in seconds as text. */
#pragma once

#include "request/refusal.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>

namespace lycheecleat
{

/** Value for a refusal whose cause gives no time of its own; none when the header is left out. */
[[nodiscard]] auto retryAfter(Refusal refusal) -> std::optional<std::string_view>;

/** Value while backend servers have reached their limits; differs between requests. */
[[nodiscard]] auto retryAfterLimit(const std::string &requestId) -> std::string;

/** Value while all backend servers are paused, the first of them until the given monotonic time. */
[[nodiscard]] auto retryAfterReturn(absl::Time now, absl::Time returnAt) -> std::string;

}
