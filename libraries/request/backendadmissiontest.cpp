#include "request/backendadmission.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);
constexpr auto pauseTime = absl::Seconds(3);

auto leaving() -> BackendSignals
{
    return { .isLeaving_ = true };
}

auto limited(std::optional<double> requestsPerSecond) -> BackendSignals
{
    auto signals = BackendSignals {};
    signals.isLimitKnown_ = true;
    signals.requestsPerSecond_ = requestsPerSecond;
    return signals;
}

auto paused(absl::Duration duration = pauseTime) -> BackendSignals
{
    return { .pause_ = duration };
}

auto respond(BackendCondition &condition, absl::Time now) -> void
{
    recordSend(condition, now);
    recordExchange(condition, now, { ExchangeOutcome::Responded, std::nullopt, absl::Milliseconds(10) });
}

struct AdmissionCase
{
    std::string title_;
    std::function<void(BackendCondition &)> prepare_;
    absl::Time usableUntil_;
    std::optional<ColdRateLimit> coldRateLimit_;
    absl::Duration after_;
    BackendRestriction expected_;
    absl::Time until_;
};

}

// Guards against a request to a server that is leaving or paused because another reason hides the mark, or because the mark ends too early.
TEST_CASE("the decision names the firmest reason to keep requests from a backend server, and its end")
{
    using enum BackendRestriction;
    const auto nothing = [](BackendCondition &) {};
    const auto markLeaving = [](BackendCondition &condition) {
        recordSignals(condition, start, leaving(), start, absl::ZeroDuration());
    };
    const auto markPaused = [](BackendCondition &condition) {
        recordSignals(condition, start, paused(), start, absl::ZeroDuration());
    };
    const auto eject = [](BackendCondition &condition) {
        recordExchange(condition, start, { ExchangeOutcome::Unreachable });
    };
    const auto fill = [](BackendCondition &condition) {
        recordExchange(condition, start, { ExchangeOutcome::Overloaded });
    };
    const auto limit = [](BackendCondition &condition) {
        recordSignals(condition, start, limited(3), start, absl::ZeroDuration());
    };
    const auto limitWithPermit = [&](BackendCondition &condition) {
        limit(condition);
        recordAnswer(condition.permits_, start, PermitDecision { true, absl::ZeroDuration() });
    };
    const auto infinite = absl::InfiniteFuture();
    const auto cases = std::vector<AdmissionCase> {
        { "nothing known", nothing, infinite, {}, {}, None, absl::InfinitePast() },
        { "unregistered", nothing, start, {}, {}, Unregistered, infinite },
        { "registered until later", nothing, start + absl::Seconds(1), {}, {}, None, absl::InfinitePast() },
        { "leaving", markLeaving, infinite, {}, {}, Leaving, infinite },
        { "leaving, a day later", markLeaving, infinite, {}, absl::Hours(24), Leaving, infinite },
        { "paused", markPaused, infinite, {}, {}, Paused, start + pauseTime },
        { "paused, just before the end", markPaused, infinite, {}, pauseTime - absl::Milliseconds(1), Paused, start + pauseTime },
        { "paused, at the end", markPaused, infinite, {}, pauseTime, None, absl::InfinitePast() },
        { "ejected", eject, infinite, {}, {}, Ejected, start + absl::Milliseconds(500) },
        { "full", fill, infinite, {}, {}, Full, start + absl::Milliseconds(250) },
        { "cold, rate used up", nothing, infinite, ColdRateLimit { true, 0 }, {}, ColdRateReached, start },
        { "cold, rate left", nothing, infinite, ColdRateLimit { true, 1 }, {}, None, absl::InfinitePast() },
        { "limited", limit, infinite, {}, {}, LimitReached, start },
        { "limited, with a permit", limitWithPermit, infinite, {}, {}, None, absl::InfinitePast() },
        { "limited, the permit has ended", limitWithPermit, infinite, {}, absl::Seconds(2), LimitReached, start + absl::Seconds(2) },
        { "limited, a permit was refused for a time",
          [&](BackendCondition &condition) {
              limit(condition);
              recordAnswer(condition.permits_, start, PermitDecision { false, absl::Seconds(1) });
          },
          infinite,
          {},
          {},
          LimitReached,
          start + absl::Seconds(1) },
        { "limited and paused",
          [&](BackendCondition &condition) {
              limit(condition);
              markPaused(condition);
          },
          infinite,
          {},
          {},
          Paused,
          start + pauseTime },
        { "limited, cold and returning from a pause, with a permit",
          [&](BackendCondition &condition) {
              markPaused(condition);
              limitWithPermit(condition);
              condition.pausedUntil_ = start;
              recordSend(condition, start);
          },
          infinite,
          ColdRateLimit { true, 0 },
          {},
          Returning,
          start },
        { "limited, ejected and full",
          [&](BackendCondition &condition) {
              eject(condition);
              fill(condition);
              limit(condition);
          },
          infinite,
          {},
          {},
          LimitReached,
          start },
        { "limit ended",
          [&](BackendCondition &condition) {
              limit(condition);
              recordSignals(condition, start, limited(std::nullopt), start + absl::Seconds(1), absl::ZeroDuration());
          },
          infinite,
          {},
          {},
          None,
          absl::InfinitePast() },
        { "leaving and paused",
          [&](BackendCondition &condition) {
              markLeaving(condition);
              markPaused(condition);
          },
          infinite,
          {},
          {},
          Leaving,
          infinite },
        { "paused, ejected and full",
          [&](BackendCondition &condition) {
              eject(condition);
              fill(condition);
              markPaused(condition);
          },
          infinite,
          {},
          {},
          Paused,
          start + pauseTime },
        { "ejected and full",
          [&](BackendCondition &condition) {
              fill(condition);
              eject(condition);
          },
          infinite,
          {},
          {},
          Ejected,
          start + absl::Milliseconds(500) },
        { "response after the announcement",
          [&](BackendCondition &condition) {
              markLeaving(condition);
              respond(condition, start);
          },
          infinite,
          {},
          {},
          Leaving,
          infinite },
        { "response during the pause",
          [&](BackendCondition &condition) {
              markPaused(condition);
              respond(condition, start);
          },
          infinite,
          {},
          {},
          Paused,
          start + pauseTime },
        { "a later, shorter pause",
          [&](BackendCondition &condition) {
              markPaused(condition);
              recordSignals(condition, start, paused(absl::Seconds(1)), start, absl::ZeroDuration());
          },
          infinite,
          {},
          {},
          Paused,
          start + pauseTime },
        { "delayed return",
          [&](BackendCondition &condition) {
              recordSignals(condition, start, paused(), start, absl::Seconds(1));
          },
          infinite,
          {},
          pauseTime,
          Paused,
          start + pauseTime + absl::Seconds(1) },
    };
    for (const auto &admissionCase : cases) {
        CAPTURE(admissionCase.title_);
        auto condition = BackendCondition {};
        admissionCase.prepare_(condition);
        const auto admission = admissionOf({ condition, admissionCase.usableUntil_, admissionCase.coldRateLimit_ }, start + admissionCase.after_);
        CHECK(restrictionName(admission.restriction_) == restrictionName(admissionCase.expected_));
        CHECK(admission.until_ == admissionCase.until_);
    }
}

