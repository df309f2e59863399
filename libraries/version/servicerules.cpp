// Parsers of the rules that describe services: pool, route.
#include "version/boundedparsers.h"
#include "version/ruleparsers.h"
#include "version/units.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

constexpr auto maximumSlots = 10000;
constexpr auto maximumSlowStart = absl::Hours(1);
// A request can occupy a slot for its whole deadline, and a drain can take as long as the longest deadline.
constexpr auto maximumDeadline = absl::Seconds(10);
constexpr auto minimumDeadline = absl::Milliseconds(1);
constexpr auto maximumBodyBytes = std::size_t { 64 } << 20U;

auto parseHost(const std::string &text) -> std::optional<std::string>
{
    const auto isAllowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '.' || character == '-';
    };
    return text == "*" || std::all_of(text.begin(), text.end(), isAllowed) ? std::optional(text) : std::nullopt;
}

auto parsePath(const std::string &text) -> std::optional<std::string>
{
    const auto hasForbidden = text.find_first_of("?#* %") != std::string::npos || text.find("//") != std::string::npos;
    const auto endsWithSlash = text.size() > 1 && text.back() == '/';
    return !text.empty() && text.front() == '/' && !hasForbidden && !endsWithSlash ? std::optional(text) : std::nullopt;
}

auto readBackend(FieldReader &reader) -> BackendServer
{
    auto backend = BackendServer {};
    backend.name_ = reader.name("name");
    backend.zone_ = reader.text("zone");
    backend.address_ = reader.address("address");
    return backend;
}

}

auto parsePool(const ParserInput &input) -> void
{
    auto &reader = input.reader_;
    const auto parseSlowStart = within(absl::ZeroDuration(), maximumSlowStart, parseDuration);
    auto pool = Pool {};
    pool.name_ = input.name_;
    pool.slots_ = reader.parsed<int>("slots", std::nullopt, "a whole number from 1 to 10000", within(1, maximumSlots, parseWholeNumber));
    pool.slowStart_ = reader.parsed<absl::Duration>("slow_start", absl::ZeroDuration(), "a duration from 0s to 1h", parseSlowStart);
    reader.readMapList("backends", [&](FieldReader &element) {
        pool.backends_.push_back(readBackend(element));
    });
    input.configuration_.pools_.push_back(std::move(pool));
}

auto parseRoute(const ParserInput &input) -> void
{
    auto &reader = input.reader_;
    const auto defaults = Route {};
    const auto parseDeadline = within(minimumDeadline, maximumDeadline, parseDuration);
    const auto parseBodyLimit = within(std::size_t { 0 }, maximumBodyBytes, parseSize);
    auto route = Route {};
    route.name_ = input.name_;
    route.file_ = input.file_;
    route.host_ = reader.parsed<std::string>("host", std::nullopt, "a host name in lower case without a port, or '*' (in quotes) for any", parseHost);
    route.pathPrefix_ = reader.parsed<std::string>("path", std::nullopt, "a path such as /tides, without query, wildcard, '%' or last slash", parsePath);
    route.pool_ = reader.text("pool");
    route.access_ = reader.choice<Access>("access", std::nullopt, { { "open", Access::Open }, { "keyed", Access::Keyed } });
    route.repeatable_ = reader.choice<bool>("repeatable", std::nullopt, { { "true", true }, { "false", false } });
    route.deadline_ = reader.parsed<absl::Duration>("deadline", defaults.deadline_, "a duration from 1ms to 10s", parseDeadline);
    route.bodyLimit_ = reader.parsed<std::size_t>("body_limit", defaults.bodyLimit_, "a size from 0B to 64MiB such as 64KiB", parseBodyLimit);
    route.isolation_ = reader.choice<Isolation>("isolation", Isolation::Refuse, { { "refuse", Isolation::Refuse }, { "serve", Isolation::Serve } });
    input.configuration_.routes_.push_back(std::move(route));
}

}
