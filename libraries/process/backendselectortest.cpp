#include "process/backendselector.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);
constexpr auto pauseTime = absl::Seconds(3);

auto backendNamed(const std::string &name, std::int64_t incarnation = 1) -> FleetBackend
{
    auto backend = FleetBackend {};
    backend.registration_.server_.name_ = name;
    backend.registration_.service_ = "s";
    backend.registration_.incarnation_ = incarnation;
    return backend;
}

auto noColdLimit(const FleetBackend & /*backend*/) -> ColdRateLimit
{
    return {};
}

auto leaving() -> BackendSignals
{
    return { .isLeaving_ = true };
}

auto paused() -> BackendSignals
{
    return { .pause_ = pauseTime };
}

/** Name of the server that is chosen; empty when none is. The request ends at once. */
auto chosen(BackendSelector &selector, absl::Time now, const std::vector<const FleetBackend *> &ranked, const std::vector<std::string> &tried = {})
    -> std::string
{
    const auto choice = selector.choose(now, { ranked, tried }, noColdLimit);
    if (choice.backend_ == nullptr) {
        return "";
    }
    selector.end(now, *choice.backend_, { ExchangeOutcome::Responded });
    return choice.backend_->registration_.server_.name_;
}

auto limited(std::optional<double> requestsPerSecond) -> BackendSignals
{
    return { .isLimitKnown_ = true, .requestsPerSecond_ = requestsPerSecond };
}

/** Chooses while an issuer grants a number of permits; returns the names of the chosen servers. */
auto chosenWithPermits(BackendSelector &selector, const std::vector<const FleetBackend *> &ranked, int requests, int permits) -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    for (auto number = 0; number < requests; ++number) {
        auto request = ChoiceRequest { ranked, {} };
        request.acquirePermit_ = [&](const FleetBackend &backend) -> std::optional<absl::Time> {
            const auto known = selector.beginAsking(start, backend);
            if (!known) {
                return std::nullopt;
            }
            permits -= 1;
            const auto isGranted = permits >= 0;
            const auto answer = PermitAnswer { { isGranted, isGranted ? absl::ZeroDuration() : absl::Seconds(1) }, known->statement_ };
            return selector.endAsking(start, backend, answer) ? std::optional(start) : std::nullopt;
        };
        const auto choice = selector.choose(start, request, noColdLimit);
        names.push_back(choice.backend_ == nullptr ? "" : choice.backend_->registration_.server_.name_);
        if (choice.backend_ != nullptr) {
            CHECK(selector.maySend(start, choice));
            selector.end(start, *choice.backend_, { ExchangeOutcome::Responded });
        }
    }
    return names;
}

auto viewOf(const std::vector<FleetBackend> &backends) -> FleetView
{
    auto view = FleetView {};
    view.backends_["s"] = backends;
    return view;
}

}

// Guards against a last resort that sends a request to a leaving or paused server when all others fail or are full.
TEST_CASE("a marked backend server is not chosen, whatever keeps the others away")
{
    const auto first = backendNamed("first");
    const auto second = backendNamed("second");
    const auto ranked = std::vector<const FleetBackend *> { &first, &second };
    for (const auto &signals : { leaving(), paused() }) {
        auto selector = BackendSelector {};
        CHECK(chosen(selector, start, ranked) == "first");
        selector.mark(start, first, signals, start, absl::ZeroDuration());
        CHECK(chosen(selector, start, ranked) == "second");
        CHECK(chosen(selector, start, ranked, { "second" }) == "");
        selector.end(start, second, { ExchangeOutcome::Unreachable });
        CHECK(chosen(selector, start, ranked) == "second");
        selector.mark(start, second, signals, start, absl::ZeroDuration());
        CHECK(chosen(selector, start, ranked) == "");
        CHECK_FALSE(selector.maySend(start, { &first }));
    }
}

// Guards against a restarted server that inherits its predecessor's mark, and against a mark that is lost because a request still uses an older view.
TEST_CASE("a mark belongs to one incarnation of a backend server")
{
    auto selector = BackendSelector {};
    const auto before = backendNamed("b", 1);
    const auto after = backendNamed("b", 2);
    selector.mark(start, before, leaving(), start, absl::ZeroDuration());
    CHECK(chosen(selector, start, { &after }) == "b");
    selector.mark(start, after, paused(), start, absl::ZeroDuration());
    selector.end(start, before, { ExchangeOutcome::Responded });
    CHECK(chosen(selector, start, { &before }) == "");
    CHECK(chosen(selector, start, { &after }) == "");
    CHECK(chosen(selector, start + pauseTime, { &after }) == "b");
    CHECK(chosen(selector, start + pauseTime, { &before }) == "");
}

