#include "connection/brokenresponses.h"
#include "connection/httpmessage.h"
#include "connection/scriptedserver.h"
#include "core/clock.h"
#include "core/testaddress.h"
#include "support/fleet.h"
#include "support/measurement.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <thread>
#include <variant>
#include <vector>

using namespace platformtest;
using lycheecleat::endlessReply;
using lycheecleat::MessageStatus;
using lycheecleat::resetReply;
using lycheecleat::ScriptedMode;
using lycheecleat::ScriptedReply;
using lycheecleat::ScriptedRequest;
using lycheecleat::ScriptedServer;

namespace
{

constexpr auto okStatus = 200;
constexpr auto unauthorizedStatus = 401;
constexpr auto badGatewayStatus = 502;

/** Larger than what the sockets of both sides buffer while the server reads nothing. */
constexpr auto uploadBytes = std::size_t { 16 } * 1024 * 1024;

constexpr auto bytesPerMegabyte = 1024 * 1024;
constexpr auto callerTimeout = absl::Seconds(10);

/** Stands for the request's identifier in the bytes of a reply, so that all replies of a table can be written before the requests are known. */
constexpr auto idPlaceholder = "REQUEST-ID";

/** Header lines of every response of a backend server. */
constexpr auto serverLines = "X-Request-Id: REQUEST-ID\r\nX-Server-Stamp: stamp\r\n";

/** A response that a backend server sends while the request's body is still being written to it, and what the caller gets. */
struct EarlyCase
{
    std::string title_;
    ScriptedMode mode_;
    ScriptedReply reply_;
    int expectedStatus_;
};

struct StoreCase
{
    std::string title_;
    StoreFault fault_;
};

/** How a response ended for its caller. */
struct CallerReply
{
    MessageStatus status_ = MessageStatus::Closed;
    lycheecleat::IncomingResponse response_;
};

/** Two hosts and two backend servers, one of each in either zone. */
auto smallFleet() -> FleetSettings
{
    auto settings = FleetSettings {};
    settings.hostsPerZone_ = 1;
    settings.backendsPerZone_ = 1;
    return settings;
}

/** Lets another server respond in the place of all backend servers. */
auto replaceBackends(Fleet &fleet, const ScriptedServer &server) -> void
{
    for (const auto &backend : fleet.backends()) {
        backend->setRegisteredAddress(server.address());
        backend->registerAs("ready");
    }
}

auto withId(std::string text, const std::string &id) -> std::string
{
    const auto placeholder = std::string(idPlaceholder);
    for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at)) {
        text.replace(at, placeholder.size(), id);
    }
    return text;
}

auto idOf(const ScriptedRequest &request) -> std::string
{
    const auto name = std::string("X-Request-Id: ");
    const auto start = request.head_.find(name) + name.size();
    return request.head_.substr(start, request.head_.find("\r\n", start) - start);
}

/** Sends a request on a connection of its own and reads its response. */
auto callRaw(const FleetHost &host, const std::string &method, const std::string &path, const std::string &body = "") -> CallerReply
{
    static auto number = 0;
    const auto deadline = lycheecleat::monotonicNow() + callerTimeout;
    auto connected = lycheecleat::attempt([&] {
        return lycheecleat::TcpConnection::connect(host.callerAddress_, deadline);
    });
    REQUIRE(std::holds_alternative<lycheecleat::TcpConnection>(connected));
    auto &connection = std::get<lycheecleat::TcpConnection>(connected);
    const auto id = fmt::format("broken-{}", ++number);
    const auto head = fmt::format("{} {} HTTP/1.1\r\nHost: service.example\r\nX-Request-Id: {}\r\nX-Affinity-Key: {}\r\nX-Deadline-Ms: 5000\r\n"
                                  "X-Credential: key-free\r\nContent-Length: {}\r\n\r\n",
                                  method,
                                  path,
                                  id,
                                  id,
                                  body.size());
    REQUIRE(lycheecleat::writeMessage(connection, head, body, deadline) == lycheecleat::TransferStatus::Done);
    auto reply = CallerReply {};
    const auto limits = lycheecleat::ResponseLimits { 65536, uploadBytes };
    reply.status_ = lycheecleat::readResponse(connection, method, limits, deadline, reply.response_);
    return reply;
}

