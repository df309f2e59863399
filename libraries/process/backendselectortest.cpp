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
        CHECK_FALSE(selector.maySend(start, first));
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
