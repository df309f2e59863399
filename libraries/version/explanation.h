/** Explains to operators which rules apply to a request. */
#pragma once

#include "version/configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** The backend servers of the route's pool that are in one zone. */
struct ZoneBackends
{
    std::string region_;
    std::string zone_;
    /** Names of the servers in use. */
    std::vector<std::string> inUse_;
    /** Names of the servers drained by a rule. */
    std::vector<std::string> drained_;

    auto operator==(const ZoneBackends &other) const -> bool = default;
};

/** The rules that apply to a request, and the backend servers of its pool. */
struct Explanation
{
    /** Absent if no route matches; the request is then refused. */
    std::optional<Route> route_;
    /** Whether the request needs an idempotency key. */
    bool needsIdempotencyKey_ = false;
    int slots_ = 0;
    /** In file order of the regions. */
    std::vector<ZoneBackends> zones_;
    /** Shifts that apply to the route's pool. */
    std::vector<Shift> shifts_;

    auto operator==(const Explanation &other) const -> bool = default;
};

/** Explains a request. The configuration must have passed checkRules without problems. */
[[nodiscard]] auto explainRequest(const Configuration &configuration, const std::string &host, const std::string &path, const std::string &method)
    -> Explanation;

/** The explanation as lines of text. */
[[nodiscard]] auto describe(const Explanation &explanation) -> std::string;

}
