/** One host's account of an organisation's quota: its own share, and admissions lent to and borrowed from other hosts. */
#pragma once

#include "request/windowquota.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheecleat
{

/** How long borrowed admissions may be used, counted from the borrower's request, so that a late answer shortens it. */
inline constexpr auto loanTime = absl::Seconds(1);

/** A request for admissions. Times are the borrower's, monotonic. */
struct LoanRequest
{
    /** Stable hash of the organisation's name. */
    std::uint64_t organisation_ = 0;
    std::int64_t wanted_ = 0;
    absl::Time askedAt_ = absl::InfinitePast();

    auto operator==(const LoanRequest &other) const -> bool = default;
};

/** Admissions that a lender gives up. */
struct LoanGrant
{
    std::uint64_t organisation_ = 0;
    std::int64_t admissions_ = 0;
    /** As in the request. */
    absl::Time askedAt_ = absl::InfinitePast();
    /** Hash of the lender's name. */
    std::uint64_t lender_ = 0;

    auto operator==(const LoanGrant &other) const -> bool = default;
};

/** Admissions lent or borrowed until a time. */
struct QuotaLoan
{
    std::int64_t admissions_ = 0;
    absl::Time endsAt_ = absl::InfinitePast();
};

/** What a host may admit by itself at a time. */
struct QuotaTerm
{
    std::int64_t share_ = 0;
    absl::Duration window_ = absl::Seconds(5);
    /** When the process started: an earlier process may have admitted and lent before, which this one does not know. */
    absl::Time startedAt_ = absl::InfinitePast();
};

/** The account of one organisation. Times are monotonic and count the time for which the machine is suspended. */
struct QuotaAccount
{
    WindowQuota own_;
    /** Lent admissions are missing here until a window has passed after their last possible use. */
    std::vector<QuotaLoan> lent_;
    std::vector<QuotaLoan> borrowed_;
    /** Grants taken, since a datagram may arrive twice. */
    std::vector<LoanGrant> taken_;
    absl::Time askedAt_ = absl::InfinitePast();
    absl::Duration askPause_;
};

/**
 * Admits a request out of this host's share, or out of what it has borrowed. In any window, what all hosts admit out of a host's share, by itself and by
 * loans, is at most that share.
 */
[[nodiscard]] auto admit(QuotaAccount &account, absl::Time now, const QuotaTerm &term) -> bool;

/** Asks for admissions when few are left; none when enough are left or the last request was just before. */
[[nodiscard]] auto askForLoan(QuotaAccount &account, absl::Time now, const QuotaTerm &term) -> std::optional<std::int64_t>;

/** Lends admissions that this host does not need itself; 0 when it has none to spare. */
[[nodiscard]] auto lend(QuotaAccount &account, absl::Time now, const QuotaTerm &term, std::int64_t wanted) -> std::int64_t;

/** Takes over a grant unless it has come before or too late. */
auto borrow(QuotaAccount &account, absl::Time now, const LoanGrant &grant) -> void;

}
