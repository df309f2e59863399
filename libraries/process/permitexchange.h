/** Asks other hosts for permits to send requests to backend servers with a limit, and answers such requests. */
#pragma once

#include "generated/fleet_types.h"
#include "process/pendingreplies.h"
#include "request/backendlimit.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lycheecleat
{

/** A request for a permit. */
struct PermitQuery
{
    /** Availability zone of the backend server. */
    std::string zone_;
    /** The backend server, and what this host knows of its limit. */
    KnownLimit known_;
};

/** The host that issues permits for a backend server. */
struct PermitIssuer
{
    bool isSelf_ = false;
    /** Its gossip address. */
    std::string address_;
};

/** Dependencies of a PermitExchange; all must outlive it. */
struct PermitExchangeServices
{
    /** The issuer for a backend server, by its zone and name; none if there is no live host. */
    std::function<std::optional<PermitIssuer>(absl::Time, const std::string &zone, const std::string &backend)> issuer_;
    /** Whether this host knows which hosts are alive, so that it may issue permits. */
    std::function<bool(absl::Time)> mayIssue_;
    std::function<PermitAnswer(absl::Time, const KnownLimit &)> issue_;
    /** Sends a request to a host's gossip address. */
    std::function<void(const std::string &address, const fleet::PermitRequest &)> send_;
};

/** Converts what is known of a limit to its message and back. */
[[nodiscard]] auto toMessage(absl::Time now, const KnownLimit &known) -> fleet::LimitSighting;
[[nodiscard]] auto fromMessage(absl::Time now, const fleet::LimitSighting &sighting) -> KnownLimit;

/** Whether the values of a message can be used. */
[[nodiscard]] auto isInRange(const fleet::LimitSighting &sighting) -> bool;

/** Exchanges requests for permits and their answers in datagrams. Thread-safe. */
class PermitExchange
{
public:
    explicit PermitExchange(PermitExchangeServices services);

    /** Asks the issuer for a permit; none without an answer by the deadline. Blocks. */
    [[nodiscard]] auto ask(absl::Time now, const PermitQuery &query, absl::Time deadline) -> std::optional<PermitAnswer>;

    /** Answers the request of another host. */
    [[nodiscard]] auto answer(absl::Time now, const fleet::PermitRequest &request) -> fleet::PermitReply;

    /** Takes the answer of another host to a request of this one. */
    auto receive(absl::Time now, const fleet::PermitReply &reply) -> void;

private:
    auto issue(absl::Time now, const std::string &zone, const KnownLimit &known) -> PermitAnswer;

    const PermitExchangeServices services_;
    PendingReplies<PermitAnswer> pending_;
};

}
