/** Finds the caller's key in a request and removes it. */
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
    /** The request without any field that may carry a key. */
    RequestContent content_;

    auto operator==(const Credentials &other) const -> bool = default;
};

/**
 * Takes the keys out of Authorization, X-Api-Key, the query parameter api_key and the cookie api_key. All of these fields are removed,
 * whether or not they hold a key; an Authorization header of another scheme is removed too, since it could hold the key in encoded form.
 */
[[nodiscard]] auto extractCredentials(RequestContent content) -> Credentials;

/** Whether a key occurs anywhere in a request, as it is or percent-encoded up to three times. */
[[nodiscard]] auto containsKey(const RequestContent &content, std::string_view key) -> bool;

/**
 * Whether a text of the form of a granted key, in any letter case, occurs anywhere in a request, as it is or percent-encoded up to three times.
 * The form decides and not the configuration, so that a key which this host doesn't know yet is found too.
 */
[[nodiscard]] auto containsKeyPattern(const RequestContent &content) -> bool;

}
