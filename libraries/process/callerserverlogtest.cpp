#include "core/capturedoutput.h"
#include "core/clock.h"
#include "process/callerserver.h"

#include "connection/httpmessage.h"
#include "connection/tcpconnection.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace lycheecleat;

namespace
{

struct RejectionCase
{
    std::string bytes_;
    bool closes_;
    std::string reason_;
    std::string status_;
    std::string detail_;
};

}

// Guards against requests that are turned away before their handler sees them and leave no trace in the log.
TEST_CASE("a request that is rejected unread has a log line with the reason")
{
    const auto cases = std::vector<RejectionCase> {
        { "hello\r\n\r\n", false, "malformed_request", "400", "the head is not valid HTTP/1.1" },
        { "GET /a HTTP/1.1\r\nX-A: " + std::string(70000, 'x') + "\r\n\r\n", false, "malformed_request", "400", "the head is larger than allowed" },
        { "GET /a HTTP/1.1\r\n", true, "malformed_request", "400", "the connection was closed within the head" },
        { "POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n", false, "body_too_large", "413", "the body is larger than allowed" },
    };
    for (const auto &rejectionCase : cases) {
        CAPTURE(rejectionCase.detail_);
        auto output = CapturedOutput();
        auto settings = CallerServerSettings {};
        settings.address_ = "127.0.0.1:0";
        settings.maximumBodyBytes_ = 100;
        settings.stopGrace_ = absl::Milliseconds(50);
        auto handlers = CallerHandlers {};
        handlers.respond_ = [](const ReceivedRequest &) {
            return CallerResponse { { 200, {}, "" } };
        };
        auto server = CallerServer(settings, handlers);
        REQUIRE(server.start());
        auto connected = attempt([&] {
            return TcpConnection::connect("127.0.0.1:" + std::to_string(server.port()), monotonicNow() + absl::Seconds(5));
        });
        REQUIRE(std::holds_alternative<TcpConnection>(connected));
        auto connection = std::get<TcpConnection>(std::move(connected));
        REQUIRE(connection.write(rejectionCase.bytes_, monotonicNow() + absl::Seconds(5)) == TransferStatus::Done);
        if (rejectionCase.closes_) {
            connection.finishWriting();
        }
        auto response = IncomingResponse {};
        CHECK(readResponse(connection, "GET", { 65536, 1 << 20 }, monotonicNow() + absl::Seconds(5), response) == MessageStatus::Complete);
        server.stop();
        const auto lines = output.linesOf("request_rejected");
        REQUIRE(lines.size() == 1);
        CHECK(lines.front().at("reason") == rejectionCase.reason_);
        CHECK(lines.front().at("status") == rejectionCase.status_);
        CHECK(lines.front().at("detail") == rejectionCase.detail_);
        CHECK(lines.front().at("caller") == "127.0.0.1");
    }
}
