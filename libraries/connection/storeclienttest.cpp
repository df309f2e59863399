#include "connection/storeclient.h"

#include "connection/brokenresponses.h"
#include "connection/httpclient.h"
#include "connection/scriptedserver.h"
#include "support/storeserver.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <string>
#include <thread>
#include <variant>
#include <vector>

using namespace lycheecleat;

namespace
{

/** A running store stand-in and a client connected to it. */
struct Fixture
{
    explicit Fixture(standin::StoreLimits limits = {}, absl::Duration timeout = absl::Milliseconds(500))
        : store_(limits)
        , started_(store_.start("127.0.0.1:0"))
        , client_(StoreSettings { store_.address(), timeout })
    {
        REQUIRE(started_);
    }

    auto control(const std::string &name, const std::string &body) -> std::string
    {
        auto connection = httplib::Client("http://" + store_.address());
        const auto response = connection.Post("/control/" + name, body, "application/json");
        REQUIRE(response);
        REQUIRE(response->status == 200);
        return response->body;
    }

    auto get(const std::string &key) -> std::variant<StoreEntry, Error>
    {
        return attempt([&] {
            return client_.get(key);
        });
    }

    auto swap(const std::string &key, std::int64_t expectedVersion, const std::string &value, absl::Duration timeToLive = absl::ZeroDuration())
        -> std::variant<SwapResult, Error>
    {
        return attempt([&] {
            return client_.compareAndSwap(key, expectedVersion, value, timeToLive);
        });
    }

    standin::StoreServer store_;
    bool started_ = false;
    StoreClient client_;
};

auto messageOf(const std::variant<SwapResult, Error> &outcome) -> std::string
{
    return std::holds_alternative<Error>(outcome) ? describe(std::get<Error>(outcome)) : "";
}

}

// Guards against keys that are altered by encoding.
TEST_CASE("a written value is read back under the same key")
{
    auto fixture = Fixture {};
    const auto largeValue = std::string(std::size_t { 1 } << 20, 'x');
    const auto cases = std::vector<std::pair<std::string, std::string>> {
        { "head", "{\"revision\":1}" },
        { "once/org/0123", "running" },
        { "a key/with %2F?&=#+ signs/ö", "line\nwith \"quotes\" and \\" },
        { "large", largeValue },
    };
    for (const auto &keyAndValue : cases) {
        const auto &key = keyAndValue.first;
        const auto &value = keyAndValue.second;
        CAPTURE(key);
        const auto absent = fixture.get(key);
        REQUIRE(std::holds_alternative<StoreEntry>(absent));
        CHECK(std::get<StoreEntry>(absent).version_ == 0);
        const auto written = fixture.swap(key, 0, value);
        REQUIRE(std::holds_alternative<SwapResult>(written));
        CHECK(std::get<SwapResult>(written).swapped_);
        const auto read = fixture.get(key);
        REQUIRE(std::holds_alternative<StoreEntry>(read));
        CHECK(std::get<StoreEntry>(read) == std::get<SwapResult>(written).entry_);
        CHECK(std::get<StoreEntry>(read).value_ == value);
    }
}

// Guards against two concurrent writers that are both told that they wrote the key.
TEST_CASE("compareAndSwap with another version changes nothing and returns the current entry")
{
    auto fixture = Fixture {};
    const auto first = std::get<SwapResult>(fixture.swap("head", 0, "first"));
    const auto second = std::get<SwapResult>(fixture.swap("head", 0, "second"));
    CHECK_FALSE(second.swapped_);
    CHECK(second.entry_ == first.entry_);
    CHECK(std::get<StoreEntry>(fixture.get("head")).value_ == "first");
}

// Guards against entries that expire before or long after their time to live.
TEST_CASE("an entry with a time to live expires")
{
    auto fixture = Fixture {};
    REQUIRE(std::get<SwapResult>(fixture.swap("once/org/1", 0, "claim", absl::Seconds(30))).swapped_);
    REQUIRE(std::get<SwapResult>(fixture.swap("once/org/2", 0, "claim", absl::Milliseconds(50))).swapped_);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(std::get<StoreEntry>(fixture.get("once/org/1")).version_ > 0);
    CHECK(std::get<StoreEntry>(fixture.get("once/org/2")).version_ == 0);
}

