/** HTTP header fields and request targets as text. */
#pragma once

#include "core/messagebody.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/** One header field; the name keeps the letter case in which it was received. */
struct HeaderField
{
    std::string name_;
    std::string value_;

    auto operator==(const HeaderField &other) const -> bool = default;
};

/** Header fields in the order in which they were received. */
using HeaderFields = std::vector<HeaderField>;

/** The parts of a request that are forwarded to a backend server. */
struct RequestContent
{
    std::string method_;
    /** Path and query as sent by the caller. */
    std::string target_;
    HeaderFields headers_;
    MessageBody body_;

    auto operator==(const RequestContent &other) const -> bool = default;
};

/** Whether two texts are equal apart from ASCII letter case. */
[[nodiscard]] auto equalIgnoringCase(std::string_view left, std::string_view right) -> bool;

/** The text without spaces and tabs at both ends. */
[[nodiscard]] auto trimmed(std::string_view text) -> std::string_view;

/** The text with %XX sequences decoded once; an incomplete sequence stays unchanged. */
[[nodiscard]] auto percentDecoded(std::string_view text) -> std::string;

/** The text with %XX sequences for all bytes other than unreserved characters (RFC 3986, 2.3) and the given ones. */
[[nodiscard]] auto percentEncoded(std::string_view text, std::string_view kept = "") -> std::string;

/** The first value of a header; empty when there is none. */
[[nodiscard]] auto headerValue(const HeaderFields &headers, std::string_view name) -> std::string;

/** Number of header fields with a name. */
[[nodiscard]] auto headerCount(const HeaderFields &headers, std::string_view name) -> int;

/** The target up to its query. */
[[nodiscard]] auto pathOfTarget(std::string_view target) -> std::string_view;

/** The decoded value of the first query parameter with a name, which is compared undecoded; empty when there is none. */
[[nodiscard]] auto queryParameter(std::string_view target, std::string_view name) -> std::string;

/** The headers without hop-by-hop headers, including those named by the Connection header (RFC 9110, 7.6.1). */
[[nodiscard]] auto withoutHopByHopHeaders(const HeaderFields &headers) -> HeaderFields;

}
