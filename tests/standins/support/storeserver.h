/** In-memory stand-in for the store: compare-and-swap, leases, watches, the host list, rate limits and injected faults. */
#pragma once

#include "support/httpserver.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace standin
{

/** Rate limits of the store. */
struct StoreLimits
{
    /** Reads, watches and host list calls per second; 0 means no limit. Calls beyond the limit get status 429. */
    double readsPerSecond_ = 0;
    /** Writes and lease calls per second; 0 means no limit. Calls beyond the limit get status 429. */
    double writesPerSecond_ = 0;
};

/**
 * Serves the store protocol under /v1/ and the control calls under /control/:
 * POST outage {"on"}, slow {"delay_ms"}, lose-replies {"count", "prefix"}, snapshot, rewind, hosts {"hosts", "lag_ms"}; GET counts, dump.
 * lose-replies drops the responses of that many writes to keys with the prefix; the writes take effect.
 * Control calls also work during an outage. Thread-safe.
 */
class StoreServer
{
public:
    explicit StoreServer(StoreLimits limits);
    ~StoreServer();
    StoreServer(const StoreServer &) = delete;
    auto operator=(const StoreServer &) -> StoreServer & = delete;

    /** Listens on "IP:PORT" (port 0: any). */
    [[nodiscard]] auto start(const std::string &address) -> bool;
    [[nodiscard]] auto address() const -> const std::string &;

private:
    using Clock = std::chrono::steady_clock;

    struct Entry
    {
        std::string value_;
        std::int64_t version_ = 0;
        std::optional<Clock::time_point> expiry_;
        std::string lease_;
    };

    struct Lease
    {
        std::chrono::milliseconds timeToLive_ {};
        Clock::time_point expiry_;
    };

    /** The state that the control calls snapshot and rewind save and restore. */
    struct Data
    {
        std::map<std::string, Entry> entries_;
        std::map<std::string, Lease> leases_;
        /** Shared by all keys, so that a key that was removed and written again does not repeat a version. */
        std::int64_t lastVersion_ = 0;
    };

    struct HostListChange
    {
        Clock::time_point visibleAt_;
        std::string hostsJson_;
    };

    /** Token bucket whose capacity is the calls of one second. */
    struct TokenBucket
    {
        double tokensPerSecond_ = 0;
        double tokens_ = 0;
        Clock::time_point updatedAt_;
    };

    /** Faults set by control calls. */
    struct Faults
    {
        bool isOutage_ = false;
        std::chrono::milliseconds delay_ {};
        int responsesToDrop_ = 0;
        std::string droppedResponsePrefix_;
    };

    /** A read of a key, which waits at most wait_ while the key has the version knownVersion_. */
    struct KeyRead
    {
        std::string key_;
        std::int64_t knownVersion_ = 0;
        std::chrono::milliseconds wait_ {};
    };

    using Lock = std::unique_lock<std::mutex>;

    auto handle(const HttpRequest &request) -> HttpResponse;
    auto handleStore(const HttpRequest &request) -> HttpResponse;
    auto handleControl(const HttpRequest &request) -> HttpResponse;
    auto readKey(Lock &lock, const KeyRead &call) -> HttpResponse;
    auto writeKey(const std::string &key, const HttpRequest &request) -> HttpResponse;
    auto handleLease(const std::string &subpath, const HttpRequest &request) -> HttpResponse;
    auto hostList() -> HttpResponse;
    auto setHosts(const std::string &text) -> HttpResponse;
    auto counts() -> HttpResponse;
    auto dump() -> HttpResponse;
    auto removeExpired(Clock::time_point now) -> void;
    auto removeLease(const std::string &id) -> void;
    auto nextExpiry(Clock::time_point limit) -> Clock::time_point;
    auto takeToken(TokenBucket &bucket) -> bool;

    std::mutex mutex_;
    std::condition_variable changed_;
    Data data_;
    Data snapshot_;
    Faults faults_;
    TokenBucket readBucket_;
    TokenBucket writeBucket_;
    std::map<std::string, std::int64_t> counts_;
    std::int64_t waitingWatches_ = 0;
    std::int64_t lastLeaseId_ = 0;
    std::int64_t hostSequence_ = 0;
    std::string hostsJson_ = "[]";
    std::deque<HostListChange> pendingHosts_;
    bool isStopping_ = false;
    HttpServer server_;
};

}
