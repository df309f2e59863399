/** What a host of a discovered deployment reports to operators: its status, and where a request would go and why. */
#pragma once

#include "process/hosttable.h"
#include "request/backendcondition.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/** A request whose handling is explained. */
struct ExplainRequest
{
    std::string host_;
    std::string path_;
    /** What the request is about; empty when it names no object. */
    std::string object_;
    /** Name of the organisation; empty when it has none. */
    std::string organisation_;

    auto operator==(const ExplainRequest &other) const -> bool = default;
};

/** A backend server in the order in which it would be tried. */
struct RoutingCandidate
{
    std::string name_;
    std::string zone_;
    double weight_ = 0;
    BackendAvailability state_;
};

/** Where a request would go, and why. */
struct RoutingExplanation
{
    /** Why the request would be refused; empty when it would not be. */
    std::string refusal_;
    std::string route_;
    std::string service_;
    std::vector<RoutingCandidate> backends_;
    std::int64_t version_ = 0;
    std::int64_t revision_ = 0;
    /** Time since the store last answered; absent before it has. */
    std::optional<absl::Duration> storeAge_;
};

/** Everything that a status tells, read at one time. */
struct FleetDaemonSnapshot
{
    std::string host_;
    std::string zone_;
    bool isReady_ = false;
    std::int64_t version_ = 0;
    std::int64_t revision_ = 0;
    std::optional<absl::Duration> storeAge_;
    bool watchesStore_ = false;
    /** Other hosts that are alive. */
    std::vector<KnownHost> peers_;
    /** Monotonic time of the report. */
    absl::Time now_;
};

/** The answer to a status request; the revision is the store's up to which the host's records are complete. */
[[nodiscard]] auto statusJson(const FleetDaemonSnapshot &snapshot) -> nlohmann::json;

[[nodiscard]] auto explanationJson(const RoutingExplanation &explanation) -> nlohmann::json;

/** The question in the query of a request target; none when the host or the path is missing. */
[[nodiscard]] auto parseExplainRequest(std::string_view target) -> std::optional<ExplainRequest>;

}