// Guards against a last resort that sends requests to a server that is leaving, paused, returning or gone.
TEST_CASE("only this host's own estimates are overridden as a last resort, and only firm reasons cancel a request that was chosen")
{
    using enum BackendRestriction;
    struct RestrictionCase
    {
        BackendRestriction restriction_;
        bool isLastResort_;
        bool forbidsSending_;
    };
    const auto cases = std::vector<RestrictionCase> {
        { None, false, false },      { Unregistered, false, true },     { Leaving, false, true }, { Paused, false, true }, { LimitReached, false, true },
        { Returning, false, false }, { ColdRateReached, false, false }, { Ejected, true, false }, { Full, true, false },
    };
    for (const auto &restrictionCase : cases) {
        CAPTURE(restrictionName(restrictionCase.restriction_));
        CHECK(isLastResort(restrictionCase.restriction_) == restrictionCase.isLastResort_);
        CHECK(forbidsSending(restrictionCase.restriction_) == restrictionCase.forbidsSending_);
    }
}

// Guards against a burst of requests from one host when a pause ends.
TEST_CASE("after a pause the requests in flight grow by one with each response")
{
    auto condition = BackendCondition {};
    recordSignals(condition, start, paused(), start, absl::ZeroDuration());
    const auto returned = start + pauseTime;
    auto sent = 0;
    const auto sendAll = [&] {
        sent = 0;
        while (admissionOf({ condition }, returned).restriction_ == BackendRestriction::None && sent < 100) {
            recordSend(condition, returned);
            sent += 1;
        }
        return sent;
    };
    const auto respondAll = [&] {
        for (auto number = 0; number < sent; ++number) {
            recordExchange(condition, returned, { ExchangeOutcome::Responded, std::nullopt, absl::Milliseconds(10) });
        }
    };
    for (const auto expected : { 1, 2, 4, 8, 100 }) {
        CHECK(sendAll() == expected);
        respondAll();
    }
}

