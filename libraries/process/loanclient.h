/** How a share keeper reads the clock and asks peers for loans. Tests put functions in place of sockets. */
#pragma once

#include "generated/peer_types.h"
#include "version/configuration.h"
#include "version/limitownership.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lycheecleat
{

/** The clock and the calls to peers. A call gives nothing when the peer did not answer in time. */
struct LoanClient
{
    /** Monotonic time. Loans are checked against it just before use, since a thread may have been paused since its caller read the time. */
    std::function<absl::Time()> clock_;
    std::function<std::optional<
        peer::RateLoan>(const EntryHost &lender, std::int64_t revision, const std::string &limit, const RateShare &wanted, absl::Duration timeout)>
        borrowRate_;
    std::function<std::optional<peer::SlotLoan>(const EntryHost &lender, std::int64_t revision, const std::string &pool, int count, absl::Duration timeout)>
        borrowSlots_;
    /** Tells a lender what is kept of a loan; a lost return costs only capacity. Without it, loans are kept until their end. */
    std::function<void(const EntryHost &lender, const std::string &pool, std::int64_t loan, const std::map<std::string, int> &kept)> returnSlots_ = {};
};

/** Longest time that one round of borrow calls may take. A round trip between the most distant regions fits once. */
inline constexpr auto borrowRoundBudget = absl::Milliseconds(125);

/** How near a zone is to another. */
enum class Proximity {
    SameZone,
    SameRegion,
    OtherRegion,
};

/** How near two zones are. */
[[nodiscard]] auto proximityOf(const Configuration &configuration, const std::string &zone, const std::string &otherZone) -> Proximity;

/** A peer that may lend. */
struct Lender
{
    EntryHost host_;
    Proximity proximity_ = Proximity::OtherRegion;
};

/**
 * The named hosts without the borrower, nearest first. Hosts that are equally near are ordered by a hash with the borrower's name,
 * so that borrowers do not all ask the same one first.
 */
[[nodiscard]] auto orderLenders(const Configuration &configuration, const std::string &borrower, const std::vector<std::string> &names) -> std::vector<Lender>;

}