// Guards against a mark that ends although the server is still registered, and against a memory of every server that ever was.
TEST_CASE("a mark of a leaving server holds while its incarnation is registered and for a time after that")
{
    auto selector = BackendSelector {};
    const auto backend = backendNamed("b");
    selector.mark(start, backend, leaving(), start, absl::ZeroDuration());
    const auto day = start + absl::Hours(24);
    CHECK(selector.endMarks(day, viewOf({ backend })).empty());
    CHECK(selector.endMarks(day + absl::Minutes(9), viewOf({ backendNamed("b", 2) })).empty());
    CHECK(chosen(selector, day + absl::Minutes(9), { &backend }) == "");
    const auto ended = selector.endMarks(day + absl::Minutes(11), viewOf({}));
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().backend_ == "b");
    CHECK(ended.front().incarnation_ == 1);
    CHECK(ended.front().restriction_ == BackendRestriction::Leaving);
    CHECK(selector.endMarks(day + absl::Minutes(30), viewOf({})).empty());
}

// Guards against a pause whose end is logged twice, or not at all.
TEST_CASE("the end of a pause is reported once")
{
    auto selector = BackendSelector {};
    const auto backend = backendNamed("b");
    selector.mark(start, backend, paused(), start, absl::ZeroDuration());
    const auto view = viewOf({ backend });
    CHECK(selector.endMarks(start + absl::Seconds(1), view).empty());
    const auto ended = selector.endMarks(start + pauseTime, view);
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().restriction_ == BackendRestriction::Paused);
    CHECK(selector.endMarks(start + pauseTime, view).empty());
}

// Guards against counters that don't tell what the signals of servers changed.
TEST_CASE("marks, passed-over servers, cancelled requests and requests despite a mark are counted")
{
    auto selector = BackendSelector {};
    const auto first = backendNamed("first");
    const auto second = backendNamed("second");
    const auto ranked = std::vector<const FleetBackend *> { &first, &second };
    selector.mark(start, first, leaving(), start, absl::ZeroDuration());
    selector.mark(start, first, leaving(), start, absl::ZeroDuration());
    selector.mark(start, second, paused(), start, absl::ZeroDuration());
    selector.mark(start, second, { .problems_ = { { "Retry-After", "x", SignalProblemReason::NotANumberOfSeconds } } }, start, absl::ZeroDuration());
    CHECK(chosen(selector, start, ranked) == "");
    selector.end(start, second, { ExchangeOutcome::Overloaded }, start + absl::Milliseconds(1));
    selector.cancel(second);
    const auto counts = selector.signalCounts();
    CHECK(counts.leavingMarks_ == 1);
    CHECK(counts.pauseMarks_ == 1);
    CHECK(counts.ignoredHeaders_ == 1);
    CHECK(counts.keptFromLeaving_ == 1);
    CHECK(counts.keptFromPaused_ == 1);
    CHECK(counts.cancelled_ == 1);
    CHECK(counts.sentDespiteMark_ == 1);
}

// Guards against a request that waits for nothing, and against one that is refused although a server that it may use returns in time.
TEST_CASE("the return of the backend servers distinguishes those that were tried")
{
    auto selector = BackendSelector {};
    const auto first = backendNamed("first");
    const auto second = backendNamed("second");
    const auto ranked = std::vector<const FleetBackend *> { &first, &second };
    const auto none = std::vector<std::string> {};
    const auto firstTried = std::vector<std::string> { "first" };
    selector.mark(start, first, paused(), start, absl::ZeroDuration());
    selector.mark(start, second, leaving(), start, absl::ZeroDuration());
    const auto untried = selector.returnOf(start, { ranked, none }, noColdLimit);
    CHECK(untried.servedAt_ == start + pauseTime);
    CHECK(untried.returnAt_ == start + pauseTime);
    const auto tried = selector.returnOf(start, { ranked, firstTried }, noColdLimit);
    CHECK(tried.servedAt_ == absl::InfiniteFuture());
    CHECK(tried.returnAt_ == start + pauseTime);
}

