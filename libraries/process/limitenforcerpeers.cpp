#include "core/clock.h"
#include "process/limitenforcer.h"

#include <optional>
#include <tuple>
#include <utility>

namespace lycheecleat
{

namespace
{

/** Timeout of a return call. An unresponsive lender delays the returns to others by no more than this. */
constexpr auto returnTimeout = absl::Milliseconds(250);

/** The value of a call, or nothing if it failed. The caller treats every failure as the absence of a loan. */
template<typename Value, typename Call>
auto valueOrNothing(Call &&call) -> std::optional<Value>
{
    auto outcome = attempt(std::forward<Call>(call));
    auto *value = std::get_if<Value>(&outcome);
    return value == nullptr ? std::nullopt : std::optional<Value> { std::move(*value) };
}

auto makeLoanClient(PeerClients *peers, const std::string &hostName) -> LoanClient
{
    auto loanClient = LoanClient {};
    loanClient.clock_ = monotonicNow;
    loanClient.borrowRate_ = [=](const EntryHost &lender, std::int64_t revision, const std::string &limit, const RateShare &wanted, absl::Duration timeout) {
        return valueOrNothing<peer::RateLoan>([&]() {
            return peers->borrowRate(lender.peer_, hostName, revision, limit, wanted.rate_, wanted.burst_, timeout);
        });
    };
    loanClient.borrowSlots_ = [=](const EntryHost &lender, std::int64_t revision, const std::string &pool, int count, absl::Duration timeout) {
        return valueOrNothing<peer::SlotLoan>([&]() {
            return peers->borrowSlots(lender.peer_, hostName, revision, pool, count, timeout);
        });
    };
    loanClient.returnSlots_ = [=](const EntryHost &lender, const std::string &pool, std::int64_t loanId, const std::map<std::string, int> &keptSlots) {
        std::ignore = valueOrNothing<bool>([&]() {
            return peers->returnSlots(lender.peer_, hostName, pool, loanId, keptSlots, returnTimeout);
        });
    };
    return loanClient;
}

}

LimitEnforcer::LimitEnforcer(const std::string &hostName, absl::Time startedAt, PeerClients *peers)
    : LimitEnforcer(hostName, makeLoanClient(peers, hostName))
{
    // Unused: shares grow only some time after the first configuration is applied, and that wait alone is longer than loans of a previous run last.
    (void)startedAt;
}

}
