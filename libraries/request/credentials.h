/** Extracts the caller's key from a request, so that it isn't forwarded to a backend server. */
#pragma once

#include "request/httpfields.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/** The keys of a request and the request without them. */
struct Credentials
{
    /** Distinct keys in the order they were found. */
    std::vector<std::string> keys_;
    /** The request without the fields that may carry a key. */
    RequestContent content_;

    auto operator==(const Credentials &other) const -> bool = default;
};

/**
 * Extracts the keys from the headers Authorization and X-Api-Key, the query parameter api_key and the cookie api_key. All of these fields are
 * removed, whether or not they contain a key; an Authorization header of another scheme is removed too, since it could contain the key in encoded form.
 */
[[nodiscard]] auto extractCredentials(RequestContent content) -> Credentials;

/** Whether a key occurs anywhere in a request, verbatim or percent-encoded up to three times. */
[[nodiscard]] auto containsKey(const RequestContent &content, std::string_view key) -> bool;

/**
 * Whether a text with the format of a granted key, in any letter case, occurs anywhere in a request, verbatim or percent-encoded up to three times.
 * Matches the format rather than the configured keys, so that a key which hasn't reached this host yet is found too.
 */
[[nodiscard]] auto containsKeyPattern(const RequestContent &content) -> bool;

}
