#include "process/listeningsockets.h"

#include "connection/tcpconnection.h"
#include "core/clock.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

/** Takes all descriptors of the process while it exists. */
class NoDescriptors
{
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &previous_);
        constexpr auto sufficient = rlim_t { 256 };
        const auto lowered = rlimit { sufficient, previous_.rlim_max };
        setrlimit(RLIMIT_NOFILE, &lowered);
        for (auto descriptor = dup(STDERR_FILENO); descriptor >= 0; descriptor = dup(STDERR_FILENO)) {
            taken_.push_back(descriptor);
        }
    }

    ~NoDescriptors()
    {
        for (const auto descriptor : taken_) {
            close(descriptor);
        }
        setrlimit(RLIMIT_NOFILE, &previous_);
    }

    NoDescriptors(const NoDescriptors &) = delete;
    auto operator=(const NoDescriptors &) -> NoDescriptors & = delete;

private:
    rlimit previous_ = {};
    std::vector<int> taken_;
};

}

// Guards against a listening socket that stays readable without a free descriptor, so that threads wake up for it without end.
TEST_CASE("connections that can't be served for lack of descriptors are closed")
{
    auto sockets = ListeningSockets();
    const auto added = attempt([&] {
        return sockets.add("127.0.0.1:0");
    });
    REQUIRE(std::holds_alternative<int>(added));
    auto connected = attempt([&] {
        return TcpConnection::connect("127.0.0.1:" + std::to_string(std::get<int>(added)), monotonicNow() + absl::Seconds(5));
    });
    REQUIRE(std::holds_alternative<TcpConnection>(connected));
    auto &caller = std::get<TcpConnection>(connected);
    {
        const auto exhausted = NoDescriptors();
        CHECK(!sockets.accept(0).has_value());
        CHECK(sockets.closedForDescriptors() == 1);
        const auto status = caller.fill(monotonicNow() + absl::Seconds(5));
        CHECK((status == TransferStatus::Closed || status == TransferStatus::Failed));
    }
    const auto second = attempt([&] {
        return TcpConnection::connect("127.0.0.1:" + std::to_string(std::get<int>(added)), monotonicNow() + absl::Seconds(5));
    });
    REQUIRE(std::holds_alternative<TcpConnection>(second));
    const auto accepted = sockets.accept(0);
    REQUIRE(accepted.has_value());
    close(accepted->socket_);
}
