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

/** A stored value. */
struct StoreEntry
{
    std::string value_;
    /** Grows with each write of the key; 0 when the key is absent. */
    std::int64_t version_ = 0;

    auto operator==(const StoreEntry &other) const -> bool = default;
};

/** What a compare-and-swap did. */
struct SwapResult
{
    /** False when the key had another version. */
    bool swapped_ = false;
    /** The entry after the call. */
    StoreEntry entry_;

    auto operator==(const SwapResult &other) const -> bool = default;
};

/** One machine of the platform's host list. */
struct ListedHost
{
    std::string name_;
    std::string address_;
    bool leaving_ = false;

    auto operator==(const ListedHost &other) const -> bool = default;
};

/** The platform's lagging list of hosts. */
struct HostList
{
    /** Grows with each change of the list. */
    std::int64_t sequence_ = 0;
    std::vector<ListedHost> hosts_;

    auto operator==(const HostList &other) const -> bool = default;
};

/** Where the store is and how long a call may take. */
struct StoreSettings
{
    /** IP address and port. */
    std::string address_;
    absl::Duration timeout_ = absl::Milliseconds(500);

    auto operator==(const StoreSettings &other) const -> bool = default;
};

/** Calls one store. Every call opens its own connection or reuses an idle one; safe to call from several threads. */
class StoreClient
{
public:
    explicit StoreClient(StoreSettings settings);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    auto operator=(const StoreClient &) -> StoreClient & = delete;

    /** Reads a key. An absent key has version 0. Errors: no answer in time, malformed answer. */
    [[nodiscard]] auto get(const std::string &key) -> Result<StoreEntry>;

    /** Waits until the key has another version than the known one, at most the given time, and reads it. Errors: as for get. */
    [[nodiscard]] auto watch(const std::string &key, std::int64_t knownVersion, absl::Duration wait) -> Result<StoreEntry>;

    /**
     * Writes a key if it has the expected version (0: absent). With a positive time to live the entry expires.
     * Errors: no answer in time; the write may then have taken effect.
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
