#include "connection/httpmessage.h"

#include "core/clock.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>

#include <array>
#include <string>
#include <utility>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto headLimit = std::size_t { 32 } * 1024;
constexpr auto bodyLimit = std::size_t { 10 };

struct RequestCase
{
    std::string description_;
    std::string bytes_;
    MessageStatus status_;
    RequestContent expected_ = {};
};

struct ResponseCase
{
    std::string description_;
    std::string method_;
    std::string bytes_;
    MessageStatus status_;
    HttpResponse expected_ = {};
};

struct CloseCase
{
    std::string head_;
    bool closes_;
};

/** Both ends of a connection. */
struct ConnectedPair
{
    TcpConnection sender_;
    TcpConnection receiver_;
};

auto testDeadline() -> absl::Time
{
    return monotonicNow() + absl::Seconds(5);
}

auto makeConnectedPair() -> ConnectedPair
{
    auto sockets = std::array<int, 2> {};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets.data()) == 0);
    return { TcpConnection(sockets[0]), TcpConnection(sockets[1]) };
}

// Returns a pair whose receiver reads exactly these bytes and then the end of the stream.
auto pairWithInput(std::string_view bytes) -> ConnectedPair
{
    auto pair = makeConnectedPair();
    REQUIRE(pair.sender_.write(bytes, testDeadline()) == TransferStatus::Done);
    pair.sender_.finishWriting();
    return pair;
}

auto readRequest(std::string_view bytes, RequestContent &content) -> MessageStatus
{
    auto pair = pairWithInput(bytes);
    auto reader = RequestReader(pair.receiver_);
    auto status = reader.readHead(headLimit, testDeadline());
    if (status == MessageStatus::Complete) {
        status = reader.readBody(bodyLimit, testDeadline());
    }
    content = reader.request();
    return status;
}

auto readResponse(const std::string &method, std::string_view bytes, HttpResponse &httpResponse) -> MessageStatus
{
    auto pair = pairWithInput(bytes);
    auto response = IncomingResponse {};
    const auto status = lycheecleat::readResponse(pair.receiver_, method, { headLimit, bodyLimit }, testDeadline(), response);
    httpResponse = response.httpResponse_;
    return status;
}

auto headCase(const std::string &description, const std::string &lines, MessageStatus status, HeaderFields headers = {}) -> RequestCase
{
    return { description, "GET / HTTP/1.1\r\n" + lines + "\r\n\r\n", status, { "GET", "/", std::move(headers), "" } };
}

auto lineCase(const std::string &line, MessageStatus status) -> RequestCase
{
    return { line, line + "\r\n\r\n", status, {} };
}

auto framingCase(const std::string &description, const std::string &lines, MessageStatus status) -> RequestCase
{
    return { description, "POST / HTTP/1.1\r\n" + lines + "\r\n\r\n1\r\na\r\n0\r\n\r\n", status, {} };
}

}

