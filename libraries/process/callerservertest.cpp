#include "process/callerserver.h"

#include "connection/httpmessage.h"
#include "connection/tcpconnection.h"
#include "core/clock.h"

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace lycheecleat;

namespace
{

struct RequestCase
{
    std::string description_;
    std::string bytes_;
    int status_;
    std::string reason_;
};

struct SizeCase
{
    std::string description_;
    std::size_t headBytes_;
    std::size_t bodyBytes_;
    CallerLimits limits_;
    int expectedStatus_;
    std::string expectedReason_;
};

struct Reply
{
    IncomingResponse response_;
    MessageStatus status_ = MessageStatus::Closed;
};

auto readReply(TcpConnection &connection, const std::string &method = "GET") -> Reply
{
    auto reply = Reply {};
    reply.status_ = readResponse(connection, method, { 65536, 1 << 20 }, monotonicNow() + absl::Seconds(5), reply.response_);
    return reply;
}

// Expects exactly the given bytes as the next input.
auto expectBytes(TcpConnection &connection, const std::string &bytes) -> void
{
    const auto deadline = monotonicNow() + absl::Seconds(5);
    auto status = TransferStatus::Done;
    while (status == TransferStatus::Done && connection.buffered().size() < bytes.size()) {
        status = connection.fill(deadline);
    }
    CHECK(connection.buffered() == bytes);
    connection.consume(bytes.size());
}

auto handlersOf(std::function<void(const httplib::Request &, httplib::Response &)> handle) -> CallerHandlers
{
    return {
        [handle = std::move(handle)](const httplib::Request &request, httplib::Response &response, absl::Time /*receivedAt*/) {
            handle(request, response);
        },
        [](const httplib::Request &, httplib::Response &response) {
            response.status = 200;
            response.body = "lookup";
        },
        [](const httplib::Request &) {
            return std::size_t { 100 };
        },
    };
}

auto echo(const httplib::Request &request, httplib::Response &response) -> void
{
    response.status = 200;
    response.headers.emplace("X-Seen", request.get_header_value("X-A"));
    response.body = request.method + " " + request.target + " " + request.body;
}

auto settingsOf(int maximumRequests = 4) -> CallerServerSettings
{
    auto settings = CallerServerSettings {};
    settings.address_ = "127.0.0.1:0";
    settings.maximumRequests_ = maximumRequests;
    settings.stopGrace_ = absl::Milliseconds(50);
    return settings;
}

auto connectTo(const CallerServer &server) -> TcpConnection
{
    auto connected = attempt([&] {
        return TcpConnection::connect("127.0.0.1:" + std::to_string(server.port()), monotonicNow() + absl::Seconds(5));
    });
    REQUIRE(std::holds_alternative<TcpConnection>(connected));
    return std::get<TcpConnection>(std::move(connected));
}

auto send(TcpConnection &connection, const std::string &bytes) -> void
{
    REQUIRE(connection.write(bytes, monotonicNow() + absl::Seconds(5)) == TransferStatus::Done);
}

}

// Guards against a caller that occupies a thread for as long as it sends.
TEST_CASE("a caller that sends endless input is disconnected while others are served")
{
    constexpr auto sendLimit = std::size_t { 64 } * 1024 * 1024;
    const auto cases = std::vector<std::string> { "\r\n", "x", "A: b\r\n" };
    for (const auto &repeated : cases) {
        CAPTURE(repeated);
        auto server = CallerServer(settingsOf(), handlersOf(echo));
        REQUIRE(server.start());
        auto endless = connectTo(server);
        auto block = std::string {};
        while (block.size() < std::size_t { 64 } * 1024) {
            block += repeated;
        }
        const auto deadline = monotonicNow() + absl::Seconds(20);
        auto status = TransferStatus::Done;
        while (status == TransferStatus::Done && endless.bytesWritten() < sendLimit) {
            status = endless.write(block, deadline);
        }
        CHECK(status == TransferStatus::Failed);
        auto other = connectTo(server);
        send(other, "GET /a HTTP/1.1\r\n\r\n");
        CHECK(readReply(other).response_.httpResponse_.status_ == 200);
        server.stop();
    }
}