// Guards against requests beyond a limit, against losing what a server takes, and against a last resort that exceeds the limit.
TEST_CASE("a server with a limit gets requests with permits only, and the next one gets the others")
{
    const auto first = backendNamed("first");
    const auto second = backendNamed("second");
    const auto ranked = std::vector<const FleetBackend *> { &first, &second };
    auto selector = BackendSelector {};
    CHECK(chosenWithPermits(selector, ranked, 1, 0) == std::vector<std::string> { "first" });
    selector.mark(start, first, limited(3), start, absl::ZeroDuration());
    CHECK(chosenWithPermits(selector, ranked, 4, 2) == std::vector<std::string> { "first", "first", "second", "second" });
    selector.end(start, second, { ExchangeOutcome::Unreachable });
    CHECK(chosenWithPermits(selector, ranked, 1, 0) == std::vector<std::string> { "second" });
    CHECK(chosenWithPermits(selector, { &first }, 1, 0) == std::vector<std::string> { "" });
    selector.mark(start, first, limited(std::nullopt), start + absl::Milliseconds(1), absl::ZeroDuration());
    CHECK(chosenWithPermits(selector, ranked, 1, 0) == std::vector<std::string> { "first" });
    const auto counts = selector.signalCounts();
    CHECK(counts.limits_ == 1);
    CHECK(counts.permitsGranted_ == 2);
    CHECK(counts.permitsRefused_ == 1);
    CHECK(counts.keptFromLimited_ >= 3);
}

// Guards against sending requests that were chosen, queued or connecting before the limit was known.
TEST_CASE("a request that was chosen without a permit is not sent once its server has a limit")
{
    const auto backend = backendNamed("b");
    auto selector = BackendSelector {};
    const auto early = selector.choose(start, { { &backend }, {} }, noColdLimit);
    REQUIRE(early.backend_ == &backend);
    CHECK(selector.maySend(start, early));
    CHECK(selector.applyLimit({ "b", 1, { 3, start } }) == LimitChange { std::nullopt, 3 });
    CHECK(!selector.maySend(start, early));
    CHECK(selector.applyLimit({ "b", 1, { std::nullopt, start + absl::Seconds(1) } }) == LimitChange { 3, std::nullopt });
    CHECK(selector.maySend(start, early));
}

// Guards against an issuer that issues for each host as if it were the only one, or for a limit that has ended.
TEST_CASE("an issuer counts the permits of all hosts together, for the latest statement that it has heard")
{
    auto selector = BackendSelector {};
    const auto known = KnownLimit { "b", 1, { 2, start } };
    CHECK(!selector.issuePermit(start, known).decision_.isGranted_);
    auto granted = 0;
    for (auto millis = 0; millis < 10'000; millis += 10) {
        granted += selector.issuePermit(start + absl::Milliseconds(millis), known).decision_.isGranted_ ? 1 : 0;
    }
    CHECK(granted > 10);
    CHECK(granted <= 20);
    CHECK(selector.issuePermit(start, { "b", 2, { 2, start } }).decision_.retryAfter_ > absl::ZeroDuration());
    const auto ended = LimitStatement { std::nullopt, start + absl::Seconds(1) };
    CHECK(selector.applyLimit({ "b", 1, ended }) == LimitChange { 2, std::nullopt });
    const auto answer = selector.issuePermit(start + absl::Seconds(11), known);
    CHECK(!answer.decision_.isGranted_);
    CHECK(answer.statement_ == ended);
    CHECK(selector.signalCounts().permitsIssued_ == granted);
}

// Guards against datagrams that grow with the servers that ever had a limit.
TEST_CASE("peers are told the latest statements about limits")
{
    auto selector = BackendSelector {};
    CHECK(selector.limitsSince(start).empty());
    for (auto number = 0; number < 40; ++number) {
        static_cast<void>(selector.applyLimit({ std::to_string(number), 1, { number, start + absl::Seconds(number) } }));
    }
    CHECK(selector.limitsSince(start + absl::Seconds(40)).empty());
    CHECK(selector.limitsSince(start + absl::Seconds(37)).size() == 2);
    const auto latest = selector.limitsSince(start);
    REQUIRE(latest.size() == 16);
    CHECK(latest.front() == KnownLimit { "39", 1, { 39, start + absl::Seconds(39) } });
}
