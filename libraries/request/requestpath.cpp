#include "request/requestpath.h"

#include "request/httpfields.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

// A backend server or a proxy in front of it may decode a path more than once.
constexpr auto maximumDecodings = 3;

auto isAmbiguousSegment(std::string_view segment)
{
    // Some servers remove path parameters (after a semicolon) before they resolve dot segments.
    const auto name = segment.substr(0, segment.find(';'));
    return name == "." || name == "..";
}

auto hasAmbiguousSegments(std::string_view path) -> bool
{
    path.remove_prefix(1);
    while (!path.empty()) {
        const auto end = std::min(path.find('/'), path.size());
        if (end == 0 || isAmbiguousSegment(path.substr(0, end))) {
            return true;
        }
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return false;
}

auto hasAmbiguousCharacters(std::string_view path) -> bool
{
    return std::any_of(path.begin(), path.end(), [](char character) {
        return static_cast<unsigned char>(character) < 0x20 || character == 0x7f || character == '\\';
    });
}

auto hasEncodedSlash(std::string_view path) -> bool
{
    for (const auto sequence : { "%2f", "%2F", "%5c", "%5C" }) {
        if (path.find(sequence) != std::string_view::npos) {
            return true;
        }
    }
    return false;
}

auto isAmbiguous(std::string_view path) -> bool
{
    return hasAmbiguousCharacters(path) || hasEncodedSlash(path) || hasAmbiguousSegments(path);
}

}

auto routingPath(std::string_view target) -> std::optional<std::string>
{
    const auto path = pathOfTarget(target);
    if (path.empty() || path.front() != '/' || isAmbiguous(path)) {
        return std::nullopt;
    }
    const auto decoded = percentDecoded(path);
    auto current = decoded;
    for (auto round = 0; round < maximumDecodings; ++round) {
        if (isAmbiguous(current)) {
            return std::nullopt;
        }
        current = percentDecoded(current);
    }
    return decoded;
}

}
