#include "connection/backendpool.h"
#include "connection/tcpconnection.h"
#include "core/clock.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto bodyLimit = std::size_t { 1024 } * 1024;

/** Upper bound of what the server can send before the limits end the exchange, including the buffers of both sockets. */
constexpr auto maximumSentBytes = std::size_t { 24 } * 1024 * 1024;

/** The server stops after this many bytes, so that the test ends even if no limit ends the exchange. */
constexpr auto serverSendLimit = std::size_t { 256 } * 1024 * 1024;

constexpr auto callDeadline = absl::Seconds(20);

/** Enough time to read up to the limits on a busy machine, and far below the deadline. */
constexpr auto rejectionTimeLimit = absl::Seconds(10);

struct EndlessCase
{
    std::string title_;
    std::string prefix_;
    /** Sent repeatedly until the peer closes the connection. */
    std::string repeated_;
};

/** Accepts one connection and sends bytes on it until the peer closes it or the send limit is reached. */
class EndlessServer
{
public:
    explicit EndlessServer(EndlessCase endlessCase)
        : endlessCase_(std::move(endlessCase))
        , listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        auto address = sockaddr_in {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
        REQUIRE(listen(listener_, 1) == 0);
        auto size = socklen_t { sizeof(address) };
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread([this] {
            serve();
        });
    }

    ~EndlessServer()
    {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    EndlessServer(const EndlessServer &) = delete;
    auto operator=(const EndlessServer &) -> EndlessServer & = delete;

    [[nodiscard]] auto address() const -> const std::string &
    {
        return address_;
    }

    [[nodiscard]] auto sentBytes() const -> std::size_t
    {
        return sentBytes_;
    }

private:
    auto serve() -> void
    {
        const auto accepted = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        auto connection = TcpConnection(accepted);
        if (connection.fill(monotonicNow() + callDeadline) != TransferStatus::Done) {
            return;
        }
        auto block = std::string {};
        while (block.size() < std::size_t { 64 } * 1024) {
            block += endlessCase_.repeated_;
        }
        auto status = connection.write(endlessCase_.prefix_, monotonicNow() + callDeadline);
        while (status == TransferStatus::Done && sentBytes_ < serverSendLimit) {
            status = connection.write(block, monotonicNow() + callDeadline);
            sentBytes_ = connection.bytesWritten();
        }
    }

    EndlessCase endlessCase_;
    int listener_ = -1;
    std::string address_;
    std::atomic<std::size_t> sentBytes_ = 0;
    std::thread thread_;
};

}

// Guards against a backend server that exhausts memory or occupies a thread by sending an endless response.
TEST_CASE("an endless response ends the exchange at a size limit")
{
    const auto head = std::string("HTTP/1.1 200 OK\r\n");
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const auto cases = std::vector<EndlessCase> {
        { "no line end", "", "x" },
        { "binary data", "", std::string("\0\xff\x80", 3) },
        { "empty lines", "", "\r\n" },
        { "empty lines after a bare line feed", "\n", "\r\n" },
        { "header lines", head, "A: b\r\n" },
        { "one header line", head + "A: ", "b" },
        { "informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "responses to other requests", "", head + "X-Id: other\r\nContent-Length: 1\r\n\r\na" },
        { "a body delimited by the close of the connection", head + "\r\n", "x" },
        { "chunks", chunked, "1\r\nx\r\n" },
        { "chunk extensions", chunked, "1;" + std::string(8000, 'e') + "\r\nx\r\n" },
        { "one chunk extension", chunked + "1;", "e" },
        { "one chunk size", chunked, "0" },
        { "one chunk", chunked + "7fffffff\r\n", "x" },
        { "trailer lines", chunked + "0\r\n", "A: b\r\n" },
        { "a huge content length", head + "Content-Length: 9000000000\r\n\r\n", "x" },
    };
    for (const auto &endlessCase : cases) {
        CAPTURE(endlessCase.title_);
        const auto server = EndlessServer(endlessCase);
        auto settings = BackendPoolSettings {};
        settings.maximumResponseBody_ = bodyLimit;
        settings.acceptsUndelimited_ = true;
        settings.headers_.requestId_ = "X-Id";
        auto pool = BackendPool(settings);
        const auto startedAt = monotonicNow();
        auto call = BackendCall { server.address(), startedAt + callDeadline, true };
        call.requestId_ = "own";
        const auto exchange = pool.exchange(call, { "GET", "/a", { { "Host", "h" } }, "" });
        CHECK(exchange.status_ == ExchangeStatus::Incomplete);
        CHECK(monotonicNow() - startedAt < rejectionTimeLimit);
        CHECK(server.sentBytes() < maximumSentBytes);
        CHECK(pool.idleCount(server.address()) == 0);
    }
}
