/** Header fields and request targets as plain text. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/** One header field; the name keeps the letter case it came with. */
struct HeaderField
{
    std::string name_;
    std::string value_;

    auto operator==(const HeaderField &other) const -> bool = default;
};

/** Header fields in the order they came. */
using HeaderFields = std::vector<HeaderField>;

/** The parts of a request that a backend server would receive. */
struct RequestContent
{
    std::string method_;
    /** Path and query as sent by the caller. */
    std::string target_;
    HeaderFields headers_;
    std::string body_;

    auto operator==(const RequestContent &other) const -> bool = default;
};

/** Whether two texts are equal apart from ASCII letter case. */
[[nodiscard]] auto equalIgnoringCase(std::string_view left, std::string_view right) -> bool;

/** The text without spaces and tabs at both ends. */
[[nodiscard]] auto trimmed(std::string_view text) -> std::string_view;

/** The text with %XX sequences decoded; an incomplete sequence stays as it is. */
[[nodiscard]] auto percentDecoded(std::string_view text) -> std::string;

/** The first value of a header; empty when there is none. */
[[nodiscard]] auto headerValue(const HeaderFields &headers, std::string_view name) -> std::string;

/** Number of header fields with a name. */
[[nodiscard]] auto headerCount(const HeaderFields &headers, std::string_view name) -> int;

/** The target up to its query. */
[[nodiscard]] auto pathOfTarget(std::string_view target) -> std::string_view;

/** The headers without those that concern one connection only, including the ones that Connection names (RFC 9110, 7.6.1). */
[[nodiscard]] auto withoutHopByHopHeaders(const HeaderFields &headers) -> HeaderFields;

}
