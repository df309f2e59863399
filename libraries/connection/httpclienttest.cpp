#include "connection/httpclient.h"

#include "connection/scriptedserver.h"
#include "core/testaddress.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

constexpr auto times = HttpCallTimes { absl::Seconds(2), absl::Milliseconds(300), absl::Milliseconds(300) };

/** Enough for the server's close to arrive on a busy machine. */
constexpr auto closeTime = absl::Milliseconds(500);

struct CallCase
{
    std::string title_;
    ScriptedReply reply_;
    HttpCallStatus expected_;
    /** Whether the next call uses the same connection. */
    bool isConnectionKept_;
};

auto plainRequest() -> RequestContent
{
    return { "GET", "/a", {}, {} };
}

}

// Guards against a late or left-over response that is read as the response to a later call, and against calls that wait without a limit.
TEST_CASE("a connection is used again only after a whole response")
{
    const auto now = absl::ZeroDuration();
    const auto cases = std::vector<CallCase> {
        { "whole", { wholeResponse }, HttpCallStatus::Complete, true },
        { "Connection: close", { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok" }, HttpCallStatus::Complete, false },
        { "ended by the close", { "HTTP/1.1 200 OK\r\n\r\nok", now, true }, HttpCallStatus::Complete, false },
        { "closed after it", { wholeResponse, now, true }, HttpCallStatus::Complete, false },
        { "bytes after it", { std::string(wholeResponse) + "HTTP" }, HttpCallStatus::Complete, false },
        { "cut", { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", now, true }, HttpCallStatus::Failed, false },
        { "never complete", { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok" }, HttpCallStatus::Failed, false },
        { "none", { "" }, HttpCallStatus::Failed, false },
        { "closed without one", { "", now, true }, HttpCallStatus::Failed, false },
        { "too large", { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnine byte" }, HttpCallStatus::TooLarge, false },
    };
    for (const auto &callCase : cases) {
        CAPTURE(callCase.title_);
        const auto server = ScriptedServer(testIp(9, 8), [&](const ScriptedRequest &request) {
            return request.indexOnServer_ == 0 ? callCase.reply_ : ScriptedReply { wholeResponse };
        });
        auto client = HttpClient(server.address(), { 1024, 8 });
        const auto startedAt = monotonicNow();
        const auto first = client.call(plainRequest(), times);
        CHECK(first.status_ == callCase.expected_);
        CHECK((first.response_.body_ == "ok") == (callCase.expected_ == HttpCallStatus::Complete));
        CHECK(first.detail_.empty() == (callCase.expected_ == HttpCallStatus::Complete));
        CHECK(monotonicNow() - startedAt < absl::Seconds(2));
        if (callCase.reply_.close_ && callCase.expected_ == HttpCallStatus::Complete) {
            absl::SleepFor(closeTime);
        }
        CHECK(client.call(plainRequest(), times).status_ == HttpCallStatus::Complete);
        CHECK(server.connectionCount() == (callCase.isConnectionKept_ ? 1 : 2));
    }
}

// Guards against taking a call that was never sent for one that may have been executed.
TEST_CASE("a call without a connection was not sent")
{
    for (const auto &address : { testIp(9, 8) + ":1", std::string("no address") }) {
        CAPTURE(address);
        auto client = HttpClient(address);
        const auto result = client.call(plainRequest(), times);
        CHECK(result.status_ == HttpCallStatus::NotSent);
        CHECK_FALSE(result.detail_.empty());
    }
}
