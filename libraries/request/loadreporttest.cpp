#include "request/loadreport.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace lycheecleat;

// Guards against reports that are dropped because they have a fourth figure, and against bad ones that are used.
TEST_CASE("load reports have three or four figures in range")
{
    struct Case
    {
        std::string value_;
        std::optional<LoadReport> expected_;
    };
    const auto cases = std::vector<Case> {
        { "3,0,8", LoadReport { 3, 0, 8 } },
        { "3,2,8,100", LoadReport { 3, 2, 8 } },
        { "3,2,8,1", LoadReport { 3, 2, 8 } },
        { "0,0,0", LoadReport { 0, 0, 0 } },
        { "3,2,8,0", std::nullopt },
        { "3,2,8,-5", std::nullopt },
        { "3,2,8,9999999999", std::nullopt },
        { "3,2,8,2000000", std::nullopt },
        { "3,2,8,", std::nullopt },
        { "3,2,8,100,1", std::nullopt },
        { "3,2", std::nullopt },
        { "-1,2,8", std::nullopt },
        { "3,-1,8", std::nullopt },
        { "a,2,8", std::nullopt },
        { "3.5,2,8", std::nullopt },
        { "", std::nullopt },
    };
    for (const auto &reportCase : cases) {
        CAPTURE(reportCase.value_);
        CHECK(parseLoadReport(reportCase.value_) == reportCase.expected_);
    }
}
