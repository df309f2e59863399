#include "connection/tcpconnection.h"
#include "core/clock.h"
#include "support/fleet.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <thread>
#include <variant>
#include <vector>

using namespace platformtest;

namespace
{

constexpr auto callersPerCase = 10;

/** How long callers wait for a host that does not read; the users' callers give up a request that is not read within a second. */
constexpr auto patience = std::chrono::milliseconds { 300 };

/** The users' bound: no request that its caller has left reaches a backend server later than this. */
constexpr auto goneBound = std::chrono::milliseconds { 500 };

constexpr auto settlingTime = std::chrono::milliseconds { 1000 };

constexpr auto connectTimeout = absl::Seconds(2);

struct LeavingCase
{
    std::string title_;
    std::string path_;
    /** Whether the caller resets its connection instead of closing it. */
    bool isReset_;
};

auto requestText(const std::string &path, const std::string &id) -> std::string
{
    return fmt::format(
        "GET {} HTTP/1.1\r\nHost: service.example\r\nX-Request-Id: {}\r\nX-Affinity-Key: {}\r\nX-Deadline-Ms: 4000\r\nX-Credential: key-free\r\n\r\n",
        path,
        id,
        id);
}

/** Connects to a host and sends a request. */
auto sendRequest(const FleetHost &host, const std::string &text) -> lycheecleat::TcpConnection
{
    const auto deadline = lycheecleat::monotonicNow() + connectTimeout;
    auto connected = lycheecleat::attempt([&] {
        return lycheecleat::TcpConnection::connect(host.callerAddress_, deadline);
    });
    REQUIRE(std::holds_alternative<lycheecleat::TcpConnection>(connected));
    auto connection = std::get<lycheecleat::TcpConnection>(std::move(connected));
    REQUIRE(connection.write(text, deadline) == lycheecleat::TransferStatus::Done);
    return connection;
}

auto countArrivals(const Fleet &fleet, const std::string &idPrefix) -> std::ptrdiff_t
{
    const auto arrivals = fleet.arrivals();
    return std::count_if(arrivals.begin(), arrivals.end(), [&](const RequestArrival &arrival) {
        return arrival.requestId_.starts_with(idPrefix);
    });
}

}

// Guards against requests that run for nobody: their callers left while the host did not read (GONE).
TEST_CASE("requests whose callers left while the host was stopped reach no backend server")
{
    const auto cases = std::vector<LeavingCase> {
        { "repeatable, closed", "/read/a", false },
        { "repeatable, reset", "/read/a", true },
        { "at most once, closed", "/book/a", false },
        { "at most once, reset", "/book/a", true },
    };
    auto fleet = Fleet();
    auto &host = fleet.hosts().front();
    for (auto index = std::size_t { 0 }; index < cases.size(); ++index) {
        const auto &leavingCase = cases[index];
        CAPTURE(leavingCase.title_);
        const auto leftPrefix = fmt::format("left-{}-", index);
        const auto stayedPrefix = fmt::format("stayed-{}-", index);
        auto left = std::vector<lycheecleat::TcpConnection> {};
        auto stayed = std::vector<lycheecleat::TcpConnection> {};
        host.process_->suspend();
        for (auto number = 0; number < callersPerCase; ++number) {
            left.push_back(sendRequest(host, requestText(leavingCase.path_, leftPrefix + std::to_string(number))));
            stayed.push_back(sendRequest(host, requestText(leavingCase.path_, stayedPrefix + std::to_string(number))));
        }
        std::this_thread::sleep_for(patience);
        for (auto &connection : left) {
            if (leavingCase.isReset_) {
                connection.abort();
            }
        }
        left.clear();
        std::this_thread::sleep_for(goneBound);
        host.process_->resume();
        std::this_thread::sleep_for(settlingTime);
        CHECK(countArrivals(fleet, leftPrefix) == 0);
        CHECK(countArrivals(fleet, stayedPrefix) == callersPerCase);
    }
}
