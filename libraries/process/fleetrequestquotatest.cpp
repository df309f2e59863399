#include "process/twobackendfixture.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto window = absl::Milliseconds(500);
constexpr auto longerThanWindow = absl::Milliseconds(700);
constexpr auto tooManyRequestsStatus = 429;

}

// Guards against requests that are sent with an admission that has run out, for example after the process stood still, when the holder has admitted others in
// their place.
TEST_CASE("a request that waited for longer than a window is sent only with another admission")
{
    struct AdmissionCase
    {
        std::string title_;
        /** Time after which the first server rejects the request. */
        absl::Duration rejectedAfter_;
        /** How often the holder admits the request when it is asked. */
        int admissions_;
        int expectedAsked_;
        int expectedStatus_;
        int expectedAtSecond_;
    };
    const auto admissionCases = std::vector<AdmissionCase> {
        { "rejected within the window", absl::ZeroDuration(), 1, 1, okStatus, 1 },
        { "admitted again", longerThanWindow, 2, 2, okStatus, 1 },
        { "not admitted again", longerThanWindow, 1, 2, tooManyRequestsStatus, 0 },
        { "not admitted", absl::ZeroDuration(), 0, 1, tooManyRequestsStatus, 0 },
    };
    for (const auto &admissionCase : admissionCases) {
        CAPTURE(admissionCase.title_);
        auto asked = std::atomic<int> { 0 };
        const auto ask = [&](absl::Time now, const ShareHost &, const std::string &organisation, absl::Time) {
            CHECK(organisation == quotaOrganisation);
            return HolderExchange { QuotaAnswer { asked++ < admissionCase.admissions_, absl::Seconds(1) }, now };
        };
        const auto reject = [&](const ScriptedRequest &request) {
            absl::SleepFor(admissionCase.rejectedAfter_);
            return reply(request, unavailableStatus, "X-Not-Executed: 1\r\n");
        };
        auto fixture = TwoBackendFixture(reject, ok, Repeatability::AtMostOnce, { window, ask });
        const auto response = fixture.send("request");
        CHECK(response.status_ == admissionCase.expectedStatus_);
        CHECK(asked == admissionCase.expectedAsked_);
        CHECK(fixture.requestCount(0) == (admissionCase.admissions_ > 0 ? 1 : 0));
        CHECK(fixture.requestCount(1) == admissionCase.expectedAtSecond_);
        if (admissionCase.expectedStatus_ == tooManyRequestsStatus) {
            CHECK(headerValue(response.headers_, outcomeHeader) == "not-run");
        }
    }
}
