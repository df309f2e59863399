#include "support/faultproxy.h"

#include "core/testaddress.h"
#include "support/backendserver.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>

using namespace standin;

namespace
{

auto proxyAddress() -> std::string
{
    return lycheecleat::testIp(77, 1) + ":7701";
}

/** A backend server behind a proxy. */
struct Fixture
{
    Fixture()
        : backend_(settings())
        , backendStarted_(backend_.start(lycheecleat::testIp(77, 2) + ":0"))
        , proxy_({ ProxyLink { "link", proxyAddress(), backend_.address() } })
        , proxyStarted_(proxy_.start(lycheecleat::testIp(77, 1) + ":0"))
    {
        REQUIRE(backendStarted_);
        REQUIRE(proxyStarted_);
    }

    static auto settings() -> BackendSettings
    {
        auto settings = BackendSettings {};
        settings.name_ = "b1";
        return settings;
    }

    auto control(const std::string &name, const std::string &body) -> void
    {
        auto connection = httplib::Client("http://" + proxy_.controlAddress());
        const auto response = connection.Post("/control/" + name, body, "application/json");
        REQUIRE(response);
        REQUIRE(response->status == 200);
    }

    auto executions() -> std::string
    {
        auto connection = httplib::Client("http://" + backend_.address());
        return connection.Get("/control/executions")->body;
    }

    BackendServer backend_;
    bool backendStarted_;
    FaultProxy proxy_;
    bool proxyStarted_;
};

auto makeConnection() -> std::unique_ptr<httplib::Client>
{
    auto connection = std::make_unique<httplib::Client>("http://" + proxyAddress());
    connection->set_keep_alive(true);
    connection->set_connection_timeout(std::chrono::milliseconds(300));
    connection->set_read_timeout(std::chrono::milliseconds(300));
    return connection;
}

auto isServed(httplib::Client &connection, const std::string &testId = "x") -> bool
{
    const auto response = connection.Get("/", httplib::Headers { { "X-Test-Id", testId } });
    return response && response->status == 200;
}

}

// Guards against a cut that has no effect, which would let tests of faults pass without the fault.
TEST_CASE("cut refuses new connections and resets open ones until it is switched off")
{
    auto fixture = Fixture {};
    auto open = makeConnection();
    REQUIRE(isServed(*open));
    fixture.control("cut", R"({"links": ["link"], "on": true})");
    CHECK_FALSE(isServed(*open));
    CHECK_FALSE(isServed(*makeConnection()));
    fixture.control("cut", R"({"links": ["l*"], "on": false})");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(isServed(*makeConnection()));
}

// Guards against a frozen link that forwards requests, and against one that refuses connections after the fault is switched off.
TEST_CASE("freeze forwards nothing, and new connections work after it is switched off")
{
    auto fixture = Fixture {};
    auto open = makeConnection();
    REQUIRE(isServed(*open, "before"));
    fixture.control("freeze", R"({"links": ["link"], "on": true})");
    CHECK_FALSE(isServed(*open, "frozen"));
    CHECK(fixture.executions().find("frozen") == std::string::npos);
    fixture.control("freeze", R"({"links": ["link"], "on": false})");
    CHECK(isServed(*makeConnection(), "after"));
}

// Guards against a silence that also affects new connections.
TEST_CASE("silence affects only connections that are open at the call")
{
    auto fixture = Fixture {};
    auto open = makeConnection();
    REQUIRE(isServed(*open));
    fixture.control("silence", R"({"links": ["link"]})");
    CHECK_FALSE(isServed(*open));
    CHECK(isServed(*makeConnection()));
}

// Guards against a drop-replies fault that also blocks the request: the request must run.
TEST_CASE("drop-replies forwards the request and drops the response")
{
    auto fixture = Fixture {};
    fixture.control("drop-replies", R"({"links": ["link"], "on": true})");
    CHECK_FALSE(isServed(*makeConnection(), "lost"));
    CHECK(nlohmann::json::parse(fixture.executions()).at("lost") == 1);
}

// Guards against a delay that is not applied in both directions.
TEST_CASE("delay applies in each direction")
{
    auto fixture = Fixture {};
    fixture.control("delay", R"({"links": ["link"], "ms": 60})");
    const auto begin = std::chrono::steady_clock::now();
    CHECK(isServed(*makeConnection()));
    CHECK(std::chrono::steady_clock::now() - begin >= std::chrono::milliseconds(120));
}

// Guards against a partition between two hosts that also affects other hosts, or that has no effect because the source process was not recognised.
TEST_CASE("a fault with sources applies to the connections of those processes only")
{
    auto fixture = Fixture {};
    fixture.control("sources", nlohmann::json { { "self", getpid() }, { "init", 1 } }.dump());
    fixture.control("cut", R"({"links": ["link"], "sources": ["init"], "on": true})");
    CHECK(isServed(*makeConnection()));
    fixture.control("cut", R"({"links": ["link"], "sources": ["self"], "on": true})");
    CHECK_FALSE(isServed(*makeConnection()));
    fixture.control("cut", R"({"links": ["link"], "sources": ["self"], "on": false})");
    CHECK(isServed(*makeConnection()));
}
