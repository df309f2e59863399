#include "request/quotaaccount.h"

#include <algorithm>
#include <numeric>

namespace lycheecleat
{

namespace
{

/** Part of the share above which a host asks for more, so that admissions arrive before they are needed. */
constexpr auto askedPart = 1.0;

/** Part of its share that a host keeps for its own callers when it lends. */
constexpr auto keptPart = 0.3;

/** Part of the share that is asked for at once. */
constexpr auto wantedPart = 0.1;
constexpr auto fewestWanted = std::int64_t { 2 };

constexpr auto firstAskPause = absl::Milliseconds(200);
/** Pause once nobody lends: the organisation has used up its limit. */
constexpr auto longestAskPause = absl::Seconds(2);

/** Lent admissions stay away for this long beyond the rules' need, for clocks that run at different speeds. */
constexpr auto clockMargin = absl::Milliseconds(200);

auto dropEnded(std::vector<QuotaLoan> &loans, absl::Time now) -> void
{
    std::erase_if(loans, [&](const QuotaLoan &loan) {
        return now >= loan.endsAt_ || loan.admissions_ <= 0;
    });
}

auto sumOf(const std::vector<QuotaLoan> &loans) -> std::int64_t
{
    return std::accumulate(loans.begin(), loans.end(), std::int64_t { 0 }, [](std::int64_t sum, const QuotaLoan &loan) {
        return sum + loan.admissions_;
    });
}

// What the host may admit in a window by itself. It starts once loans of an earlier process have ended, and grows over a window.
auto ownLimit(QuotaAccount &account, absl::Time now, const QuotaTerm &term) -> std::int64_t
{
    dropEnded(account.lent_, now);
    dropEnded(account.borrowed_, now);
    return std::max<std::int64_t>(0, grownLimit(term.share_, now - term.startedAt_ - loanTime, term.window_) - sumOf(account.lent_));
}

}

auto admit(QuotaAccount &account, absl::Time now, const QuotaTerm &term) -> bool
{
    if (admit(account.own_, now, ownLimit(account, now, term), term.window_)) {
        return true;
    }
    if (account.borrowed_.empty()) {
        return false;
    }
    // The loan that ends first is used first.
    auto &loan = *std::min_element(account.borrowed_.begin(), account.borrowed_.end(), [](const QuotaLoan &left, const QuotaLoan &right) {
        return left.endsAt_ < right.endsAt_;
    });
    loan.admissions_ -= 1;
    return true;
}

auto askForLoan(QuotaAccount &account, absl::Time now, const QuotaTerm &term) -> std::optional<std::int64_t>
{
    const auto limit = ownLimit(account, now, term);
    const auto left = limit - admittedCount(account.own_, now, term.window_) + sumOf(account.borrowed_);
    if (static_cast<double>(left) > static_cast<double>(term.share_) * (1 - askedPart) || now - account.askedAt_ < account.askPause_) {
        return std::nullopt;
    }
    account.askPause_ = std::clamp(account.askPause_ * 2, firstAskPause, longestAskPause);
    account.askedAt_ = now;
    return std::max(fewestWanted, static_cast<std::int64_t>(static_cast<double>(term.share_) * wantedPart));
}

auto lend(QuotaAccount &account, absl::Time now, const QuotaTerm &term, std::int64_t wanted) -> std::int64_t
{
    const auto limit = ownLimit(account, now, term);
    const auto kept = static_cast<std::int64_t>(static_cast<double>(term.share_) * keptPart);
    const auto spare = limit - admittedCount(account.own_, now, term.window_) - kept;
    const auto lent = std::clamp<std::int64_t>(spare, 0, std::max<std::int64_t>(0, wanted));
    if (lent > 0) {
        account.lent_.push_back({ lent, now + loanTime + term.window_ + clockMargin });
    }
    return lent;
}

auto borrow(QuotaAccount &account, absl::Time now, const LoanGrant &grant) -> void
{
    std::erase_if(account.taken_, [&](const LoanGrant &taken) {
        return now >= taken.askedAt_ + loanTime;
    });
    const auto isKnown = std::any_of(account.taken_.begin(), account.taken_.end(), [&](const LoanGrant &taken) {
        return taken.lender_ == grant.lender_ && taken.askedAt_ == grant.askedAt_;
    });
    if (isKnown || now >= grant.askedAt_ + loanTime || grant.askedAt_ > now) {
        return;
    }
    account.taken_.push_back(grant);
    account.borrowed_.push_back({ grant.admissions_, grant.askedAt_ + loanTime });
    account.askPause_ = firstAskPause;
}

}
