#include "request/credentials.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct CredentialsCase
{
    std::string description_;
    std::string target_;
    HeaderFields headers_;
    std::vector<std::string> expectedKeys_;
    std::string expectedTarget_;
    HeaderFields expectedHeaders_;
};

struct ContentCase
{
    std::string description_;
    RequestContent content_;
    bool expected_;
};

}

// Guards against forwarding a key to a backend server, and against missing a key because of its encoding, letter case or position.
TEST_CASE("keys are extracted from all fields that may carry them")
{
    const auto cases = std::vector<CredentialsCase> {
        { "no key", "/a?b=1", { { "Accept", "x" } }, {}, "/a?b=1", { { "Accept", "x" } } },
        { "bearer", "/a", { { "Authorization", "Bearer k1" } }, { "k1" }, "/a", {} },
        { "bearer in other letter case", "/a", { { "aUTHORIZATION", " bEARER   k1 " } }, { "k1" }, "/a", {} },
        { "two bearer tokens in one header", "/a", { { "Authorization", "Bearer k1, Bearer k2" } }, { "k1", "k2" }, "/a", {} },
        { "bearer without a token", "/a", { { "Authorization", "Bearer" } }, {}, "/a", {} },
        { "another scheme", "/a", { { "Authorization", "Basic azE=" } }, {}, "/a", {} },
        { "api key header", "/a", { { "x-api-KEY", "k1" } }, { "k1" }, "/a", {} },
        { "the same key twice", "/a?api_key=k1", { { "X-Api-Key", "k1" }, { "X-Api-Key", "k1" } }, { "k1" }, "/a", {} },
        { "different keys", "/a?api_key=k2", { { "X-Api-Key", "k1" } }, { "k1", "k2" }, "/a", {} },
        { "query between others", "/a?b=1&api_key=k1&c=%20", {}, { "k1" }, "/a?b=1&c=%20", {} },
        { "query first", "/a?api_key=k1&c=2", {}, { "k1" }, "/a?c=2", {} },
        { "query in other letter case", "/a?API_Key=k1", {}, { "k1" }, "/a", {} },
        { "query percent-encoded", "/a?%61pi%5Fkey=%6b1", {}, { "k1" }, "/a", {} },
        { "query repeated", "/a?api_key=k1&api_key=k2", {}, { "k1", "k2" }, "/a", {} },
        { "query after semicolon", "/a?b=1;api_key=k1", {}, { "k1" }, "/a?b=1", {} },
        { "query without value", "/a?api_key", {}, {}, "/a", {} },
        { "a longer parameter name stays", "/a?my_api_key=z", {}, {}, "/a?my_api_key=z", {} },
        { "cookie alone", "/a", { { "Cookie", "api_key=k1" } }, { "k1" }, "/a", {} },
        { "cookie between others", "/a", { { "cookie", "a=1; API_KEY=k1; b=2" } }, { "k1" }, "/a", { { "cookie", "a=1; b=2" } } },
        { "cookie first", "/a", { { "cookie", "api_key=k1; b=2" } }, { "k1" }, "/a", { { "cookie", "b=2" } } },
        { "cookie quoted and encoded", "/a", { { "Cookie", "api%5fkey=\"%6B1\"" } }, { "k1" }, "/a", {} },
    };
    for (const auto &credentialsCase : cases) {
        CAPTURE(credentialsCase.description_);
        const auto credentials = extractCredentials({ "GET", credentialsCase.target_, credentialsCase.headers_, "body" });
        CHECK(credentials.keys_ == credentialsCase.expectedKeys_);
        CHECK(credentials.content_.target_ == credentialsCase.expectedTarget_);
        CHECK(credentials.content_.headers_ == credentialsCase.expectedHeaders_);
        CHECK(credentials.content_.method_ == "GET");
        CHECK(credentials.content_.body_ == "body");
    }
}

// Guards against forwarding a key to a backend server outside the fields that are removed.
TEST_CASE("a key is detected anywhere else in the request")
{
    const auto cases = std::vector<ContentCase> {
        { "absent", { "GET", "/a?b=1", { { "Accept", "x" } }, "body" }, false },
        { "path", { "GET", "/a/secret/b", {}, "" }, true },
        { "path encoded", { "GET", "/a/s%65cret", {}, "" }, true },
        { "path encoded twice", { "GET", "/a/s%2565cret", {}, "" }, true },
        { "query of another name", { "GET", "/a?other=secret", {}, "" }, true },
        { "header value", { "GET", "/a", { { "Referer", "/x?api_key=secret" } }, "" }, true },
        { "header name", { "GET", "/a", { { "X-secret", "1" } }, "" }, true },
        { "header value encoded", { "GET", "/a", { { "X-A", "%73ecret" } }, "" }, true },
        { "body", { "POST", "/a", {}, "{\"key\":\"secret\"}" }, true },
        { "body encoded", { "POST", "/a", {}, "key=secre%74" }, true },
        { "method", { "secret", "/a", {}, "" }, true },
        { "incomplete percent sequence", { "POST", "/a", {}, "key=%7" }, false },
    };
    for (const auto &contentCase : cases) {
        CAPTURE(contentCase.description_);
        CHECK(containsKey(contentCase.content_, "secret") == contentCase.expected_);
    }
}

// Guards against forwarding a key that isn't in one of the fields for keys, or that comes in addition to the key of another caller.
TEST_CASE("a text with the format of a key is detected anywhere in the request")
{
    const auto digits = std::string(64, 'a');
    const auto key = "lk_" + digits;
    const auto cases = std::vector<ContentCase> {
        { "absent", { "GET", "/a_b?c_d=1", { { "X-A_B", "_" } }, "_lk_" }, false },
        { "path", { "GET", "/a/" + key + "/b", {}, "" }, true },
        { "other letter case", { "GET", "/a", { { "X-A", "LK_" + std::string(64, 'F') } }, "" }, true },
        { "within a longer word", { "POST", "/a", {}, "xlk_" + digits + "00" }, true },
        { "encoded", { "GET", "/a?b=l%6b%5f" + digits, {}, "" }, true },
        { "encoded twice", { "GET", "/a?b=lk%255F" + digits, {}, "" }, true },
        { "header name", { "GET", "/a", { { key, "1" } }, "" }, true },
        { "body", { "POST", "/a", {}, "{\"key\":\"" + key + "\"}" }, true },
        { "method", { key, "/a", {}, "" }, true },
        { "after a repeated prefix", { "POST", "/a", {}, "lk_lk_" + digits }, true },
        { "one digit short", { "GET", "/a/" + key.substr(0, 66), {}, "" }, false },
        { "not a digit", { "GET", "/a/lk_" + std::string(63, 'a') + "g", {}, "" }, false },
        { "another prefix", { "GET", "/a/ik_" + digits, {}, "" }, false },
    };
    for (const auto &contentCase : cases) {
        CAPTURE(contentCase.description_);
        CHECK(containsKeyPattern(contentCase.content_) == contentCase.expected_);
    }
}

// Guards against forwarding connection-specific headers, which could change the message framing on the next connection.
TEST_CASE("hop-by-hop headers are removed")
{
    const auto headers =
        HeaderFields { { "Connection", "close, X-One" }, { "x-one", "1" }, { "Transfer-Encoding", "chunked" }, { "TE", "trailers" }, { "X-Two", "2" } };
    CHECK(withoutHopByHopHeaders(headers) == HeaderFields { { "X-Two", "2" } });
}