// Guards against a slow start that ends with a failed or rejected first request.
TEST_CASE("a failed request after a pause doesn't raise the number of requests in flight")
{
    for (const auto outcome : { ExchangeOutcome::Overloaded, ExchangeOutcome::Failed }) {
        auto condition = BackendCondition {};
        recordSignals(condition, start, paused(), start, absl::ZeroDuration());
        const auto returned = start + pauseTime;
        recordSend(condition, returned);
        recordExchange(condition, returned, { outcome });
        const auto later = returned + absl::Seconds(1);
        CHECK(admissionOf({ condition }, later).restriction_ == BackendRestriction::None);
        recordSend(condition, later);
        CHECK(admissionOf({ condition }, later).restriction_ == BackendRestriction::Returning);
    }
}

// Guards against all hosts returning at one instant, and against a return after more than half of the pause again.
TEST_CASE("the hosts return one after another, in an order that differs between backend servers")
{
    struct DelayCase
    {
        absl::Duration pause_;
        absl::Duration spread_;
    };
    const auto cases = std::vector<DelayCase> { { absl::Seconds(1), absl::Milliseconds(500) }, { absl::Seconds(60), absl::Seconds(2) } };
    const auto hosts = std::vector<std::uint64_t> { 11, 22, 33, 44 };
    for (const auto &delayCase : cases) {
        auto orders = std::set<std::vector<absl::Duration>> {};
        for (auto backend = std::uint64_t { 1 }; backend <= 20; ++backend) {
            auto delays = std::vector<absl::Duration> {};
            for (const auto host : hosts) {
                delays.push_back(returnDelay(delayCase.pause_, hosts, host, backend * 1000003));
            }
            CHECK(std::set<absl::Duration>(delays.begin(), delays.end())
                  == std::set<absl::Duration> { absl::ZeroDuration(), delayCase.spread_ * 0.25, delayCase.spread_ * 0.5, delayCase.spread_ * 0.75 });
            orders.insert(delays);
        }
        CHECK(orders.size() > 1);
    }
    CHECK(returnDelay(absl::Seconds(4), {}, 11, 1) == absl::ZeroDuration());
}

// Guards against a mark that is logged and counted for each rejected request of a burst, and against a missing one.
TEST_CASE("signals report what they changed")
{
    struct ChangeCase
    {
        std::string title_;
        BackendSignals first_;
        BackendSignals second_;
        absl::Duration between_;
        MarkChange expected_;
    };
    const auto later = absl::Seconds(1);
    const auto cases = std::vector<ChangeCase> {
        { "leaving again", leaving(), leaving(), later, {} },
        { "paused within a burst", paused(), paused(), absl::Milliseconds(20), {} },
        { "pause extended", paused(), paused(), later, { false, start + later + pauseTime } },
        { "shorter pause", paused(), paused(absl::Seconds(1)), later, {} },
        { "paused, then leaving", paused(), leaving(), later, { true, std::nullopt } },
        { "leaving, then paused", leaving(), paused(), later, { false, start + later + pauseTime } },
        { "paused anew", paused(), paused(), absl::Minutes(1), { false, start + absl::Minutes(1) + pauseTime } },
        { "limited", {}, limited(4), later, { false, std::nullopt, LimitChange { std::nullopt, 4 } } },
        { "limited again", limited(4), limited(4), later, {} },
        { "nearly the same limit", limited(4), limited(3.8), later, {} },
        { "lower limit", limited(4), limited(2), later, { false, std::nullopt, LimitChange { 4, 2 } } },
        { "limit named no more", limited(4), limited(std::nullopt), later, {} },
        { "unusable limit", limited(4), {}, later, {} },
    };
    for (const auto &changeCase : cases) {
        CAPTURE(changeCase.title_);
        auto condition = BackendCondition {};
        recordSignals(condition, start, changeCase.first_, start, absl::ZeroDuration());
        CHECK(recordSignals(condition, start + changeCase.between_, changeCase.second_, start, absl::ZeroDuration()) == changeCase.expected_);
    }
}

