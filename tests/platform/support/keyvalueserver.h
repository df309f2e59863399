/** Stand-in for the platform's store: revisions, watches, conditional writes, leases, call rates, and faults that are switched on while it runs. */
#pragma once

#include "support/httpserver.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace platformtest
{

/** What the store does to the calls that come by one of its addresses. */
enum class StoreFault {
    None,
    /** Answers 503; nothing is done. */
    Unavailable,
    /** Answers 429; nothing is done. */
    RateLimited,
    /** Closes the connection; nothing is done. */
    ConnectionReset,
    /** Does not answer; nothing is done. */
    Unresponsive,
    /** Does what a write asks and loses the answer; reads are answered. */
    LostWriteResponses,
};

/** Keeps items in memory and serves them on one address for each entry host, so that a fault can be limited to some hosts. Thread-safe. */
class KeyValueServer
{
public:
    KeyValueServer() = default;
    ~KeyValueServer();
    KeyValueServer(const KeyValueServer &) = delete;
    auto operator=(const KeyValueServer &) -> KeyValueServer & = delete;

    /** Listens on a further address (port 0: any) and gives it with its port. Throws when it cannot be used. */
    auto listen(const std::string &address) -> std::string;

    /** Writes as the operator and the backend servers do; not subject to faults. */
    auto put(const std::string &key, const std::string &value) -> void;
    auto remove(const std::string &key) -> void;

    /** Whether a key is present. */
    [[nodiscard]] auto contains(const std::string &key) -> bool;

    /** Sets the fault of one address, or of all with an empty address. Waiting watches end. */
    auto setFault(const std::string &address, StoreFault fault) -> void;

    /** Forgets the history, so that watches must read all again. */
    auto compact() -> void;

    /** Ends all leases, as an outage does in which they run out. */
    auto expireAllLeases() -> void;

    /** Calls beyond this number a second are answered 429; 0 for no limit. */
    auto setCallsPerSecond(int calls) -> void;

    /** Calls by name of the last path part, such as "kv-watch". */
    [[nodiscard]] auto calls(const std::string &name) -> int;

private:
    using Clock = std::chrono::steady_clock;
    using Lock = std::unique_lock<std::mutex>;

    struct Item
    {
        std::string value_;
        std::int64_t revision_ = 0;
        std::int64_t created_ = 0;
        std::int64_t lease_ = 0;
    };
    struct Event
    {
        std::string key_;
        std::int64_t revision_ = 0;
        bool isDeleted_ = false;
        Item item_;
    };
    struct Lease
    {
        std::chrono::milliseconds timeToLive_;
        Clock::time_point expiresAt_;
    };
    struct Endpoint
    {
        std::string address_;
        StoreFault fault_ = StoreFault::None;
        std::unique_ptr<standin::HttpServer> server_;
    };

    auto handle(std::size_t endpoint, const standin::HttpRequest &request) -> standin::HttpResponse;
    auto serve(Lock &lock, std::size_t endpoint, const std::string &call, const standin::HttpRequest &request) -> standin::HttpResponse;
    auto readRange(const standin::HttpRequest &request) -> standin::HttpResponse;
    auto readKey(const standin::HttpRequest &request) -> standin::HttpResponse;
    auto watch(Lock &lock, std::size_t endpoint, const standin::HttpRequest &request) -> standin::HttpResponse;
    auto transact(const standin::HttpRequest &request) -> standin::HttpResponse;
    auto handleLease(const std::string &call, const standin::HttpRequest &request) -> standin::HttpResponse;
    auto write(const std::string &key, const std::string &value, std::int64_t lease) -> void;
    auto erase(const std::string &key) -> void;
    auto removeLease(std::int64_t lease) -> void;
    auto removeExpiredLeases() -> void;
    auto isWithinRate() -> bool;

    std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopping_ = false;
    std::map<std::string, Item> items_;
    std::vector<Event> history_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t revision_ = 1;
    std::int64_t firstAvailableRevision_ = 1;
    std::int64_t lastLeaseId_ = 0;
    int callsPerSecond_ = 0;
    int callsInWindow_ = 0;
    Clock::time_point rateWindowStart_;
    std::map<std::string, int> calls_;
    std::vector<Endpoint> endpoints_;
};

}
