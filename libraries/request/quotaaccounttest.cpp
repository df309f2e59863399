#include "request/quotaaccount.h"

#include "core/digest.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);
constexpr auto window = absl::Seconds(5);

struct ModelCase
{
    std::string title_;
    /** Hosts that callers use; the others only lend. */
    std::size_t usedHosts_;
    double lossPart_;
    bool restarts_;
    bool pauses_;
};

/** Hosts with accounts, and messages that are delayed, lost and doubled. */
class Model
{
public:
    static constexpr auto hostCount = std::size_t { 18 };
    static constexpr auto share = std::int64_t { 50 };
    static constexpr auto quota = share * static_cast<std::int64_t>(hostCount);
    /** What the deployments tolerate where the quota uses 0.6 of an overage of 0.1 and a slack of 20. A restarted host has forgotten its window. */
    static constexpr auto tolerated = static_cast<std::int64_t>((quota - 12) / 1.06 * 1.1 + 20);

    Model(const ModelCase &modelCase, unsigned seed)
        : case_(modelCase)
        , random_(seed)
        , accounts_(hostCount)
        , startedAt_(hostCount, start - absl::Minutes(1))
        , pausedUntil_(hostCount, start)
    {
    }

    auto run(absl::Duration length) -> void
    {
        for (auto now = start; now < start + length; now += absl::Milliseconds(2)) {
            deliver(now);
            disturb(now);
            const auto host = pick(case_.usedHosts_);
            if (now >= startedAt_[host] && now >= pausedUntil_[host]) {
                serve(now, host);
            }
        }
    }

    [[nodiscard]] auto admitted() const -> const std::vector<absl::Time> &
    {
        return admitted_;
    }

private:
    struct Message
    {
        std::size_t to_;
        std::size_t from_;
        bool isGrant_;
        LoanRequest request_;
        LoanGrant grant_;
    };

    auto pick(std::size_t count) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    auto chance(double part) -> bool
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < part;
    }

    auto termOf(std::size_t host) const -> QuotaTerm
    {
        return { share, window, startedAt_[host] };
    }

    auto send(absl::Time now, const Message &message) -> void
    {
        if (chance(case_.lossPart_)) {
            return;
        }
        const auto copies = chance(case_.lossPart_) ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            messages_.emplace(now + absl::Milliseconds(1 + pick(120)), message);
        }
    }

    auto serve(absl::Time now, std::size_t host) -> void
    {
        auto &account = accounts_[host];
        if (admit(account, now, termOf(host))) {
            admitted_.push_back(now);
        }
        if (const auto wanted = askForLoan(account, now, termOf(host))) {
            for (auto number = 0; number < 3; ++number) {
                send(now, { pick(hostCount), host, false, { 1, *wanted, now }, {} });
            }
        }
    }

    auto deliver(absl::Time now) -> void
    {
        while (!messages_.empty() && messages_.begin()->first <= now) {
            const auto message = messages_.begin()->second;
            messages_.erase(messages_.begin());
            auto &account = accounts_[message.to_];
            if (now < startedAt_[message.to_] || message.to_ == message.from_) {
                continue;
            }
            if (now < pausedUntil_[message.to_]) {
                messages_.emplace(pausedUntil_[message.to_], message);
                continue;
            }
            if (message.isGrant_) {
                borrow(account, now, message.grant_);
                continue;
            }
            const auto lent = lend(account, now, termOf(message.to_), message.request_.wanted_);
            if (lent > 0) {
                send(now, { message.from_, message.to_, true, {}, { 1, lent, message.request_.askedAt_, message.to_ } });
            }
        }
    }

    auto disturb(absl::Time now) -> void
    {
        if (case_.restarts_ && chance(0.0005)) {
            const auto host = pick(hostCount);
            accounts_[host] = QuotaAccount {};
            startedAt_[host] = now + absl::Milliseconds(300);
        }
        if (case_.pauses_ && chance(0.0005)) {
            pausedUntil_[pick(hostCount)] = now + absl::Seconds(2);
        }
    }

    ModelCase case_;
    std::mt19937 random_;
    std::vector<QuotaAccount> accounts_;
    std::vector<absl::Time> startedAt_;
    std::vector<absl::Time> pausedUntil_;
    std::multimap<absl::Time, Message> messages_;
    std::vector<absl::Time> admitted_;
};

auto largestWindow(const std::vector<absl::Time> &admitted) -> std::int64_t
{
    auto largest = std::size_t { 0 };
    for (auto first = std::size_t { 0 }, last = std::size_t { 0 }; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] >= window) {
            ++first;
        }
        largest = std::max(largest, last - first + 1);
    }
    return static_cast<std::int64_t>(largest);
}

}

// Guards against more admissions than the quota while hosts lend to each other, messages are lost, doubled and late, and hosts pause and restart.
TEST_CASE("no window exceeds the quota while admissions are lent")
{
    const auto cases = std::vector<ModelCase> {
        { "all hosts used", Model::hostCount, 0, false, false },
        { "a third used", 6, 0, false, false },
        { "one used", 1, 0, false, false },
        { "messages lost and doubled", 6, 0.3, false, false },
        { "hosts pause", 6, 0.1, false, true },
        { "hosts restart", 6, 0.1, true, false },
        { "everything", 6, 0.2, true, true },
        { "everything, all used", 18, 0.2, true, true },
    };
    for (const auto &modelCase : cases) {
        for (const auto seed : { 1U, 2U, 3U, 4U }) {
            CAPTURE(modelCase.title_);
            CAPTURE(seed);
            auto model = Model(modelCase, seed);
            model.run(absl::Seconds(40));
            CHECK(largestWindow(model.admitted()) <= (modelCase.restarts_ ? Model::tolerated : Model::quota));
            CHECK(model.admitted().size() > 100);
        }
    }
}

// Guards against an organisation that is refused within its limit because its callers use a few of the hosts (quotas on trouble-3 of ikivu-lb).
TEST_CASE("an organisation whose callers use a third of the hosts gets most of its limit")
{
    auto model = Model({ "a third used", 6, 0.01, false, false }, 1);
    constexpr auto windows = 8;
    model.run(window * windows);
    const auto limit = Model::share * static_cast<std::int64_t>(Model::hostCount) * windows;
    CHECK(static_cast<double>(model.admitted().size()) > 0.6 * static_cast<double>(limit));
}

// Guards against a loan that is used after its end, such as by a host that was suspended meanwhile, and against a datagram that counts twice.
TEST_CASE("a loan is used once and in time")
{
    const auto term = QuotaTerm { 0, window, start - absl::Minutes(1) };
    const auto grant = LoanGrant { 1, 2, start, 7 };
    auto account = QuotaAccount {};
    borrow(account, start + absl::Milliseconds(100), grant);
    borrow(account, start + absl::Milliseconds(200), grant);
    CHECK(admit(account, start + absl::Milliseconds(300), term));
    CHECK(admit(account, start + absl::Milliseconds(300), term));
    CHECK_FALSE(admit(account, start + absl::Milliseconds(300), term));
    borrow(account, start + absl::Milliseconds(400), { 1, 2, start + absl::Milliseconds(350), 8 });
    CHECK_FALSE(admit(account, start + absl::Seconds(3), term));
    borrow(account, start + absl::Seconds(3), { 1, 2, start, 9 });
    CHECK_FALSE(admit(account, start + absl::Seconds(3), term));
}
