#include "request/httpfields.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace lycheecleat
{

namespace
{

constexpr auto hopByHopNames = std::array<std::string_view, 9> {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
};

auto asciiLower(char character) -> char
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

auto isUnreserved(char character) -> bool
{
    const auto lower = asciiLower(character);
    const auto isLetterOrDigit = (lower >= 'a' && lower <= 'z') || (character >= '0' && character <= '9');
    return isLetterOrDigit || character == '-' || character == '.' || character == '_' || character == '~';
}

auto hexValue(char character) -> int
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    const auto lower = asciiLower(character);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

auto connectionOptions(const HeaderFields &headers) -> std::vector<std::string_view>
{
    auto options = std::vector<std::string_view> {};
    for (const auto &header : headers) {
        if (!equalIgnoringCase(header.name_, "connection")) {
            continue;
        }
        auto rest = std::string_view(header.value_);
        while (!rest.empty()) {
            const auto end = std::min(rest.find(','), rest.size());
            options.push_back(trimmed(rest.substr(0, end)));
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    return options;
}

auto containsName(const auto &names, std::string_view name) -> bool
{
    return std::any_of(names.begin(), names.end(), [&](std::string_view candidate) {
        return equalIgnoringCase(candidate, name);
    });
}

}

auto equalIgnoringCase(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char first, char second) {
        return asciiLower(first) == asciiLower(second);
    });
}

auto trimmed(std::string_view text) -> std::string_view
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

auto percentDecoded(std::string_view text) -> std::string
{
    auto decoded = std::string {};
    decoded.reserve(text.size());
    for (auto index = std::size_t { 0 }; index < text.size(); ++index) {
        const auto isEscapeSequence = text[index] == '%' && index + 2 < text.size() && hexValue(text[index + 1]) >= 0 && hexValue(text[index + 2]) >= 0;
        if (!isEscapeSequence) {
            decoded += text[index];
            continue;
        }
        decoded += static_cast<char>(hexValue(text[index + 1]) * 16 + hexValue(text[index + 2]));
        index += 2;
    }
    return decoded;
}

auto percentEncoded(std::string_view text, std::string_view kept) -> std::string
{
    constexpr auto digits = std::string_view("0123456789ABCDEF");
    auto encoded = std::string {};
    for (const auto character : text) {
        if (isUnreserved(character) || kept.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte / 16];
        encoded += digits[byte % 16];
    }
    return encoded;
}

auto headerValue(const HeaderFields &headers, std::string_view name) -> std::string
{
    for (const auto &header : headers) {
        if (equalIgnoringCase(header.name_, name)) {
            return header.value_;
        }
    }
    return {};
}

auto headerCount(const HeaderFields &headers, std::string_view name) -> int
{
    return static_cast<int>(std::count_if(headers.begin(), headers.end(), [&](const HeaderField &header) {
        return equalIgnoringCase(header.name_, name);
    }));
}

auto pathOfTarget(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

auto queryParameter(std::string_view target, std::string_view name) -> std::string
{
    auto rest = target.substr(pathOfTarget(target).size());
    while (!rest.empty()) {
        // Skips the question mark or ampersand before the parameter.
        rest.remove_prefix(1);
        const auto parameter = rest.substr(0, rest.find('&'));
        rest.remove_prefix(parameter.size());
        const auto equals = std::min(parameter.find('='), parameter.size());
        if (parameter.substr(0, equals) == name) {
            return percentDecoded(parameter.substr(std::min(equals + 1, parameter.size())));
        }
    }
    return {};
}

auto withoutHopByHopHeaders(const HeaderFields &headers) -> HeaderFields
{
    const auto options = connectionOptions(headers);
    auto endToEnd = HeaderFields {};
    for (const auto &header : headers) {
        if (!containsName(hopByHopNames, header.name_) && !containsName(options, header.name_)) {
            endToEnd.push_back(header);
        }
    }
    return endToEnd;
}

}
