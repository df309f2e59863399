#include "connection/httpmessage.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct HeadCase
{
    std::string description_;
    std::string text_;
    std::optional<MessageHead> expected_;
};

struct FramingCase
{
    std::string description_;
    HeaderFields headers_;
    std::optional<BodyFraming> expected_;
};

struct LineCase
{
    std::string line_;
    bool expected_;
};

}

// Guards against header values being altered or split into further lines, and against two readers seeing different headers.
TEST_CASE("a head is parsed strictly")
{
    const auto cases = std::vector<HeadCase> {
        { "plain", "L\r\nA: 1\r\nb:  2 ", MessageHead { "L", { { "A", "1" }, { "b", "2" } } } },
        { "percent sequences stay", "L\r\nA: a%0d%0aX: 1%20", MessageHead { "L", { { "A", "a%0d%0aX: 1%20" } } } },
        { "empty value", "L\r\nA:", MessageHead { "L", { { "A", "" } } } },
        { "bytes beyond ASCII", "L\r\nA: \xc3\xa9", MessageHead { "L", { { "A", "\xc3\xa9" } } } },
        { "no colon", "L\r\nA", std::nullopt },
        { "space before the colon", "L\r\nA : 1", std::nullopt },
        { "folded line", "L\r\nA: 1\r\n 2", std::nullopt },
        { "bare line feed", "L\r\nA: 1\nB: 2", std::nullopt },
        { "bare carriage return", "L\r\nA: 1\rB: 2", std::nullopt },
        { "no name", "L\r\n: 1", std::nullopt },
    };
    for (const auto &headCase : cases) {
        CAPTURE(headCase.description_);
        CHECK(parseHead(headCase.text_) == headCase.expected_);
    }
}

// Guards against a message whose end two readers find in different places (request smuggling).
TEST_CASE("body framing is unambiguous")
{
    const auto cases = std::vector<FramingCase> {
        { "none", {}, BodyFraming {} },
        { "length", { { "content-LENGTH", "12" } }, BodyFraming { false, 12 } },
        { "chunked", { { "Transfer-Encoding", "Chunked" } }, BodyFraming { true, std::nullopt } },
        { "the same length twice", { { "Content-Length", "1" }, { "Content-Length", "1" } }, BodyFraming { false, 1 } },
        { "different lengths", { { "Content-Length", "1" }, { "Content-Length", "2" } }, std::nullopt },
        { "length list", { { "Content-Length", "1, 1" } }, std::nullopt },
        { "signed length", { { "Content-Length", "+1" } }, std::nullopt },
        { "negative length", { { "Content-Length", "-1" } }, std::nullopt },
        { "length beyond the largest number", { { "Content-Length", "99999999999999999999999" } }, std::nullopt },
        { "both", { { "Content-Length", "1" }, { "Transfer-Encoding", "chunked" } }, std::nullopt },
        { "another coding", { { "Transfer-Encoding", "gzip, chunked" } }, std::nullopt },
        { "chunked twice", { { "Transfer-Encoding", "chunked" }, { "Transfer-Encoding", "chunked" } }, std::nullopt },
    };
    for (const auto &framingCase : cases) {
        CAPTURE(framingCase.description_);
        CHECK(bodyFraming(framingCase.headers_) == framingCase.expected_);
    }
}

// Guards against first lines that another reader would take for something else.
TEST_CASE("first lines are parsed strictly")
{
    const auto requests = std::vector<LineCase> {
        { "GET / HTTP/1.1", true },     { "PURGE /a?b HTTP/1.0", true }, { "GET  / HTTP/1.1", false },  { "GET / HTTP/2.0", false },     { "GET /", false },
        { "GET /a b HTTP/1.1", false }, { "G(T / HTTP/1.1", false },     { "GET /#a HTTP/1.1", false }, { "GET /\x01 HTTP/1.1", false }, { "", false },
    };
    for (const auto &lineCase : requests) {
        CAPTURE(lineCase.line_);
        CHECK(parseRequestLine(lineCase.line_).has_value() == lineCase.expected_);
    }
    const auto responses = std::vector<LineCase> {
        { "HTTP/1.1 200 OK", true }, { "HTTP/1.0 404", true },    { "HTTP/1.1 20 OK", false },
        { "HTTP/1.1 2000", false },  { "HTTP/1.1 999 X", false }, { "", false },
    };
    for (const auto &lineCase : responses) {
        CAPTURE(lineCase.line_);
        CHECK(parseStatusLine(lineCase.line_).has_value() == lineCase.expected_);
    }
}