// Guards against altered headers and bodies, and against requests without a defined response.
TEST_CASE("each request gets one complete response")
{
    const auto cases = std::vector<RequestCase> {
        { "plain", "GET /a?b HTTP/1.1\r\nHost: h\r\nX-A: a%20b%0d%0a\r\n\r\n", 200, "" },
        { "multipart body", "POST /a HTTP/1.1\r\nContent-Type: multipart/form-data; boundary=x\r\nContent-Length: 7\r\n\r\n--x\r\nno", 200, "" },
        { "compressed body", "POST /a HTTP/1.1\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc", 200, "" },
        { "chunked body", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, "" },
        { "body of a GET", "GET /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 200, "" },
        { "malformed range", "GET /a HTTP/1.1\r\nRange: x\r\nAccept-Encoding: gzip\r\n\r\n", 200, "" },
        { "unknown method", "PURGE /a HTTP/1.1\r\n\r\n", 200, "" },
        { "lookup", "GET /.well-known/lycheecleat/lookup HTTP/1.1\r\n\r\n", 200, "" },
        { "not HTTP", "hello\r\n\r\n", 400, "malformed_request" },
        { "two Content-Length headers", "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, "malformed_request" },
        { "Content-Length and chunked coding",
          "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          400,
          "malformed_request" },
        { "unsupported transfer coding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400, "malformed_request" },
        { "folded header line", "GET /a HTTP/1.1\r\nX-A: 1\r\n 2\r\n\r\n", 400, "malformed_request" },
        { "bare line feed", "GET /a HTTP/1.1\r\nX-A: 1\nX-B: 2\r\n\r\n", 400, "malformed_request" },
        { "too long head", "GET /a HTTP/1.1\r\nX-A: " + std::string(70000, 'x') + "\r\n\r\n", 400, "malformed_request" },
        { "too long body", "POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413, "body_too_large" },
        { "too long chunked body",
          "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n",
          413,
          "body_too_large" },
    };
    auto server = CallerServer(settingsOf(), handlersOf(echo));
    REQUIRE(server.start());
    for (const auto &requestCase : cases) {
        CAPTURE(requestCase.description_);
        auto connection = connectTo(server);
        send(connection, requestCase.bytes_);
        const auto reply = readReply(connection);
        CHECK(reply.status_ == MessageStatus::Complete);
        CHECK(reply.response_.httpResponse_.status_ == requestCase.status_);
        CHECK(headerValue(reply.response_.httpResponse_.headers_, "X-Refusal-Reason") == requestCase.reason_);
        CHECK(headerValue(reply.response_.httpResponse_.headers_, "Content-Encoding").empty());
        if (requestCase.description_ == "plain") {
            CHECK(headerValue(reply.response_.httpResponse_.headers_, "X-Seen") == "a%20b%0d%0a");
            CHECK(reply.response_.httpResponse_.body_ == "GET /a?b ");
        }
        if (requestCase.description_ == "multipart body") {
            CHECK(reply.response_.httpResponse_.body_ == "POST /a --x\r\nno");
        }
        if (requestCase.description_ == "chunked body") {
            CHECK(reply.response_.httpResponse_.body_ == "POST /a abc");
        }
    }
    server.stop();
}

// Guards against refusing requests whose size the policy in force allows, and against accepting any size.
TEST_CASE("the size limits of requests follow the limits in force")
{
    const auto cases = std::vector<SizeCase> {
        { "head over the setting, allowed by the policy", 40'000, 0, { 65536, 100 }, 200, "" },
        { "head over both", 70'000, 0, { 65536, 100 }, 400, "malformed_request" },
        { "head over the policy's limit only", 20'000, 0, { 16384, 100 }, 200, "" },
        { "body over the setting, allowed by the policy", 0, 4000, { 16384, 5000 }, 200, "" },
        { "body over both", 0, 6000, { 16384, 5000 }, 413, "body_too_large" },
        { "body over the policy's limit only", 0, 1000, { 16384, 100 }, 200, "" },
    };
    for (const auto &sizeCase : cases) {
        CAPTURE(sizeCase.description_);
        auto settings = settingsOf();
        settings.maximumBodyBytes_ = 2000;
        auto handlers = CallerHandlers {};
        handlers.respond_ = [](const ReceivedRequest &request) {
            return CallerResponse { { 200, {}, std::to_string(request.content_.body_.size()) } };
        };
        handlers.limits_ = [&] {
            return sizeCase.limits_;
        };
        auto server = CallerServer(settings, handlers);
        REQUIRE(server.start());
        auto connection = connectTo(server);
        const auto length = std::to_string(sizeCase.bodyBytes_);
        send(connection,
             "POST /a HTTP/1.1\r\nX-A: " + std::string(sizeCase.headBytes_, 'x') + "\r\nContent-Length: " + length + "\r\n\r\n"
                 + std::string(sizeCase.bodyBytes_, 'y'));
        const auto reply = readReply(connection).response_.httpResponse_;
        CHECK(reply.status_ == sizeCase.expectedStatus_);
        CHECK(headerValue(reply.headers_, "X-Refusal-Reason") == sizeCase.expectedReason_);
        CHECK((reply.status_ != 200 || reply.body_ == length));
        server.stop();
    }
}

// Guards against a response that belongs to another request on the same connection.
TEST_CASE("requests on one connection are answered in order")
{
    auto server = CallerServer(settingsOf(), handlersOf(echo));
    REQUIRE(server.start());
    auto connection = connectTo(server);
    send(connection, "GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET /3 HT");
    CHECK(readReply(connection).response_.httpResponse_.body_ == "GET /1 ");
    CHECK(readReply(connection).response_.httpResponse_.body_ == "POST /2 x");
    send(connection, "TP/1.1\r\n\r\nHEAD /4 HTTP/1.1\r\n\r\n");
    CHECK(readReply(connection).response_.httpResponse_.body_ == "GET /3 ");
    CHECK(headerValue(readReply(connection, "HEAD").response_.httpResponse_.headers_, "Content-Length") == "8");
    send(connection, "POST /5 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
    expectBytes(connection, "HTTP/1.1 100 Continue\r\n\r\n");
    send(connection, "y");
    CHECK(readReply(connection).response_.httpResponse_.body_ == "POST /5 y");
    server.stop();
}

// Guards against connections that are lost in a burst, and against requests that wait for busy threads instead of being refused.
TEST_CASE("requests beyond the limit are refused as not run while lookups are served")
{
    constexpr auto limit = 2;
    auto release = absl::Notification();
    auto handled = std::atomic<int>(0);
    auto server = CallerServer(settingsOf(limit), handlersOf([&](const httplib::Request &request, httplib::Response &response) {
                                   handled += 1;
                                   release.WaitForNotification();
                                   echo(request, response);
                               }));
    REQUIRE(server.start());
    auto busy = std::vector<TcpConnection> {};
    for (auto index = 0; index < limit; ++index) {
        busy.push_back(connectTo(server));
        send(busy.back(), "GET /busy HTTP/1.1\r\n\r\n");
    }
    const auto deadline = monotonicNow() + absl::Seconds(5);
    while (handled < limit && monotonicNow() < deadline) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    for (auto index = 0; index < 50; ++index) {
        auto connection = connectTo(server);
        send(connection, "GET /more HTTP/1.1\r\n\r\n");
        const auto reply = readReply(connection);
        CHECK(reply.response_.httpResponse_.status_ == 503);
        CHECK(headerValue(reply.response_.httpResponse_.headers_, "X-Refusal-Reason") == "overloaded");
        CHECK(headerValue(reply.response_.httpResponse_.headers_, "X-Request-Outcome") == "not-run");
    }
    auto lookup = connectTo(server);
    send(lookup, "GET /.well-known/lycheecleat/lookup HTTP/1.1\r\n\r\n");
    CHECK(readReply(lookup).response_.httpResponse_.body_ == "lookup");
    release.Notify();
    for (auto &connection : busy) {
        CHECK(readReply(connection).response_.httpResponse_.status_ == 200);
    }
    CHECK(handled == limit);
    server.stop();
}

// Guards against a graceful stop that aborts requests in flight or loses requests on open connections.
TEST_CASE("stop finishes requests in flight")
{
    auto begun = absl::Notification();
    auto server = CallerServer(settingsOf(), handlersOf([&](const httplib::Request &request, httplib::Response &response) {
                                   begun.Notify();
                                   absl::SleepFor(absl::Milliseconds(200));
                                   echo(request, response);
                               }));
    REQUIRE(server.start());
    auto idle = connectTo(server);
    auto connection = connectTo(server);
    send(connection, "GET /slow HTTP/1.1\r\n\r\n");
    begun.WaitForNotification();
    auto stopper = std::thread([&] {
        server.stop();
    });
    const auto reply = readReply(connection);
    CHECK(reply.response_.httpResponse_.body_ == "GET /slow ");
    CHECK(headerValue(reply.response_.httpResponse_.headers_, "Connection") == "close");
    CHECK(readReply(idle).status_ == MessageStatus::Closed);
    stopper.join();
}

// Guards against handling a request that waited, read but not yet due, until its caller had left (GONE).
TEST_CASE("a pipelined request whose caller left before its turn is not handled")
{
    auto begun = absl::Notification();
    auto released = absl::Notification();
    auto handled = std::atomic<int> { 0 };
    auto server = CallerServer(settingsOf(), handlersOf([&](const httplib::Request &request, httplib::Response &response) {
                                   handled += 1;
                                   if (request.target == "/first") {
                                       begun.Notify();
                                       released.WaitForNotification();
                                   }
                                   response.status = 200;
                               }));
    REQUIRE(server.start());
    {
        auto caller = connectTo(server);
        send(caller, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n");
        begun.WaitForNotification();
    }
    absl::SleepFor(absl::Milliseconds(100));
    released.Notify();
    server.stop();
    CHECK(handled == 1);
}

// Guards against granting a request its whole deadline anew after it waited behind another one.
TEST_CASE("a pipelined request counts as received when it arrived, not when its turn comes")
{
    constexpr auto firstDuration = absl::Milliseconds(400);
    auto waits = std::vector<absl::Duration> {};
    auto handlers = handlersOf(nullptr);
    handlers.handle_ = [&](const httplib::Request &request, httplib::Response &response, absl::Time receivedAt) {
        waits.push_back(monotonicNow() - receivedAt);
        absl::SleepFor(request.target == "/first" ? firstDuration : absl::ZeroDuration());
        response.status = 200;
    };
    auto server = CallerServer(settingsOf(), handlers);
    REQUIRE(server.start());
    auto caller = connectTo(server);
    send(caller, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(readReply(caller).response_.httpResponse_.status_ == 200);
    CHECK(readReply(caller).response_.httpResponse_.status_ == 200);
    server.stop();
    REQUIRE(waits.size() == 2);
    CHECK(waits[0] < firstDuration);
    CHECK(waits[1] >= firstDuration);
}
