#include "connection/backendpool.h"

#include "connection/scriptedserver.h"
#include "core/clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto kilobyte = std::size_t { 1024 };
constexpr auto heldBytes = 32 * kilobyte;
constexpr auto bodyBytes = 900 * kilobyte;

auto settingsWith(const ByteBudgetPointer &budget) -> BackendPoolSettings
{
    auto settings = BackendPoolSettings {};
    settings.bodyMemory_ = budget;
    settings.heldResponseBody_ = heldBytes;
    settings.acceptsUndelimited_ = true;
    return settings;
}

auto callTo(const ScriptedServer &server) -> BackendCall
{
    auto call = BackendCall { server.address(), monotonicNow() + absl::Seconds(5), true };
    call.acceptsPart_ = true;
    return call;
}

auto body() -> std::string
{
    auto text = std::string {};
    while (text.size() < bodyBytes) {
        text += fmt::format("{},", text.size());
    }
    return text;
}

auto chunked(const std::string &text) -> std::string
{
    return fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", text.size(), text);
}

}

// Guards against holding whole responses of any size, and against a response that was cut and looks complete.
TEST_CASE("a response beyond what may be held is passed on in parts")
{
    const auto ok = std::string("HTTP/1.1 200 OK\r\n");
    const auto text = body();
    const auto withLength = fmt::format("{}Content-Length: {}\r\n\r\n{}", ok, text.size(), text);
    const auto withChunks = ok + "Transfer-Encoding: chunked\r\n\r\n" + chunked(text);
    struct Case
    {
        std::string description_;
        std::string response_;
        bool isReset_;
        BodyPartEnd end_;
        bool isLengthKnown_;
        bool isConnectionKept_;
    };
    const auto cases = std::vector<Case> {
        { "length", withLength, false, BodyPartEnd::Complete, true, true },
        { "chunked", withChunks, false, BodyPartEnd::Complete, false, true },
        { "cut within its length", withLength.substr(0, withLength.size() - 1), false, BodyPartEnd::Cut, true, false },
        { "cut within its chunks", withChunks.substr(0, withChunks.size() - 1), false, BodyPartEnd::Cut, false, false },
        { "closed at its end", ok + "\r\n" + text, false, BodyPartEnd::Complete, false, false },
        { "reset at its end", ok + "\r\n" + text, true, BodyPartEnd::Cut, false, false },
    };
    for (const auto &restCase : cases) {
        CAPTURE(restCase.description_);
        const auto isKept = restCase.isConnectionKept_;
        const auto server = ScriptedServer("127.0.0.1", [&](const ScriptedRequest &) {
            auto reply = ScriptedReply { restCase.response_, absl::ZeroDuration(), !isKept };
            reply.reset_ = restCase.isReset_;
            return reply;
        });
        const auto budget = std::make_shared<ByteBudget>(ByteBudgetLimits { 200 * kilobyte });
        auto pool = BackendPool(settingsWith(budget));
        auto exchange = pool.exchange(callTo(server), { "GET", "/a", { { "Host", "h" } }, "" });
        REQUIRE(exchange.status_ == ExchangeStatus::Complete);
        REQUIRE(exchange.rest_.has_value());
        CHECK(exchange.rest_->length_.has_value() == restCase.isLengthKnown_);
        auto received = exchange.response_.body_.text();
        auto part = BodyPart { {}, BodyPartEnd::More };
        while (part.end_ == BodyPartEnd::More) {
            part = exchange.rest_->next_();
            received += part.body_.text();
        }
        CHECK(part.end_ == restCase.end_);
        if (restCase.end_ == BodyPartEnd::Complete) {
            CHECK((received == text));
        } else {
            CHECK((text.compare(0, received.size(), received) == 0));
        }
        exchange.rest_.reset();
        CHECK(pool.idleCount(server.address()) == (isKept ? 1 : 0));
    }
}

// Guards against a response that fails, after its server has run the request, only because other bodies take up the memory.
TEST_CASE("a response without room is passed on as room becomes free")
{
    const auto text = body();
    const auto server = ScriptedServer("127.0.0.1", [&](const ScriptedRequest &) {
        return ScriptedReply { fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", text.size(), text) };
    });
    const auto budget = std::make_shared<ByteBudget>(ByteBudgetLimits { 200 * kilobyte });
    auto other = ByteReservation(budget);
    REQUIRE(other.growTo(200 * kilobyte));
    auto pool = BackendPool(settingsWith(budget));
    auto exchange = pool.exchange(callTo(server), { "GET", "/a", { { "Host", "h" } }, "" });
    REQUIRE(exchange.status_ == ExchangeStatus::Complete);
    REQUIRE(exchange.rest_.has_value());
    CHECK(exchange.response_.body_.empty());
    other.shrinkTo(0);
    auto received = std::size_t { 0 };
    auto part = BodyPart { {}, BodyPartEnd::More };
    while (part.end_ == BodyPartEnd::More) {
        part = exchange.rest_->next_();
        received += part.body_.size();
    }
    CHECK(part.end_ == BodyPartEnd::Complete);
    CHECK(received == text.size());
}