auto statusOf(const CallerReply &reply) -> int
{
    return reply.status_ == MessageStatus::Complete ? reply.response_.httpResponse_.status_ : 0;
}

/** Whether a response has a header field that only backend servers send. */
auto isOfBackend(const CallerReply &reply) -> bool
{
    return lycheecleat::headerCount(reply.response_.httpResponse_.headers_, "X-Server-Stamp") > 0;
}

auto earlyCases() -> std::vector<EarlyCase>
{
    const auto head = std::string("HTTP/1.1 200 OK\r\n") + serverLines;
    const auto undelimited = head + "\r\nthe body";
    // Otherwise the host may use the connection again just before it is reset.
    const auto closing = head + "Connection: close\r\n";
    const auto soon = absl::Milliseconds(250);
    auto finished = resetReply(undelimited, soon);
    finished.finishesWriting_ = true;
    return {
        { "no length, reset at once", ScriptedMode::AfterHead, resetReply(undelimited, absl::ZeroDuration()), badGatewayStatus },
        { "no length, reset soon", ScriptedMode::AfterHead, resetReply(undelimited, soon), badGatewayStatus },
        { "no length, reset later", ScriptedMode::AfterHead, resetReply(undelimited, absl::Seconds(1)), badGatewayStatus },
        { "no length, a large part", ScriptedMode::AfterHead, resetReply(head + "\r\n" + std::string(120'000, 'x'), soon), badGatewayStatus },
        { "cut by its length", ScriptedMode::AfterHead, resetReply(head + "Content-Length: 9\r\n\r\nthe body", soon), badGatewayStatus },
        { "no length, orderly end before the reset", ScriptedMode::AfterHead, finished, okStatus },
        { "whole by its length", ScriptedMode::AfterHead, resetReply(closing + "Content-Length: 8\r\n\r\nthe body", soon), okStatus },
        { "whole by its last chunk",
          ScriptedMode::AfterHead,
          resetReply(closing + "Transfer-Encoding: chunked\r\n\r\n8\r\nthe body\r\n0\r\n\r\n", soon),
          okStatus },
        { "whole, and the upload is read on", ScriptedMode::BeforeBody, { head + "Content-Length: 8\r\n\r\nthe body" }, okStatus },
    };
}

}

// Guards against a part of a response that a caller gets as the whole: the backend server responds at the head of an upload, without a length, and resets the
// connection while the upload is still written.
TEST_CASE("a response to an unfinished upload reaches the caller only if it is whole")
{
    for (const auto &earlyCase : earlyCases()) {
        CAPTURE(earlyCase.title_);
        auto fleet = Fleet(smallFleet());
        const auto server = ScriptedServer(
            lycheecleat::testIp(1, 150),
            [&](const ScriptedRequest &request) {
                auto reply = earlyCase.reply_;
                reply.bytes_ = withId(reply.bytes_, idOf(request));
                return reply;
            },
            earlyCase.mode_);
        replaceBackends(fleet, server);
        auto &host = fleet.hosts().front();
        REQUIRE(Fleet::waitFor(
            [&] {
                static_cast<void>(fleet.call(host, "/book/a"));
                return server.requestCount() > 0;
            },
            std::chrono::seconds { 10 }));
        for (const auto &path : std::vector<std::string> { "/book/a", "/read/a" }) {
            CAPTURE(path);
            const auto reply = callRaw(host, "POST", path, std::string(uploadBytes, 'u'));
            CHECK(statusOf(reply) == earlyCase.expectedStatus_);
            CHECK(isOfBackend(reply) == (earlyCase.expectedStatus_ == okStatus));
            if (earlyCase.expectedStatus_ == okStatus) {
                CHECK(reply.response_.httpResponse_.body_ == "the body");
            }
        }
    }
}

// Guards against a response that no HTTP client may accept, such as one whose status is 000 or whose header names hold blanks or control bytes, and that a
// caller gets as an answer.
TEST_CASE("a response with a broken status or header line never reaches a caller")
{
    auto fleet = Fleet(smallFleet());
    // Otherwise the host may use the connection again just before it is closed.
    const auto whole = std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n") + serverLines + "Content-Length: 2\r\n\r\nok";
    auto answer = whole;
    const auto server = ScriptedServer(lycheecleat::testIp(1, 151), [&](const ScriptedRequest &request) {
        return ScriptedReply { withId(answer, idOf(request)), absl::ZeroDuration(), true };
    });
    replaceBackends(fleet, server);
    auto &host = fleet.hosts().front();
    const auto isServed = [&] {
        return statusOf(callRaw(host, "GET", "/read/a")) == okStatus && server.requestCount() > 0;
    };
    for (const auto &broken : lycheecleat::brokenResponses(serverLines, "ok")) {
        CAPTURE(broken.title_);
        for (const auto &method : std::vector<std::string> { "GET", "POST" }) {
            CAPTURE(method);
            // Failed responses may lead to a pause in which the host sends nothing to a server, which a good response ends.
            answer = whole;
            REQUIRE(Fleet::waitFor(isServed, std::chrono::seconds { 10 }));
            answer = broken.bytes_;
            const auto requestsBefore = server.requestCount();
            const auto reply = callRaw(host, method, "/book/a");
            CHECK(server.requestCount() == requestsBefore + 1);
            CHECK(statusOf(reply) == badGatewayStatus);
            CHECK_FALSE(isOfBackend(reply));
        }
    }
}

// Guards against a host that keeps what a broken backend server sends without end, until it is killed for exceeding its memory.
TEST_CASE("a host stays within its memory limit when backend servers send responses without end")
{
    constexpr auto concurrentCallers = 40;
    const auto settings = smallFleet();
    auto fleet = Fleet(settings);
    auto &host = fleet.hosts().front();
    for (const auto &endless : lycheecleat::endlessResponses(serverLines)) {
        CAPTURE(endless.title_);
        const auto server = ScriptedServer(lycheecleat::testIp(1, 152), [&](const ScriptedRequest &request) {
            return endlessReply(withId(endless.prefix_, idOf(request)), endless.repeated_);
        });
        replaceBackends(fleet, server);
        REQUIRE(Fleet::waitFor(
            [&] {
                static_cast<void>(fleet.call(host, "/book/a"));
                return server.requestCount() > 0;
            },
            std::chrono::seconds { 10 }));
        auto callers = std::vector<std::thread> {};
        for (auto number = 0; number < concurrentCallers; ++number) {
            callers.emplace_back([&fleet, &host, number] {
                fleet.call(host, "/book/" + std::to_string(number));
            });
        }
        for (auto &caller : callers) {
            caller.join();
        }
        REQUIRE(host.process_->isRunning());
        CHECK(integration::peakMemory(host.process_->pid()) / bytesPerMegabyte < settings.memoryMegabytes_);
    }
    MESSAGE("peak " << integration::peakMemory(host.process_->pid()) / bytesPerMegabyte << " MB");
}

// Guards against a host that ends, and the requests of its callers with it, when the store sends more than an answer can hold: killed for exceeding its memory,
// or by a parser that needs stack for each byte of a line.
TEST_CASE("a host stays within its memory limit and serves when the store sends long lines or responses without end")
{
    constexpr auto faultTime = std::chrono::seconds { 8 };
    const auto settings = smallFleet();
    const auto cases = std::vector<StoreCase> {
        { "a status line of a megabyte", StoreFault::LongStatusLine },
        { "a head without an end", StoreFault::EndlessHead },
        { "a body without an end", StoreFault::EndlessBody },
    };
    for (const auto &storeCase : cases) {
        CAPTURE(storeCase.title_);
        auto fleet = Fleet(settings);
        auto &host = fleet.hosts().front();
        fleet.store().setFault("", storeCase.fault_);
        const auto end = std::chrono::steady_clock::now() + faultTime;
        while (std::chrono::steady_clock::now() < end && host.process_->isRunning()) {
            CHECK(fleet.call(host, "/read/a").response_.status_ == okStatus);
            std::this_thread::sleep_for(std::chrono::milliseconds { 100 });
        }
        fleet.store().setFault("", StoreFault::None);
        REQUIRE(host.process_->isRunning());
        const auto peak = integration::peakMemory(host.process_->pid()) / bytesPerMegabyte;
        MESSAGE("peak " << peak << " MB");
        CHECK(peak < settings.memoryMegabytes_);
        // Later changes arrive again.
        fleet.configure({ "key-free" });
        CHECK(Fleet::waitFor(
            [&] {
                return fleet.call(host, "/read/a").response_.status_ == unauthorizedStatus;
            },
            std::chrono::seconds { 10 }));
    }
}