// Guards against altered header values and bodies, header injection, and heads that another parser would interpret differently.
TEST_CASE("a request head is parsed strictly and kept unchanged")
{
    constexpr auto complete = MessageStatus::Complete;
    constexpr auto malformed = MessageStatus::Malformed;
    const auto cases = std::vector<RequestCase> {
        headCase("plain", "A: 1\r\nb:  2 ", complete, { { "A", "1" }, { "b", "2" } }),
        headCase("percent sequences are not decoded", "A: a%0d%0aX-B: 1%20", complete, { { "A", "a%0d%0aX-B: 1%20" } }),
        headCase("empty value", "A:", complete, { { "A", "" } }),
        headCase("bytes beyond ASCII", "A: \xc3\xa9", complete, { { "A", "\xc3\xa9" } }),
        headCase("repeated name", "A: 1\r\na: 2", complete, { { "A", "1" }, { "a", "2" } }),
        headCase("no colon", "A", malformed),
        headCase("space before the colon", "A : 1", malformed),
        headCase("folded line", "A: 1\r\n 2", malformed),
        headCase("folded line with a tab", "A: 1\r\n\tB: 2", malformed),
        headCase("folded empty line", "A:\r\n \r\nB: 2", malformed),
        headCase("folded first line", " A: 1", malformed),
        headCase("bare line feed", "A: 1\nB: 2", malformed),
        headCase("bare carriage return", "A: 1\rB: 2", malformed),
        headCase("null byte", std::string("A: 1\0B", 6), malformed),
        headCase("no name", ": 1", malformed),
        headCase("head beyond the limit", "A: " + std::string(headLimit, 'a'), MessageStatus::HeadTooLarge),
        { "bare line feeds only", "GET / HTTP/1.1\nA: 1\n\n", MessageStatus::Truncated },
        { "bare line feed after the first line", "GET / HTTP/1.1\nA: 1\r\n\r\n", malformed },
        { "empty lines before the head", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", complete, { "GET", "/", {}, "" } },
        { "body with a content length",
          "POST /a?b=%20 HTTP/1.1\r\nContent-Length: 4\r\n\r\na%0d",
          complete,
          { "POST", "/a?b=%20", { { "Content-Length", "4" } }, "a%0d" } },
        { "trailer fields are left out",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n\r\n\r\n1\r\nb\r\n0\r\nX-Api-Key: k\r\n\r\n",
          complete,
          { "POST", "/", { { "Transfer-Encoding", "chunked" } }, "\r\nb" } },
        { "no bytes", "", MessageStatus::Closed },
    };
    for (const auto &requestCase : cases) {
        CAPTURE(requestCase.description_);
        auto content = RequestContent {};
        const auto status = readRequest(requestCase.bytes_, content);
        CHECK(status == requestCase.status_);
        if (status == complete) {
            CHECK(content == requestCase.expected_);
        }
    }
}

// Guards against request smuggling: a message whose end another parser finds elsewhere.
TEST_CASE("ambiguous body framing is rejected")
{
    constexpr auto malformed = MessageStatus::Malformed;
    const auto cases = std::vector<RequestCase> {
        framingCase("length", "content-LENGTH: 1", MessageStatus::Complete),
        framingCase("chunked", "Transfer-Encoding: Chunked", MessageStatus::Complete),
        framingCase("length and chunked", "Content-Length: 1\r\nTransfer-Encoding: chunked", malformed),
        framingCase("chunked and length", "Transfer-Encoding: chunked\r\nContent-Length: 1", malformed),
        framingCase("the same length twice", "Content-Length: 1\r\nContent-Length: 1", malformed),
        framingCase("different lengths", "Content-Length: 1\r\nContent-Length: 2", malformed),
        framingCase("list of equal lengths", "Content-Length: 1, 1", malformed),
        framingCase("list of one length and an empty element", "Content-Length: 1,", malformed),
        framingCase("signed length", "Content-Length: +1", malformed),
        framingCase("negative length", "Content-Length: -1", malformed),
        framingCase("hexadecimal length", "Content-Length: 0x1", malformed),
        framingCase("empty length", "Content-Length:", malformed),
        framingCase("length beyond the largest number", "Content-Length: 99999999999999999999999", malformed),
        framingCase("coding before chunked", "Transfer-Encoding: gzip, chunked", malformed),
        framingCase("coding after chunked", "Transfer-Encoding: chunked, gzip", malformed),
        framingCase("another coding", "Transfer-Encoding: gzip", malformed),
        framingCase("unknown coding and length", "Transfer-Encoding: xchunked\r\nContent-Length: 1", malformed),
        framingCase("empty coding", "Transfer-Encoding:", malformed),
        framingCase("chunked twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", malformed),
        framingCase("coding in two fields", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", malformed),
        framingCase("length beyond the limit", "Content-Length: 11", MessageStatus::BodyTooLarge),
    };
    for (const auto &requestCase : cases) {
        CAPTURE(requestCase.description_);
        auto content = RequestContent {};
        CHECK(readRequest(requestCase.bytes_, content) == requestCase.status_);
    }
}

// Guards against chunks that another parser would delimit differently, and against endless chunk extensions or trailer fields that exhaust memory.
TEST_CASE("chunks are parsed strictly")
{
    const auto head = std::string("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto filler = std::string(std::size_t { 40 } * 1024, 'x');
    const auto cases = std::vector<std::pair<std::string, MessageStatus>> {
        { "1\r\na\r\n0\r\n\r\n", MessageStatus::Complete },
        { "A\r\n0123456789\r\n0\r\n\r\n", MessageStatus::Complete },
        { "B\r\n0123456789a\r\n0\r\n\r\n", MessageStatus::BodyTooLarge },
        { "6\r\n012345\r\n6\r\n012345\r\n0\r\n\r\n", MessageStatus::BodyTooLarge },
        { "FFFFFFFFFFFFFFFF\r\na\r\n0\r\n\r\n", MessageStatus::BodyTooLarge },
        { "FFFFFFFFFFFFFFFFF\r\na\r\n0\r\n\r\n", MessageStatus::Malformed },
        { "1\na\n0\n\n", MessageStatus::Truncated },
        { "1\r\nab\r\n0\r\n\r\n", MessageStatus::Malformed },
        { "-1\r\na\r\n0\r\n\r\n", MessageStatus::Malformed },
        { "x\r\na\r\n0\r\n\r\n", MessageStatus::Malformed },
        { "0x1\r\na\r\n0\r\n\r\n", MessageStatus::Malformed },
        { "\r\n0\r\n\r\n", MessageStatus::Malformed },
        { "1;" + filler, MessageStatus::Malformed },
        { "0\r\nA: " + filler, MessageStatus::Malformed },
        { "0\r\nContent-Length: 5\r\n\r\n", MessageStatus::Malformed },
    };
    for (const auto &[body, expected] : cases) {
        const auto begin = body.substr(0, 32);
        CAPTURE(begin);
        auto content = RequestContent {};
        CHECK(readRequest(head + body, content) == expected);
    }
}

// Guards against request lines that another parser would interpret differently.
TEST_CASE("request lines are parsed strictly")
{
    constexpr auto complete = MessageStatus::Complete;
    constexpr auto malformed = MessageStatus::Malformed;
    const auto cases = std::vector<RequestCase> {
        lineCase("GET / HTTP/1.1", complete),      lineCase("PURGE /a?b HTTP/1.0", complete), lineCase("GET  / HTTP/1.1", malformed),
        lineCase("GET / HTTP/2.0", malformed),     lineCase("GET / HTTP/0.9", malformed),     lineCase("GET /", malformed),
        lineCase("GET /a b HTTP/1.1", malformed),  lineCase("G(T / HTTP/1.1", malformed),     lineCase("GET /#a HTTP/1.1", malformed),
        lineCase("GET /\x01 HTTP/1.1", malformed), lineCase("GET /\x7f HTTP/1.1", malformed), lineCase(" GET / HTTP/1.1", malformed),
        lineCase("GET / HTTP/1.1 ", malformed),    lineCase("GET\t/ HTTP/1.1", malformed),    lineCase("hello", malformed),
    };
    for (const auto &requestCase : cases) {
        CAPTURE(requestCase.description_);
        auto content = RequestContent {};
        CHECK(readRequest(requestCase.bytes_, content) == requestCase.status_);
    }
}

// Guards against accepting a truncated or undelimited response as complete, or an informational response as the final one.
TEST_CASE("only a delimited response is complete")
{
    constexpr auto complete = MessageStatus::Complete;
    constexpr auto malformed = MessageStatus::Malformed;
    const auto ok = std::string("HTTP/1.1 200 OK\r\n");
    const auto length2 = HeaderFields { { "Content-Length", "2" } };
    const auto cases = std::vector<ResponseCase> {
        { "length", "GET", ok + "Content-Length: 2\r\n\r\nok", complete, { 200, length2, "ok" } },
        { "bytes after the response", "GET", ok + "Content-Length: 2\r\n\r\nokHTTP", complete, { 200, length2, "ok" } },
        { "chunked", "GET", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", complete, { 200, { { "Transfer-Encoding", "chunked" } }, "ok" } },
        { "HEAD", "HEAD", ok + "Content-Length: 99\r\n\r\n", complete, { 200, { { "Content-Length", "99" } }, "" } },
        { "HEAD without framing", "HEAD", ok + "\r\n", complete, { 200, {}, "" } },
        { "no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", complete, { 204, {}, "" } },
        { "informational responses first",
          "GET",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 E\r\nA: 1\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
          complete,
          { 200, length2, "ok" } },
        { "informational response only", "GET", "HTTP/1.1 103 Early Hints\r\n\r\n", MessageStatus::Closed },
        { "switching protocols", "GET", "HTTP/1.1 101 Switching Protocols\r\n\r\n", malformed },
        { "undelimited", "GET", ok + "\r\nok", MessageStatus::Undelimited },
        { "undelimited and empty", "GET", ok + "\r\n", MessageStatus::Undelimited },
        { "another coding", "GET", ok + "Transfer-Encoding: gzip\r\n\r\nok", malformed },
        { "length and chunked", "GET", ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok", malformed },
        { "different lengths", "GET", ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", malformed },
        { "the same length twice", "GET", ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "folded line", "GET", ok + "A: 1\r\n Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "bare line feed", "GET", ok + "A: 1\nContent-Length: 2\r\n\r\nok", malformed },
        { "length beyond the limit", "GET", ok + "Content-Length: 11\r\n\r\n", MessageStatus::BodyTooLarge },
        { "no reason phrase", "GET", "HTTP/1.0 404 \r\nContent-Length: 2\r\n\r\nok", complete, { 404, length2, "ok" } },
        { "status of two digits", "GET", "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "status of four digits", "GET", "HTTP/1.1 2000\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "status above 599", "GET", "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "status zero", "GET", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "status zero without a reason phrase", "GET", "HTTP/1.1 000\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "status zero with an empty reason phrase", "GET", "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok", malformed },
        { "status zero to HEAD", "HEAD", "HTTP/1.1 000 X\r\n\r\n", malformed },
        { "status zero in chunks", "GET", "HTTP/1.1 000 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", malformed },
        { "status zero after an informational response", "GET", "HTTP/1.1 103 E\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "status below 100", "GET", "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "status 600", "GET", "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "status with a leading zero", "GET", "HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "negative status", "GET", "HTTP/1.1 -20 OK\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "no status", "GET", "HTTP/1.1  OK\r\nContent-Length: 2\r\n\r\nok", malformed },
        { "not HTTP", "GET", "hello\r\n\r\n", malformed },
    };
    for (const auto &responseCase : cases) {
        CAPTURE(responseCase.description_);
        auto httpResponse = HttpResponse {};
        const auto status = readResponse(responseCase.method_, responseCase.bytes_, httpResponse);
        CHECK(status == responseCase.status_);
        if (status == complete) {
            CHECK(httpResponse == responseCase.expected_);
        }
    }
}

// Guards against accepting a message as complete that was truncated at any byte.
TEST_CASE("no proper prefix of a message is complete")
{
    const auto bodies = std::vector<std::string> {
        "Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n2;x\r\nbo\r\n2\r\ndy\r\n0\r\nT: 1\r\n\r\n",
    };
    for (const auto &body : bodies) {
        const auto request = "POST / HTTP/1.1\r\n" + body;
        const auto response = "HTTP/1.1 200 OK\r\n" + body;
        auto content = RequestContent {};
        auto httpResponse = HttpResponse {};
        CHECK(readRequest(request, content) == MessageStatus::Complete);
        CHECK(content.body_ == "body");
        CHECK(readResponse("GET", response, httpResponse) == MessageStatus::Complete);
        CHECK(httpResponse.body_ == "body");
        for (auto size = std::size_t { 1 }; size < request.size(); ++size) {
            CAPTURE(size);
            CHECK(readRequest(request.substr(0, size), content) == MessageStatus::Truncated);
        }
        for (auto size = std::size_t { 1 }; size < response.size(); ++size) {
            CAPTURE(size);
            CHECK(readResponse("GET", response.substr(0, size), httpResponse) == MessageStatus::Truncated);
        }
    }
}

// Guards against a parser that depends on how the bytes are split into packets.
TEST_CASE("a message that arrives byte by byte is read like one that arrives at once")
{
    const auto bytes = std::string("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nbo\r\n2\r\ndy\r\n0\r\nT: 1\r\n\r\n");
    auto pair = makeConnectedPair();
    auto reader = RequestReader(pair.receiver_);
    auto hasHead = false;
    for (const auto byte : bytes) {
        REQUIRE(pair.sender_.write({ &byte, 1 }, testDeadline()) == TransferStatus::Done);
        hasHead = hasHead || reader.readHead(headLimit, monotonicNow() + absl::Microseconds(200)) == MessageStatus::Complete;
        static_cast<void>(pair.receiver_.fillAvailable());
    }
    REQUIRE(hasHead);
    CHECK(reader.readBody(bodyLimit, testDeadline()) == MessageStatus::Complete);
    CHECK(reader.request().body_ == "body");
}

// Guards against a read that waits beyond the deadline for the rest of a message, for example from a slow sender.
TEST_CASE("reading an incomplete message ends at the deadline")
{
    auto pair = makeConnectedPair();
    REQUIRE(pair.sender_.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", testDeadline()) == TransferStatus::Done);
    auto response = IncomingResponse {};
    const auto startedAt = monotonicNow();
    const auto status = lycheecleat::readResponse(pair.receiver_, "GET", { headLimit, bodyLimit }, startedAt + absl::Milliseconds(50), response);
    CHECK(status == MessageStatus::TimedOut);
    CHECK(monotonicNow() - startedAt < absl::Seconds(2));
}

// Guards against reusing a connection that the sender closes.
TEST_CASE("version and Connection header determine whether the connection closes")
{
    const auto cases = std::vector<CloseCase> {
        { "GET / HTTP/1.1\r\n\r\n", false },
        { "GET / HTTP/1.1\r\nConnection: Close\r\n\r\n", true },
        { "GET / HTTP/1.1\r\nConnection: x, close\r\n\r\n", true },
        { "GET / HTTP/1.0\r\n\r\n", true },
        { "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", false },
    };
    for (const auto &closeCase : cases) {
        CAPTURE(closeCase.head_);
        auto pair = pairWithInput(closeCase.head_);
        auto reader = RequestReader(pair.receiver_);
        REQUIRE(reader.readHead(headLimit, testDeadline()) == MessageStatus::Complete);
        CHECK(reader.closesConnection() == closeCase.closes_);
    }
}

// Guards against serialization that alters a message.
TEST_CASE("messages are serialized unchanged")
{
    CHECK(serializeHead(RequestContent { "PURGE", "/a?b=%20", { { "b", "1%0d" }, { "A", "" }, { "Content-Length", "2" } }, "" }) + "ok"
          == "PURGE /a?b=%20 HTTP/1.1\r\nb: 1%0d\r\nA: \r\nContent-Length: 2\r\n\r\nok");
    CHECK(serializeHead(HttpResponse { 200, { { "Content-Length", "2" } }, "" }) + "ok" == "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(serializeHead(HttpResponse { 404, { { "Content-Length", "9" } }, "" }) == "HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\n");
    for (const auto size : { std::size_t { 2 }, std::size_t { 100 } * 1024 }) {
        auto pair = makeConnectedPair();
        const auto body = std::string(size, 'x');
        REQUIRE(writeMessage(pair.sender_, "HEAD\r\n", body, testDeadline()) == TransferStatus::Done);
        pair.sender_.finishWriting();
        while (pair.receiver_.fill(testDeadline()) == TransferStatus::Done) { }
        CHECK(pair.receiver_.buffered() == "HEAD\r\n" + body);
    }
    auto httpResponse = HttpResponse {};
    CHECK(readResponse("GET", serializeHead(HttpResponse { 599, { { "Content-Length", "2" } }, "" }) + "ok", httpResponse) == MessageStatus::Complete);
}
