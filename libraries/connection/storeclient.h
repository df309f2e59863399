/** Client of the platform's key-value store (HTTP and JSON). */
#pragma once

#include "core/error.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lycheecleat
{

/** A stored value and its version. */
struct StoreEntry
{
    std::string value_;
    /** Increases with each write of the key; 0 when the key is absent. */
    std::int64_t version_ = 0;

    auto operator==(const StoreEntry &other) const -> bool = default;
};

/** The result of a compare-and-swap. */
struct SwapResult
{
    /** Whether the value was written; false when the key had another version. */
    bool swapped_ = false;
    /** The entry after the call. */
    StoreEntry entry_;

    auto operator==(const SwapResult &other) const -> bool = default;
};

/** One entry of the platform's host list. */
struct ListedHost
{
    std::string name_;
    std::string address_;
    bool leaving_ = false;

    auto operator==(const ListedHost &other) const -> bool = default;
};

/** The platform's list of hosts, which may be out of date. */
struct HostList
{
    /** Increases with each change of the list. */
    std::int64_t sequence_ = 0;
    std::vector<ListedHost> hosts_;

    auto operator==(const HostList &other) const -> bool = default;
};

/** Address of the store and timeout of a call. */
struct StoreSettings
{
    /** IP address and port. */
    std::string address_;
    absl::Duration timeout_ = absl::Milliseconds(500);

    auto operator==(const StoreSettings &other) const -> bool = default;
};

/** Calls one store. Each call uses an idle or new connection of its own. Thread-safe. */
class StoreClient
{
public:
    explicit StoreClient(StoreSettings settings);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    auto operator=(const StoreClient &) -> StoreClient & = delete;

    /** Reads a key. An absent key has version 0. Errors: no response in time, call limit reached, error status, malformed response. */
    [[nodiscard]] auto get(const std::string &key) -> Result<StoreEntry>;

    /** Waits until the key's version differs from the known one, at most the given time, and reads the key. Errors: as for get. */
    [[nodiscard]] auto watch(const std::string &key, std::int64_t knownVersion, absl::Duration wait) -> Result<StoreEntry>;

    /**
     * Writes a key if it has the expected version (0: absent). With a positive time to live the entry expires.
     * Errors: as for get, or the value is not valid UTF-8. The message says when the write may have taken effect.
     */
    [[nodiscard]] auto
    compareAndSwap(const std::string &key, std::int64_t expectedVersion, const std::string &value, absl::Duration timeToLive = absl::ZeroDuration())
        -> Result<SwapResult>;

    /** Reads the host list. Errors: as for get. */
    [[nodiscard]] auto hostList() -> Result<HostList>;

private:
    struct ConnectionPool;
    StoreSettings settings_;
    std::unique_ptr<ConnectionPool> connections_;
};

}
