/** Stand-in for the platform's key-value store: revisions, watches, conditional writes, leases, a rate limit, and faults that can be injected at run time. */
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

/** Fault injected into the calls to one address of the store. */
enum class StoreFault {
    None,
    /** Responds with status 503 without executing the call. */
    Unavailable,
    /** Responds with status 429 without executing the call. */
    RateLimited,
    /** Closes the connection without executing the call. */
    ConnectionReset,
    /** Sends no response and does not execute the call. */
    Unresponsive,
    /** Executes writes but drops their responses; reads get a response. */
    LostWriteResponses,
    /** Sends a status line of a megabyte and closes the connection, and does not execute the call. */
    LongStatusLine,
    /** Sends a head that continues until the peer closes or the byte limit is reached, and does not execute the call. */
    EndlessHead,
    /** Sends a body without a length that continues until the peer closes or the byte limit is reached, and does not execute the call. */
    EndlessBody,
};

/** Keeps items in memory and serves them on a separate address for each entry host, so that a fault can be limited to some hosts. Thread-safe. */
class KeyValueServer
{
public:
    KeyValueServer() = default;
    ~KeyValueServer();
    KeyValueServer(const KeyValueServer &) = delete;
    auto operator=(const KeyValueServer &) -> KeyValueServer & = delete;

    /** Listens on a further address (port 0: any) and returns it with the bound port. Throws when the address cannot be used. */
    auto listen(const std::string &address) -> std::string;

    /** Writes an item directly, as the operator and the backend servers do; not subject to faults. */
    auto put(const std::string &key, const std::string &value) -> void;
    auto remove(const std::string &key) -> void;

    /** Whether a key is present. */
    [[nodiscard]] auto contains(const std::string &key) -> bool;

    /** Sets the fault of one address, or of all addresses if it is empty. Pending watches on an address with a fault end without a response. */
    auto setFault(const std::string &address, StoreFault fault) -> void;

    /** Discards the history, so that watches from earlier revisions fail with status 410 and clients must read all items again. */
    auto compact() -> void;

    /** Saves a copy of the items, the history and the leases, from which restoreCopy() restores. */
    auto saveCopy() -> void;

    /**
     * Goes back to the saved copy and begins a new era: what was written since is lost, and revisions and lease numbers are issued again. Pending watches end
     * without a response.
     */
    auto restoreCopy() -> void;

    /** Expires all leases and removes their items, as in an outage longer than their time to live. */
    auto expireAllLeases() -> void;

    /** Sets the number of calls per second beyond which calls get status 429; 0 means no limit. */
    auto setCallsPerSecond(int calls) -> void;

    /** Number of calls with this name, such as "kv-watch". */
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

    /** What a copy of the store contains. */
    struct Copy
    {
        std::map<std::string, Item> items_;
        std::vector<Event> history_;
        std::map<std::int64_t, Lease> leases_;
        std::int64_t revision_ = 1;
        std::int64_t lastLeaseId_ = 0;
    };

    auto handle(std::size_t endpoint, const standin::HttpRequest &request) -> standin::HttpResponse;
    auto respond(Lock &lock, std::size_t endpoint, const standin::HttpRequest &request) -> standin::HttpResponse;
    auto stayUnresponsive(Lock &lock, const standin::HttpRequest &request) -> standin::HttpResponse;
    static auto sendTooMuch(Lock &lock, StoreFault fault, const standin::HttpRequest &request) -> standin::HttpResponse;
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
    std::int64_t era_ = 1;
    Copy copy_;
    int callsPerSecond_ = 0;
    int callsInWindow_ = 0;
    Clock::time_point rateWindowStart_;
    std::map<std::string, int> callCounts_;
    std::vector<Endpoint> endpoints_;
};

}
