#include "process/callerserver.h"

#include "connection/httpmessage.h"
#include "connection/tcpconnection.h"
#include "core/clock.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto kilobyte = std::size_t { 1024 };
constexpr auto okStatus = 200;
constexpr auto unavailableStatus = 503;

auto settingsWith(const ByteBudgetPointer &budget, int maximumRequests = 4) -> CallerServerSettings
{
    auto settings = CallerServerSettings {};
    settings.address_ = "127.0.0.1:0";
    settings.maximumRequests_ = maximumRequests;
    settings.bodyMemory_ = budget;
    settings.stalledBodyTimeout_ = absl::Milliseconds(100);
    settings.bodyTimeout_ = absl::Seconds(20);
    settings.stopGrace_ = absl::Milliseconds(50);
    return settings;
}

auto handlersWith(std::function<CallerResponse(const ReceivedRequest &)> respond) -> CallerHandlers
{
    auto handlers = CallerHandlers {};
    handlers.respond_ = std::move(respond);
    handlers.refuse_ = [](const ReceivedRequest &, Refusal refusal) {
        return CallerResponse { { describeRefusal(refusal).status_, {}, std::string(describeRefusal(refusal).name_) } };
    };
    return handlers;
}

auto respondWithSize(const ReceivedRequest &request) -> CallerResponse
{
    return { { okStatus, {}, std::to_string(request.content_.body_.size()) } };
}

auto connectTo(const CallerServer &server) -> TcpConnection
{
    auto connected = attempt([&] {
        return TcpConnection::connect("127.0.0.1:" + std::to_string(server.port()), monotonicNow() + absl::Seconds(5));
    });
    REQUIRE(std::holds_alternative<TcpConnection>(connected));
    return std::get<TcpConnection>(std::move(connected));
}

auto postOf(std::size_t length) -> std::string
{
    return fmt::format("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", length);
}

struct Reply
{
    MessageStatus status_ = MessageStatus::Closed;
    HttpResponse response_;
};

auto replyTo(TcpConnection &connection, const std::string &bytes) -> Reply
{
    static_cast<void>(connection.write(bytes, monotonicNow() + absl::Seconds(5)));
    auto response = IncomingResponse {};
    const auto status = readResponse(connection, "POST", { 64 * kilobyte, 4096 * kilobyte }, monotonicNow() + absl::Seconds(10), response);
    return { status, response.httpResponse_ };
}

// Waits until the server has so many unanswered requests. A caller may have its response just before the request no longer counts.
auto hasUnanswered(const CallerServer &server, int count) -> bool
{
    const auto deadline = monotonicNow() + absl::Seconds(5);
    while (server.unansweredRequests() != count && monotonicNow() < deadline) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    return server.unansweredRequests() == count;
}

}

// Guards against callers that stop within their bodies and occupy all threads of the host.
TEST_CASE("an incomplete body occupies no thread")
{
    constexpr auto maximumRequests = 2;
    constexpr auto stalledCallers = 20;
    auto server = CallerServer(settingsWith(nullptr, maximumRequests), handlersWith(respondWithSize));
    REQUIRE(server.start());
    auto stalled = std::vector<TcpConnection> {};
    for (auto number = 0; number < stalledCallers; ++number) {
        stalled.push_back(connectTo(server));
        REQUIRE(stalled.back().write(postOf(10) + "123456789", monotonicNow() + absl::Seconds(5)) == TransferStatus::Done);
    }
    CHECK(hasUnanswered(server, stalledCallers));
    auto connection = connectTo(server);
    CHECK(replyTo(connection, postOf(3) + "abc").response_ == HttpResponse { okStatus, { { "Content-Length", "1" } }, "3" });
    CHECK(replyTo(stalled.front(), "0").response_.body_ == "10");
    CHECK(hasUnanswered(server, stalledCallers - 1));
}

