#include "request/plannedstop.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

/** Times in seconds from the stop signal. */
struct StopCandidateCase
{
    std::string title_;
    double grace_;
    double completeAfter_;
    double limitEndsAfter_;
    double longestExpected_;
    std::optional<StopRefusal> refusal_;
};

}

// Guards against requests that a stopping host takes late and breaks off, and against refusals of those that it may take.
TEST_CASE("a stopping host takes late requests only if their own limits end before it does")
{
    const auto cases = std::vector<StopCandidateCase> {
        { "in time, with a limit beyond the end of the host", 10, 2.85, 22, 0, std::nullopt },
        { "in time, with an expected end beyond that of the host", 10, 2.85, 22, 7, StopRefusal::RouteTakesLonger },
        { "late, nothing known of the route", 10, 4.5, 14.5, 0, StopRefusal::EndNotCertain },
        { "late, earlier requests of the route were short", 10, 4.5, 14.5, 0.06, StopRefusal::EndNotCertain },
        { "late, with a limit that ends before the host", 10, 4.5, 6.5, 0, std::nullopt },
        { "late, with a limit that ends just before its waits", 10, 4.5, 9.29, 0, std::nullopt },
        { "late, with a limit that ends just after its waits", 10, 4.5, 9.31, 0, StopRefusal::EndNotCertain },
        { "within 3 s of the handled signal, but perhaps not of the sent one", 10, 2.95, 22, 0, StopRefusal::EndNotCertain },
        { "after half of the grace", 10, 5, 5.1, 0, StopRefusal::TakesNoRequests },
        { "a longer grace", 20, 8, 23, 0, StopRefusal::EndNotCertain },
        { "a longer grace, with a limit that ends before the host", 20, 8, 18, 0, std::nullopt },
        { "a grace of which half is 3 s", 6, 2.8, 8.8, 0, std::nullopt },
        { "a grace of which half is shorter", 4, 1.9, 8, 0, std::nullopt },
        { "after half of a short grace", 4, 2.1, 3, 0, StopRefusal::TakesNoRequests },
    };
    const auto signalAt = absl::FromUnixSeconds(1000);
    for (const auto &candidateCase : cases) {
        CAPTURE(candidateCase.title_);
        const auto completeAt = signalAt + absl::Seconds(candidateCase.completeAfter_);
        const auto limitEndsAt = signalAt + absl::Seconds(candidateCase.limitEndsAfter_);
        const auto candidate = StopCandidate { completeAt, limitEndsAt, absl::Seconds(candidateCase.longestExpected_) };
        const auto refusal = stopRefusalOf(completeAt, planStop(signalAt, absl::Seconds(candidateCase.grace_)), candidate);
        CHECK(refusal == candidateCase.refusal_);
        CHECK(stopRefusalOf(completeAt, PlannedStop {}, candidate) == std::nullopt);
    }
}

// Guards against a process that is killed before it has answered its callers.
TEST_CASE("a stopping host answers what it broke off and ends within its grace")
{
    const auto signalAt = absl::FromUnixSeconds(1000);
    for (const auto graceSeconds : { 1, 4, 6, 10, 20, 60 }) {
        CAPTURE(graceSeconds);
        const auto grace = absl::Seconds(graceSeconds);
        const auto stop = planStop(signalAt, grace);
        CHECK(stop.refusesAt_ < stop.waitsEndAt_);
        CHECK(stop.waitsEndAt_ < stop.endsAt_);
        CHECK(stop.endsAt_ < signalAt + grace);
        // The users' rules excuse what is broken off in the last sixth of the grace.
        CHECK(stop.waitsEndAt_ >= signalAt + grace * 5 / 6);
    }
    CHECK(hasBegun(planStop(signalAt, absl::Seconds(6))));
    CHECK(!hasBegun(PlannedStop {}));
}
