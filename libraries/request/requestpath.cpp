#include "request/requestpath.h"

#include "request/httpfields.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <cstddef>
#include <utility>

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

/** How a server interprets the parts of a path on which servers differ. */
struct PathInterpretation
{
    bool endsAtControlCharacter_ = false;
    bool readsBackslashAsSlash_ = false;
    bool removesParameters_ = false;
    bool mergesSlashes_ = false;
};

constexpr auto interpretationCount = 16U;

auto interpretationOf(unsigned number) -> PathInterpretation
{
    return { (number & 1U) != 0, (number & 2U) != 0, (number & 4U) != 0, (number & 8U) != 0 };
}

auto isControlCharacter(char character) -> bool
{
    return static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
}

// The segments after the leading slash; the last one is empty for a path that ends with a slash.
auto segmentsOf(const std::string &path, const PathInterpretation &interpretation) -> std::vector<std::string>
{
    auto segments = std::vector<std::string> {};
    for (const auto part : absl::StrSplit(absl::StripPrefix(path, "/"), '/')) {
        const auto segment = interpretation.removesParameters_ ? part.substr(0, part.find(';')) : part;
        segments.emplace_back(segment);
    }
    return segments;
}

auto interpretPath(std::string path, const PathInterpretation &interpretation) -> std::string
{
    if (interpretation.endsAtControlCharacter_) {
        path.erase(std::find_if(path.begin(), path.end(), isControlCharacter), path.end());
    }
    if (interpretation.readsBackslashAsSlash_) {
        std::replace(path.begin(), path.end(), '\\', '/');
    }
    const auto segments = segmentsOf(path, interpretation);
    auto kept = std::vector<std::string> {};
    for (auto index = std::size_t { 0 }; index < segments.size(); ++index) {
        const auto &segment = segments[index];
        const auto isLast = index + 1 == segments.size();
        const auto isDotSegment = segment == "." || segment == "..";
        if (segment == ".." && !kept.empty()) {
            kept.pop_back();
        }
        if (isDotSegment && isLast) {
            kept.emplace_back();
        }
        if (!isDotSegment && (isLast || !segment.empty() || !interpretation.mergesSlashes_)) {
            kept.push_back(segment);
        }
    }
    return "/" + absl::StrJoin(kept, "/");
}

// Whether an interpretation can differ from one with fewer options for this path; skipping the others bounds the work for long paths.
auto isDistinct(std::string_view path, const PathInterpretation &interpretation) -> bool
{
    return (!interpretation.endsAtControlCharacter_ || std::any_of(path.begin(), path.end(), isControlCharacter))
        && (!interpretation.readsBackslashAsSlash_ || path.find('\\') != std::string_view::npos)
        && (!interpretation.removesParameters_ || path.find(';') != std::string_view::npos);
}

// Whether a path has none of the characters and segments on which servers differ.
auto hasOneInterpretation(std::string_view path) -> bool
{
    return path.find_first_of("%;\\") == std::string_view::npos && path.find("//") == std::string_view::npos && path.find("/.") == std::string_view::npos
        && std::none_of(path.begin(), path.end(), isControlCharacter);
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

auto alternativePaths(std::string_view path) -> std::vector<std::string>
{
    auto alternatives = std::vector<std::string> {};
    if (hasOneInterpretation(path)) {
        return alternatives;
    }
    auto decoded = std::string(path);
    for (auto round = 0; round <= maximumDecodings; ++round) {
        alternatives.push_back(decoded);
        for (auto number = 0U; number < interpretationCount; ++number) {
            const auto interpretation = interpretationOf(number);
            if (isDistinct(decoded, interpretation)) {
                alternatives.push_back(interpretPath(decoded, interpretation));
            }
        }
        auto next = percentDecoded(decoded);
        if (next == decoded) {
            break;
        }
        decoded = std::move(next);
    }
    std::sort(alternatives.begin(), alternatives.end());
    alternatives.erase(std::unique(alternatives.begin(), alternatives.end()), alternatives.end());
    std::erase(alternatives, path);
    return alternatives;
}

}
