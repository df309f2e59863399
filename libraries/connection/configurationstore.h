/** Reads the configuration from the store and applies operators' edits to it. */
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

/** Step of the error that applyEdits gives when the merged rules are wrong; its message holds one problem a line. */
inline constexpr auto checkStep = "check rules";

/** Step of the error that applyEdits gives when other writers changed the head at every try. */
inline constexpr auto replaceHeadStep = "replace head record";

/** The two store calls that configuration needs, so that tests can stand in for the store. */
struct StoreFunctions
{
    std::function<Result<StoreEntry>(const std::string &key)> get_;
    std::function<Result<SwapResult>(const std::string &key, std::int64_t expectedVersion, const std::string &value)> compareAndSwap_;
};

/** The functions of a client, which outlives them. */
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

/** Reads the head and its chunks. An empty store gives revision 0. Errors: no answer in time, a chunk is missing or malformed. */
[[nodiscard]] auto readBundle(const StoreFunctions &store) -> Result<Bundle>;

/**
 * Applies edits under a change id that is unique to them and gives the revision that holds them. Edits without effect write nothing.
 * Errors: a conflict (mergeStep), wrong rules (checkStep), too many concurrent writers (replaceHeadStep), or the store. After an error of the
 * store the change may have taken effect; a repeat with the same change id finds it as long as the head lists it.
 */
[[nodiscard]] auto applyEdits(const StoreFunctions &store, const std::vector<FileEdit> &edits, const std::string &changeId) -> Result<std::int64_t>;

/** As above, on a client. */
[[nodiscard]] inline auto readBundle(StoreClient &store) -> Result<Bundle>
{
    return readBundle(storeFunctions(store));
}

/** As above, on a client. */
[[nodiscard]] inline auto applyEdits(StoreClient &store, const std::vector<FileEdit> &edits, const std::string &changeId) -> Result<std::int64_t>
{
    return applyEdits(storeFunctions(store), edits, changeId);
}

}
