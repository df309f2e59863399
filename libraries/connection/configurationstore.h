/** Reads the configuration from the store and applies operators' edits by compare-and-swap of the head record. */
#pragma once

#include "connection/storeclient.h"
#include "core/error.h"
#include "version/bundle.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lycheecleat
{

/**
 * Error::step_ of the error that applyEdits returns when a file name is not allowed or the merged rules are invalid. For invalid rules, the message has one
 * problem per line.
 */
inline constexpr auto checkStep = "check rules";

/** Error::step_ of the error that applyEdits returns when concurrent writers changed the head during every attempt. */
inline constexpr auto replaceHeadStep = "replace head record";

/** The store calls used here, so that tests can replace the store. */
struct StoreFunctions
{
    std::function<Result<StoreEntry>(const std::string &key)> get_;
    std::function<Result<SwapResult>(const std::string &key, std::int64_t expectedVersion, const std::string &value)> compareAndSwap_;
};

/** Functions that call a client. The client must outlive them. */
[[nodiscard]] inline auto storeFunctions(StoreClient &store) -> StoreFunctions
{
    return {
        [&store](const std::string &key) {
            return store.get(key);
        },
        [&store](const std::string &key, std::int64_t expectedVersion, const std::string &value) {
            return store.compareAndSwap(key, expectedVersion, value);
        },
    };
}

/** Reads the head and its chunks. An empty store has revision 0. Errors: no response in time, malformed head, missing chunk. */
[[nodiscard]] auto readBundle(const StoreFunctions &store) -> Result<Bundle>;

/**
 * Applies edits under a unique change id and returns the revision that contains them. Edits without effect write nothing.
 * Errors: a conflict (mergeStep), an invalid file name or invalid rules (checkStep), too many concurrent writers (replaceHeadStep), or a failed store call.
 * After a failed store call the change may have taken effect; a retry with the same change id is idempotent as long as the head lists the id.
 */
[[nodiscard]] auto applyEdits(const StoreFunctions &store, const std::vector<FileEdit> &edits, const std::string &changeId) -> Result<std::int64_t>;

/** As above, with a client. */
[[nodiscard]] inline auto readBundle(StoreClient &store) -> Result<Bundle>
{
    return readBundle(storeFunctions(store));
}

/** As above, with a client. */
[[nodiscard]] inline auto applyEdits(StoreClient &store, const std::vector<FileEdit> &edits, const std::string &changeId) -> Result<std::int64_t>
{
    return applyEdits(storeFunctions(store), edits, changeId);
}

}