// Guards against a watch that polls: the store must respond to the change and count a single call.
TEST_CASE("watch returns when the key changes")
{
    auto fixture = Fixture {};
    auto writer = std::thread([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        [[maybe_unused]] const auto written = fixture.swap("head", 0, "next");
    });
    const auto outcome = attempt([&] {
        return fixture.client_.watch("head", 0, absl::Seconds(20));
    });
    writer.join();
    REQUIRE(std::holds_alternative<StoreEntry>(outcome));
    CHECK(std::get<StoreEntry>(outcome).value_ == "next");
    const auto counts = fixture.control("counts", "{}");
    CAPTURE(counts);
    CHECK(counts.find("\"watch\":1") != std::string::npos);
    CHECK(counts.find("\"read\":0") != std::string::npos);
}

// Guards against a watch that reports the end of its wait as a failure.
TEST_CASE("watch returns the unchanged entry after the wait, even when the wait is longer than the call timeout")
{
    auto fixture = Fixture({}, absl::Milliseconds(200));
    const auto written = std::get<SwapResult>(fixture.swap("head", 0, "same"));
    const auto outcome = attempt([&] {
        return fixture.client_.watch("head", written.entry_.version_, absl::Milliseconds(400));
    });
    REQUIRE(std::holds_alternative<StoreEntry>(outcome));
    CHECK(std::get<StoreEntry>(outcome) == written.entry_);
}

// Guards against reporting a write as not executed when only its reply was lost.
TEST_CASE("the error of a write whose reply is lost says that the write may have taken effect")
{
    auto fixture = Fixture {};
    fixture.control("lose-replies", R"({"count": 1})");
    const auto lost = fixture.swap("head", 0, "written");
    CHECK(messageOf(lost).find("the write may have taken effect") != std::string::npos);
    const auto read = fixture.get("head");
    REQUIRE(std::holds_alternative<StoreEntry>(read));
    CHECK(std::get<StoreEntry>(read).value_ == "written");
}

