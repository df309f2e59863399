#include "support/backendserver.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace standin;

namespace
{

using Json = nlohmann::json;

struct Fixture
{
    explicit Fixture(int slots = 4)
        : backend_(settings(slots))
        , started_(backend_.start("127.0.77.3:0"))
    {
        REQUIRE(started_);
    }

    static auto settings(int slots) -> BackendSettings
    {
        auto settings = BackendSettings {};
        settings.name_ = "b1";
        settings.slots_ = slots;
        return settings;
    }

    auto send(const httplib::Headers &headers, std::chrono::milliseconds readTimeout = std::chrono::seconds(5)) -> httplib::Result
    {
        auto connection = httplib::Client("http://" + backend_.address());
        connection.set_read_timeout(readTimeout);
        return connection.Get("/path?key=value", headers);
    }

    auto read(const std::string &name) -> Json
    {
        auto connection = httplib::Client("http://" + backend_.address());
        return Json::parse(connection.Get("/control/" + name)->body);
    }

    auto control(const std::string &name, const std::string &body) -> void
    {
        auto connection = httplib::Client("http://" + backend_.address());
        REQUIRE(connection.Post("/control/" + name, body, "application/json")->status == 200);
    }

    BackendServer backend_;
    bool started_;
};

struct FaultCase
{
    std::string mode_;
    bool isResponseExpected_ = false;
    int status_ = 0;
};

}

// Guards against an incomplete record, which would let tests pass that search it for leaked keys.
TEST_CASE("the record contains every byte of a request, its idempotency key and its organisation")
{
    auto fixture = Fixture {};
    auto connection = httplib::Client("http://" + fixture.backend_.address());
    const auto headers = httplib::Headers { { "X-Test-Id", "t1" }, { "Idempotency-Key", "k1" }, { "X-Organisation", "o1" } };
    REQUIRE(connection.Post("/path?key=value", headers, "body bytes", "text/plain")->status == 200);
    const auto record = fixture.read("record").at("requests");
    REQUIRE(record.size() == 1);
    const auto raw = record[0].at("raw").get<std::string>();
    for (const auto *const part : { "POST /path?key=value HTTP/1.1", "X-Organisation: o1", "body bytes" }) {
        CAPTURE(part);
        CHECK(raw.find(part) != std::string::npos);
    }
    CHECK(record[0].at("idempotency_key") == "k1");
    CHECK(record[0].at("organisation") == "o1");
    CHECK(record[0].at("outcome") == "done");
    CHECK(fixture.read("executions").at("t1") == 1);
}

// Guards against a stand-in that does not report concurrency above its slots.
TEST_CASE("requests beyond the slots are shed and counted")
{
    auto fixture = Fixture(1);
    auto first = std::thread([&] {
        CHECK(fixture.send({ { "X-Test-Service-Ms", "400" }, { "X-Test-Id", "first" } })->status == 200);
    });
    while (fixture.read("counts").at("in_flight") == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK(fixture.send({ { "X-Test-Id", "second" } })->status == 503);
    first.join();
    CHECK(fixture.read("counts").at("highest_concurrency") == 2);
    CHECK(fixture.read("counts").at("shed") == 1);
    CHECK_FALSE(fixture.read("executions").contains("second"));
}

// Guards against executions that continue after the deadline or after the caller has closed the connection.
TEST_CASE("a deadline or a cancellation ends the execution early")
{
    auto fixture = Fixture {};
    CHECK(fixture.send({ { "X-Test-Service-Ms", "3000" }, { "X-Request-Timeout-Ms", "50" } })->status == 504);
    CHECK_FALSE(fixture.send({ { "X-Test-Service-Ms", "3000" } }, std::chrono::milliseconds(50)));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const auto counts = fixture.read("counts");
    CHECK(counts.at("stopped") == 1);
    CHECK(counts.at("cancelled") == 1);
    CHECK(counts.at("in_flight") == 0);
}

// Guards against fault modes that have no effect on the response.
TEST_CASE("each fault mode has its effect on the response")
{
    const auto cases = std::vector<FaultCase> {
        { "cut=5", false, 0 }, { "never", false, 0 }, { "late=600", false, 0 }, { "no-length", true, 200 }, { "error", true, 500 }, { "none", true, 200 },
    };
    for (const auto &faultCase : cases) {
        CAPTURE(faultCase.mode_);
        auto fixture = Fixture {};
        const auto response = fixture.send({ { "X-Test-Mode", faultCase.mode_ } }, std::chrono::milliseconds(300));
        CHECK(static_cast<bool>(response) == faultCase.isResponseExpected_);
        if (response) {
            CHECK(response->status == faultCase.status_);
        }
    }
}

// Guards against a fault mode that continues to apply after its count of requests.
TEST_CASE("a fault set by a control call applies to the given number of requests")
{
    auto fixture = Fixture {};
    fixture.control("mode", R"({"mode": "error", "count": 1})");
    CHECK(fixture.send({})->status == 500);
    CHECK(fixture.send({})->status == 200);
}

// Guards against health reports that do not match the configured state, and against a server in the state lying that reports its real health.
TEST_CASE("health reports follow the configured state")
{
    auto fixture = Fixture {};
    const auto health = [&] {
        auto connection = httplib::Client("http://" + fixture.backend_.address());
        return Json::parse(connection.Get("/health")->body).at("status").get<std::string>();
    };
    CHECK(health() == "ok");
    fixture.control("health", R"({"state": "draining"})");
    CHECK(health() == "draining");
    fixture.control("mode", R"({"mode": "error"})");
    CHECK(health() == "failing");
    fixture.control("health", R"({"state": "lying"})");
    CHECK(health() == "ok");
}
