#include "version/units.h"

#include "core/socketaddress.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct DurationCase
{
    std::string text_;
    std::optional<absl::Duration> expected_;
};

struct NumberCase
{
    std::string text_;
    std::optional<double> expected_;
};

struct EndpointCase
{
    std::string text_;
    bool expected_;
};

}

// Guards against interpreting a number without a unit as seconds or milliseconds.
TEST_CASE("parseDuration requires a unit")
{
    const auto cases = std::vector<DurationCase> {
        { "2s", absl::Seconds(2) }, { "500ms", absl::Milliseconds(500) },
        { "1m", absl::Minutes(1) }, { "1.5h", absl::Minutes(90) },
        { "2", std::nullopt },      { "s", std::nullopt },
        { "-2s", std::nullopt },    { "2 s", std::nullopt },
        { "1.s", std::nullopt },    { "2sec", std::nullopt },
        { "", std::nullopt },       { "1e3s", std::nullopt },
    };
    for (const auto &durationCase : cases) {
        CAPTURE(durationCase.text_);
        CHECK(parseDuration(durationCase.text_) == durationCase.expected_);
    }
}

// Guards against interpreting a rate per minute, or a bare number, as a rate per second.
TEST_CASE("parseRate requires requests per second")
{
    const auto cases = std::vector<NumberCase> {
        { "200/s", 200.0 }, { "0.5/s", 0.5 }, { "200", std::nullopt }, { "200/m", std::nullopt }, { "nan/s", std::nullopt }, { "inf/s", std::nullopt },
    };
    for (const auto &rateCase : cases) {
        CAPTURE(rateCase.text_);
        CHECK(parseRate(rateCase.text_) == rateCase.expected_);
    }
}

// Guards against parsing a size or percentage with the wrong factor.
TEST_CASE("sizes and percentages are scaled by their unit")
{
    CHECK(parseSize("64KiB") == std::size_t { 65536 });
    CHECK(parseSize("1MiB") == std::size_t { 1048576 });
    CHECK(parseSize("1MB") == std::nullopt);
    CHECK(parseSize("9999999MiB") == std::nullopt);
    CHECK(parsePercent("30%") == doctest::Approx(0.3));
    CHECK(parsePercent("30").has_value() == false);
    CHECK(parseWholeNumber("12") == 12);
    CHECK(parseWholeNumber("1.5") == std::nullopt);
    CHECK(parseWholeNumber("99999999999") == std::nullopt);
}

// Guards against accepting host names, which would require name resolution on the request path, and ports out of range.
TEST_CASE("parseSocketAddress accepts an IP address and port only")
{
    const auto cases = std::vector<EndpointCase> {
        { "127.0.0.1:8080", true },   { "[::1]:8080", true },    { "127.0.0.1", false }, { "127.0.0.1:0", false },
        { "127.0.0.1:65536", false }, { "localhost:80", false }, { "::1:80", false },    { "127.0.0.300:80", false },
    };
    for (const auto &endpointCase : cases) {
        CAPTURE(endpointCase.text_);
        CHECK(parseSocketAddress(endpointCase.text_).has_value() == endpointCase.expected_);
    }
}