// Guards against reading a late reply as the reply to a later call on the same connection.
TEST_CASE("a late reply is not read by a later call")
{
    auto fixture = Fixture({}, absl::Milliseconds(100));
    REQUIRE(std::holds_alternative<StoreEntry>(fixture.get("warm-up")));
    fixture.control("slow", R"({"delay_ms": 300})");
    const auto late = fixture.swap("late", 0, "late value");
    CHECK(messageOf(late).find("the write may have taken effect") != std::string::npos);
    fixture.control("slow", R"({"delay_ms": 0})");
    for (auto call = 0; call < 10; ++call) {
        const auto read = fixture.get("other");
        REQUIRE(std::holds_alternative<StoreEntry>(read));
        CHECK(std::get<StoreEntry>(read) == StoreEntry {});
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(std::get<StoreEntry>(fixture.get("late")).value_ == "late value");
}

// Guards against reporting an outage as an absent key, and against a client that fails after the outage has ended.
TEST_CASE("calls fail during an outage and succeed after it")
{
    auto fixture = Fixture {};
    REQUIRE(std::get<SwapResult>(fixture.swap("head", 0, "value")).swapped_);
    fixture.control("outage", R"({"on": true})");
    CHECK(std::holds_alternative<Error>(fixture.get("head")));
    CHECK(messageOf(fixture.swap("head", 1, "next")).find("the write may have taken effect") != std::string::npos);
    fixture.control("outage", R"({"on": false})");
    CHECK(std::get<StoreEntry>(fixture.get("head")).value_ == "value");
}

// Guards against treating a call that the store rejected with status 429 as successful.
TEST_CASE("calls beyond the store's rate limit are errors")
{
    auto fixture = Fixture(standin::StoreLimits { 5, 0 });
    auto rejected = 0;
    for (auto call = 0; call < 20; ++call) {
        rejected += std::holds_alternative<Error>(fixture.get("head")) ? 1 : 0;
    }
    CHECK(rejected > 0);
    CHECK(rejected <= 15);
}

// Guards against a client that hangs or crashes when the connection is refused.
TEST_CASE("an unreachable store is an error that names its address")
{
    auto client = StoreClient(StoreSettings { "127.0.0.1:1", absl::Milliseconds(200) });
    const auto outcome = attempt([&] {
        return client.get("head");
    });
    REQUIRE(std::holds_alternative<Error>(outcome));
    CHECK(std::get<Error>(outcome).peer_ == "127.0.0.1:1");
}

// Guards against a host list that contains a change before the configured lag, or without a new sequence number.
TEST_CASE("the host list contains a change after the configured lag")
{
    auto fixture = Fixture {};
    const auto list = [&] {
        return std::get<HostList>(attempt([&] {
            return fixture.client_.hostList();
        }));
    };
    CHECK(list() == HostList {});
    fixture.control("hosts", R"({"hosts": [{"name": "b1", "address": "127.0.0.9", "leaving": true}], "lag_ms": 100})");
    CHECK(list().hosts_.empty());
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    CHECK(list() == HostList { 1, { ListedHost { "b1", "127.0.0.9", true } } });
}

// Guards against pooled connections being used by two threads at the same time: each thread must read its own values.
TEST_CASE("one client can be used by many threads")
{
    auto fixture = Fixture({}, absl::Seconds(10));
    auto wrongReads = std::atomic<int> { 0 };
    auto threads = std::vector<std::thread> {};
    for (auto number = 0; number < 16; ++number) {
        threads.emplace_back([&fixture, &wrongReads, number] {
            const auto key = "thread/" + std::to_string(number);
            for (auto round = 0; round < 30; ++round) {
                const auto before = fixture.get(key);
                const auto version = std::holds_alternative<StoreEntry>(before) ? std::get<StoreEntry>(before).version_ : -1;
                const auto value = key + "#" + std::to_string(round);
                const auto written = fixture.swap(key, version, value);
                const auto after = fixture.get(key);
                const auto isCorrect = std::holds_alternative<SwapResult>(written) && std::get<SwapResult>(written).swapped_
                    && std::holds_alternative<StoreEntry>(after) && std::get<StoreEntry>(after).value_ == value;
                wrongReads += isCorrect ? 0 : 1;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(wrongReads == 0);
}

// Guards against using an answer that no HTTP client may accept, such as one whose status is 000 or whose header names hold control bytes.
TEST_CASE("a response of the store with a broken status or header line is an error")
{
    for (const auto &broken : brokenResponses("", R"({"value":"v","version":3})")) {
        CAPTURE(broken.title_);
        const auto server = ScriptedServer("127.0.0.1", [&](const ScriptedRequest &) {
            return ScriptedReply { broken.bytes_, absl::ZeroDuration(), true };
        });
        auto client = StoreClient(StoreSettings { server.address(), absl::Seconds(2) });
        CHECK(std::holds_alternative<Error>(attempt([&] {
            return client.get("head");
        })));
        CHECK(messageOf(attempt([&] {
                  return client.compareAndSwap("head", 2, "v");
              })).find("the write may have taken effect")
              != std::string::npos);
    }
}

// Guards against a store that exhausts memory or occupies a thread by an answer without end.
TEST_CASE("a response of the store without an end is an error within a bounded size and time")
{
    // A body of the largest size, eight bytes of framing for each of its bytes, and the buffers of both sockets.
    constexpr auto maximumSentBytes = 9 * HttpCallLimits {}.body_ + std::size_t { 16 } * 1024 * 1024;
    constexpr auto timeLimit = absl::Seconds(10);
    for (const auto &endlessCase : endlessResponses("")) {
        CAPTURE(endlessCase.title_);
        const auto server = ScriptedServer("127.0.0.1", [&](const ScriptedRequest &) {
            return endlessReply(endlessCase.prefix_, endlessCase.repeated_);
        });
        auto client = StoreClient(StoreSettings { server.address(), absl::Seconds(2) });
        const auto startedAt = monotonicNow();
        CHECK(std::holds_alternative<Error>(attempt([&] {
            return client.get("head");
        })));
        CHECK(monotonicNow() - startedAt < timeLimit);
        CHECK(server.sentBytes() < maximumSentBytes);
    }
}
