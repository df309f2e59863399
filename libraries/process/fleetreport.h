/** Reports of a host to operators, as JSON: its status, and an explanation of how a request would be routed. */
#pragma once

#include "process/hosttable.h"
#include "request/backendadmission.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/** Serializes JSON. Names that peers have sent may hold bytes that are not UTF-8, which are replaced. */
[[nodiscard]] auto jsonText(const nlohmann::json &json) -> std::string;

/** Properties of a request whose routing is to be explained. */
struct ExplainRequest
{
    std::string host_;
    std::string path_;
    /** Object that the request names; empty if it names none. */
    std::string object_;
    /** Name of the organisation; empty if the request has none. */
    std::string organisation_;

    auto operator==(const ExplainRequest &other) const -> bool = default;
};

/** A backend server that the request could be sent to. */
struct RoutingCandidate
{
    std::string name_;
    std::string zone_;
    double weight_ = 0;
    BackendAvailability state_;
};

/** How a request would be routed. */
struct RoutingExplanation
{
    /** Reason why the request would be refused; empty if it would be accepted. */
    std::string refusal_;
    std::string route_;
    std::string service_;
    /** Candidates, in the order in which they would be tried. */
    std::vector<RoutingCandidate> backends_;
    std::int64_t version_ = 0;
    std::int64_t revision_ = 0;
    /** Time since the last successful store call; absent before the first. */
    std::optional<absl::Duration> storeAge_;
};

/** Everything that the status report contains, read at one time. */
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

/** Status report. Its revision is that of the store up to which the host's records are complete. */
[[nodiscard]] auto statusJson(const FleetDaemonSnapshot &snapshot) -> nlohmann::json;

[[nodiscard]] auto explanationJson(const RoutingExplanation &explanation) -> nlohmann::json;

/** Parses the query of a request target; absent if the host or the path is missing. */
[[nodiscard]] auto parseExplainRequest(std::string_view target) -> std::optional<ExplainRequest>;

}