// Guards against the loss of bytes where a body arrives in parts, and against a limit that starts anew with each part.
TEST_CASE("a body may arrive in any parts and is limited as a whole")
{
    struct Case
    {
        std::string description_;
        std::vector<std::string> parts_;
        int status_;
        std::string body_;
    };
    const auto chunkedHead = std::string("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto largeChunk = fmt::format("{:x}\r\n{}\r\n", 300 * kilobyte, std::string(300 * kilobyte, 'x'));
    constexpr auto tooLargeStatus = 413;
    const auto cases = std::vector<Case> {
        { "length", { postOf(5), "a", "bcd", "e" }, okStatus, "5" },
        { "chunked", { chunkedHead, "3", "\r\nab", "c\r\n1\r\nd\r", "\n0\r\n", "\r\n" }, okStatus, "4" },
        { "chunks beyond the limit together", { chunkedHead, largeChunk, largeChunk, largeChunk, largeChunk }, tooLargeStatus, "" },
    };
    auto settings = settingsWith(nullptr);
    settings.maximumBodyBytes_ = 1000 * kilobyte;
    auto server = CallerServer(settings, handlersWith(respondWithSize));
    REQUIRE(server.start());
    for (const auto &partsCase : cases) {
        CAPTURE(partsCase.description_);
        auto connection = connectTo(server);
        for (const auto &part : partsCase.parts_) {
            static_cast<void>(connection.write(part, monotonicNow() + absl::Seconds(5)));
            absl::SleepFor(absl::Milliseconds(20));
        }
        const auto reply = replyTo(connection, "");
        CHECK(reply.response_.status_ == partsCase.status_);
        if (!partsCase.body_.empty()) {
            CHECK(reply.response_.body_ == partsCase.body_);
        }
    }
}

// Guards against bodies that are accepted without memory for them, and against callers that stop within their bodies and keep it from the others.
TEST_CASE("a body without room is refused as not run, and stalled bodies make room")
{
    const auto budget = std::make_shared<ByteBudget>(ByteBudgetLimits { 100 * kilobyte, kilobyte, 20 * kilobyte });
    auto server = CallerServer(settingsWith(budget), handlersWith(respondWithSize));
    REQUIRE(server.start());
    auto stalled = connectTo(server);
    REQUIRE(stalled.write(postOf(70 * kilobyte) + std::string(70 * kilobyte - 1, 'x'), monotonicNow() + absl::Seconds(5)) == TransferStatus::Done);
    while (budget->used() < 70 * kilobyte) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    auto small = connectTo(server);
    CHECK(replyTo(small, postOf(10) + "0123456789").response_.status_ == okStatus);
    auto large = connectTo(server);
    const auto refused = replyTo(large, postOf(70 * kilobyte));
    CHECK(refused.response_.status_ == unavailableStatus);
    CHECK(refused.response_.body_ == "no_memory");
    CHECK(headerValue(refused.response_.headers_, "connection") == "close");
    CHECK(server.counts().bodiesWithoutRoom_ == 1);
    CHECK(stalled.fill(monotonicNow() + absl::Seconds(5)) != TransferStatus::TimedOut);
    const auto deadline = monotonicNow() + absl::Seconds(5);
    while (server.counts().stalledBodies_ == 0 && monotonicNow() < deadline) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    CHECK(server.counts().stalledBodies_ == 1);
    CHECK(budget->used() == 0);
    auto later = connectTo(server);
    CHECK(replyTo(later, postOf(70 * kilobyte) + std::string(70 * kilobyte, 'x')).response_.status_ == okStatus);
}

// Guards against a response that was cut and looks complete to its caller.
TEST_CASE("a response in parts is complete for its caller only after its last part")
{
    struct Case
    {
        std::optional<std::uint64_t> length_;
        BodyPartEnd end_;
        MessageStatus status_;
    };
    const auto cases = std::vector<Case> {
        { 9, BodyPartEnd::Complete, MessageStatus::Complete },
        { std::nullopt, BodyPartEnd::Complete, MessageStatus::Complete },
        { 9, BodyPartEnd::Cut, MessageStatus::Failed },
        { std::nullopt, BodyPartEnd::Cut, MessageStatus::Failed },
    };
    for (const auto &restCase : cases) {
        CAPTURE(restCase.length_.value_or(0));
        auto server = CallerServer(
            settingsWith(nullptr), handlersWith([&](const ReceivedRequest &) {
                auto response = CallerResponse { { okStatus, {}, "abc" } };
                const auto parts = std::make_shared<std::vector<BodyPart>>(std::vector<BodyPart> { { "def", BodyPartEnd::More }, { "ghi", restCase.end_ } });
                response.rest_ = ResponseRest { restCase.length_, [parts] {
                                                   auto part = parts->front();
                                                   parts->erase(parts->begin());
                                                   return part;
                                               } };
                return response;
            }));
        REQUIRE(server.start());
        auto connection = connectTo(server);
        const auto reply = replyTo(connection, postOf(0));
        CHECK(reply.status_ == restCase.status_);
        if (restCase.status_ == MessageStatus::Complete) {
            CHECK(reply.response_.body_ == "abcdefghi");
            CHECK(replyTo(connection, postOf(0)).status_ == MessageStatus::Complete);
        }
    }
}
