/** The clock and the peer calls that LimitEnforcer uses for loans, and the order in which lenders are asked. Tests supply functions without sockets. */
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

/** The clock and the calls to peers. A borrow call returns nothing if the peer did not respond in time. */
struct LoanClient
{
    /** Monotonic time. It is read again just before a loan is used, since the thread may have been paused since its caller read the time. */
    std::function<absl::Time()> clock_;
    std::function<std::optional<
        peer::RateLoan>(const EntryHost &lender, std::int64_t revision, const std::string &limit, const RateShare &wanted, absl::Duration timeout)>
        borrowRate_;
    std::function<std::optional<peer::SlotLoan>(const EntryHost &lender, std::int64_t revision, const std::string &pool, int count, absl::Duration timeout)>
        borrowSlots_;
    /**
     * Tells a lender how many slots the borrower keeps of a loan, by backend server name. If the call is lost, the other slots stay unused until
     * the loan expires. If the function is empty, loans are kept until they expire.
     */
    std::function<void(const EntryHost &lender, const std::string &pool, std::int64_t loanId, const std::map<std::string, int> &keptSlots)> returnSlots_ = {};
};

/** Longest time of one round of borrow calls. Fits one round trip between the most distant regions. */
inline constexpr auto borrowRoundBudget = absl::Milliseconds(125);

/** How close two zones are to each other. */
enum class Proximity {
    SameZone,
    SameRegion,
    OtherRegion,
};

/** The proximity of two zones. Different zones that belong to no region are OtherRegion. */
[[nodiscard]] auto proximityOf(const Configuration &configuration, const std::string &zone, const std::string &otherZone) -> Proximity;

/** A peer that may lend, and its proximity to the borrower. */
struct Lender
{
    EntryHost host_;
    Proximity proximity_ = Proximity::OtherRegion;
};

/**
 * Returns those of the named hosts that are declared, except the borrower, nearest first. Hosts of equal proximity are ordered by a hash seeded with
 * the borrower's name, so that borrowers do not all ask the same host first.
 */
[[nodiscard]] auto orderLenders(const Configuration &configuration, const std::string &borrower, const std::vector<std::string> &names) -> std::vector<Lender>;

}