// Guards against requests to marked servers that the counter misses, and against counting those that were sent before.
TEST_CASE("a request counts as sent despite a mark only between the mark and its end")
{
    auto condition = BackendCondition {};
    recordSignals(condition, start, paused(), start, absl::ZeroDuration());
    CHECK_FALSE(wasSentDespiteMark(condition, absl::InfinitePast()));
    CHECK_FALSE(wasSentDespiteMark(condition, start));
    CHECK(wasSentDespiteMark(condition, start + absl::Milliseconds(1)));
    CHECK_FALSE(wasSentDespiteMark(condition, start + pauseTime));
    CHECK_FALSE(endPause(condition, start + absl::Seconds(1)));
    CHECK(endPause(condition, start + pauseTime));
    CHECK_FALSE(endPause(condition, start + pauseTime));
    recordSignals(condition, start, leaving(), start, absl::ZeroDuration());
    CHECK(wasSentDespiteMark(condition, start + absl::Hours(1)));
}

// Guards against waiting for a server whose return is not known, and against refusing a request although a server returns soon.
TEST_CASE("the earliest return is known only if every server keeps requests away itself")
{
    using enum BackendRestriction;
    struct ReturnCase
    {
        std::string title_;
        std::vector<BackendAdmission> admissions_;
        std::optional<absl::Time> expected_;
    };
    const auto soon = start + absl::Seconds(1);
    const auto late = start + absl::Seconds(9);
    const auto infinite = absl::InfiniteFuture();
    const auto cases = std::vector<ReturnCase> {
        { "no servers", {}, std::nullopt },
        { "one paused", { { Paused, late } }, late },
        { "two paused", { { Paused, late }, { Paused, soon } }, soon },
        { "one paused, one leaving", { { Leaving, infinite }, { Paused, soon } }, soon },
        { "one returning", { { Paused, late }, { Returning, start } }, start },
        { "all leaving or gone", { { Leaving, infinite }, { Unregistered, infinite } }, infinite },
        { "one full", { { Paused, soon }, { Full, start } }, std::nullopt },
        { "one ejected", { { Paused, soon }, { Ejected, start } }, std::nullopt },
        { "one cold", { { Paused, soon }, { ColdRateReached, start } }, std::nullopt },
        { "one at its limit", { { Paused, soon }, { LimitReached, start } }, std::nullopt },
    };
    for (const auto &returnCase : cases) {
        CAPTURE(returnCase.title_);
        CHECK(earliestReturn(returnCase.admissions_) == returnCase.expected_);
    }
}

// Guards against permits that are asked for although the request could not be sent with them, and against a request that is held back despite its permit.
TEST_CASE("a permit is of use only if nothing else keeps requests from the backend server")
{
    struct PermitCase
    {
        std::string title_;
        std::function<void(BackendCondition &)> prepare_;
        std::optional<ColdRateLimit> coldRateLimit_;
        bool lacksOnlyPermit_;
    };
    const auto cases = std::vector<PermitCase> {
        { "nothing else", [](BackendCondition &) {}, {}, true },
        { "cold, rate left", [](BackendCondition &) {}, ColdRateLimit { true, 1 }, true },
        { "cold, rate used up", [](BackendCondition &) {}, ColdRateLimit { true, 0 }, false },
        { "ejected",
          [](BackendCondition &condition) {
              recordExchange(condition, start, { ExchangeOutcome::Unreachable });
          },
          {},
          false },
        { "full",
          [](BackendCondition &condition) {
              recordExchange(condition, start, { ExchangeOutcome::Overloaded });
          },
          {},
          false },
        { "leaving",
          [](BackendCondition &condition) {
              recordSignals(condition, start, leaving(), start, absl::ZeroDuration());
          },
          {},
          false },
    };
    for (const auto &permitCase : cases) {
        CAPTURE(permitCase.title_);
        auto condition = BackendCondition {};
        recordSignals(condition, start, limited(3), start, absl::ZeroDuration());
        permitCase.prepare_(condition);
        const auto availability = availabilityOf({ condition, absl::InfiniteFuture(), permitCase.coldRateLimit_ }, start);
        CHECK(availability.lacksOnlyPermit_ == permitCase.lacksOnlyPermit_);
        CHECK(availability.limit_ == 3);
        const auto withPermit = AdmissionInput { condition, absl::InfiniteFuture(), permitCase.coldRateLimit_, true };
        CHECK((admissionOf(withPermit, start).restriction_ == BackendRestriction::None) == permitCase.lacksOnlyPermit_);
    }
}
