#include "request/credentials.h"

#include "version/keyfile.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto parameterName = "api_key";

// A backend server or a proxy in front of it may decode a text more than once.
constexpr auto maximumDecodings = 3;

auto addKey(std::vector<std::string> &keys, std::string_view key) -> void
{
    if (!key.empty() && std::find(keys.begin(), keys.end(), key) == keys.end()) {
        keys.emplace_back(key);
    }
}

auto splitAt(std::string_view text, std::string_view separators) -> std::vector<std::string_view>
{
    auto parts = std::vector<std::string_view> {};
    while (true) {
        const auto end = text.find_first_of(separators);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

auto unquoted(std::string_view text) -> std::string_view
{
    const auto quoted = text.size() >= 2 && text.front() == '"' && text.back() == '"';
    return quoted ? text.substr(1, text.size() - 2) : text;
}

auto isKeyParameter(std::string_view nameAndValue) -> bool
{
    const auto name = percentDecoded(trimmed(nameAndValue.substr(0, nameAndValue.find('='))));
    return equalIgnoringCase(name, parameterName);
}

auto parameterValue(std::string_view nameAndValue) -> std::string
{
    const auto equals = nameAndValue.find('=');
    return equals == std::string_view::npos ? std::string {} : percentDecoded(unquoted(trimmed(nameAndValue.substr(equals + 1))));
}

// Adds the values of key parameters to the keys and returns the list without them; other parameters and their separators stay unchanged.
auto extractKeyParameters(std::string_view list, std::string_view separators, std::vector<std::string> &keys) -> std::string
{
    auto remaining = std::string {};
    auto position = std::size_t { 0 };
    for (const auto part : splitAt(list, separators)) {
        const auto separator = position == 0 ? std::string_view {} : list.substr(position - 1, 1);
        position += part.size() + 1;
        if (isKeyParameter(part)) {
            addKey(keys, parameterValue(part));
            continue;
        }
        if (!remaining.empty()) {
            remaining += separator;
        }
        remaining += remaining.empty() ? std::string(trimmed(part)) : std::string(part);
    }
    return remaining;
}

auto extractFromAuthorization(std::string_view value, std::vector<std::string> &keys) -> void
{
    const auto words = splitAt(value, " \t,");
    if (!equalIgnoringCase(words.front(), "bearer")) {
        return;
    }
    for (const auto word : words) {
        if (!equalIgnoringCase(word, "bearer")) {
            addKey(keys, word);
        }
    }
}

auto extractFromApiKeyHeader(std::string_view value, std::vector<std::string> &keys) -> void
{
    for (const auto part : splitAt(value, ",")) {
        addKey(keys, trimmed(part));
    }
}

// Adds the keys of a header, and what remains of the header, to the credentials.
auto extractFromHeader(const HeaderField &header, Credentials &credentials) -> void
{
    if (equalIgnoringCase(header.name_, "authorization")) {
        extractFromAuthorization(trimmed(header.value_), credentials.keys_);
        return;
    }
    if (equalIgnoringCase(header.name_, "x-api-key")) {
        extractFromApiKeyHeader(header.value_, credentials.keys_);
        return;
    }
    if (!equalIgnoringCase(header.name_, "cookie")) {
        credentials.content_.headers_.push_back(header);
        return;
    }
    // Some servers also accept a comma between cookies.
    const auto cookies = extractKeyParameters(header.value_, ";,", credentials.keys_);
    if (!cookies.empty()) {
        credentials.content_.headers_.push_back({ header.name_, cookies });
    }
}

auto extractFromTarget(std::string_view target, std::vector<std::string> &keys) -> std::string
{
    const auto queryMark = target.find('?');
    if (queryMark == std::string_view::npos) {
        return std::string(target);
    }
    const auto path = target.substr(0, queryMark);
    const auto query = extractKeyParameters(target.substr(queryMark + 1), "&;", keys);
    return query.empty() ? std::string(path) : std::string(path) + "?" + query;
}

using TextPredicate = std::function<bool(std::string_view)>;

// Whether the predicate holds for a text, verbatim or after up to maximumDecodings rounds of percent-decoding.
auto matchesDecoded(std::string_view text, const TextPredicate &predicate) -> bool
{
    if (predicate(text)) {
        return true;
    }
    auto decoded = std::string(text);
    for (auto round = 0; round < maximumDecodings && decoded.find('%') != std::string::npos; ++round) {
        decoded = percentDecoded(decoded);
        if (predicate(decoded)) {
            return true;
        }
    }
    return false;
}

auto matchesAnywhere(const RequestContent &content, const TextPredicate &predicate) -> bool
{
    if (matchesDecoded(content.method_, predicate) || matchesDecoded(content.target_, predicate) || matchesDecoded(content.body_.text(), predicate)) {
        return true;
    }
    return std::any_of(content.headers_.begin(), content.headers_.end(), [&](const HeaderField &header) {
        return matchesDecoded(header.name_, predicate) || matchesDecoded(header.value_, predicate);
    });
}

auto isHexDigit(char character) -> bool
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f') || (character >= 'A' && character <= 'F');
}

auto matchesKeyPattern(std::string_view text) -> bool
{
    const auto prefix = std::string_view(keyPrefix);
    constexpr auto digitCount = std::size_t { 2 } * keyRandomBytes;
    // Searches for the last character of the prefix, since it has no letter case and is rare in most texts.
    for (auto prefixLast = text.find(prefix.back()); prefixLast != std::string_view::npos; prefixLast = text.find(prefix.back(), prefixLast + 1)) {
        const auto prefixEnd = prefixLast + 1;
        if (prefixEnd < prefix.size() || text.size() - prefixEnd < digitCount
            || !equalIgnoringCase(text.substr(prefixEnd - prefix.size(), prefix.size()), prefix)) {
            continue;
        }
        const auto digits = text.substr(prefixEnd, digitCount);
        if (std::all_of(digits.begin(), digits.end(), isHexDigit)) {
            return true;
        }
    }
    return false;
}

}

auto extractCredentials(RequestContent content) -> Credentials
{
    auto credentials = Credentials {};
    for (const auto &header : content.headers_) {
        extractFromHeader(header, credentials);
    }
    credentials.content_.target_ = extractFromTarget(content.target_, credentials.keys_);
    credentials.content_.method_ = std::move(content.method_);
    credentials.content_.body_ = std::move(content.body_);
    return credentials;
}

auto containsKey(const RequestContent &content, std::string_view key) -> bool
{
    return matchesAnywhere(content, [&](std::string_view text) {
        return text.find(key) != std::string_view::npos;
    });
}

auto containsKeyPattern(const RequestContent &content) -> bool
{
    return matchesAnywhere(content, matchesKeyPattern);
}

}
