#include "request/loadreport.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <string>
#include <vector>

namespace lycheecleat
{

namespace
{

/** Far above what a server holds; larger figures are nonsense that would divert all requests. */
constexpr auto maximumFigure = 1'000'000;

constexpr auto figuresWithoutWorkTime = std::size_t { 3 };
constexpr auto figuresWithWorkTime = std::size_t { 4 };

auto isInRange(int figure) -> bool
{
    return figure >= 0 && figure <= maximumFigure;
}

}

auto parseLoadReport(const std::string &value) -> std::optional<LoadReport>
{
    auto figures = std::vector<int> {};
    const auto parts = std::vector<std::string>(absl::StrSplit(value, ','));
    for (const auto &part : parts) {
        if (figures.size() == figuresWithWorkTime || !absl::SimpleAtoi(part, &figures.emplace_back())) {
            return std::nullopt;
        }
    }
    const auto hasWorkTime = figures.size() == figuresWithWorkTime;
    if ((!hasWorkTime && figures.size() != figuresWithoutWorkTime) || !std::all_of(figures.begin(), figures.end(), isInRange)
        || (hasWorkTime && figures[3] == 0)) {
        return std::nullopt;
    }
    return LoadReport { figures[0], figures[1], figures[2] };
}

}
