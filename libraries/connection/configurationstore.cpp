#include "connection/configurationstore.h"

#include "version/rulefolder.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <variant>

namespace lycheecleat
{

namespace
{

// Of n concurrent writers one succeeds per round, so this suffices for about maximumAttempts concurrent writers.
constexpr auto maximumAttempts = 16;
// A failed call usually means an outage, which is reported to the operator instead of retried for long.
constexpr auto maximumFailedCalls = 3;

/** A bundle and the store version of the head from which it was read. */
struct VersionedBundle
{
    Bundle bundle_;
    std::int64_t headVersion_ = 0;
};

/** Result of one attempt to replace the head. */
struct Attempt
{
    /** The revision that contains the change; absent when a concurrent writer replaced the head first. */
    std::optional<std::int64_t> revision_;
};

auto parseEntry(const StoreEntry &entry) -> Result<Head>
{
    return entry.version_ == 0 ? Result<Head>(Head {}) : parseHead(entry.value_);
}

auto readChunk(const StoreFunctions &store, const std::string &digest) -> Result<std::string>
{
    BOOST_LEAF_AUTO(entry, store.get_(chunkKeyPrefix + digest));
    if (entry.version_ == 0) {
        return makeError("read chunk", digest, "the store does not hold the chunk");
    }
    return entry.value_;
}

auto readVersionedBundle(const StoreFunctions &store) -> Result<VersionedBundle>
{
    BOOST_LEAF_AUTO(entry, store.get_(headKey));
    BOOST_LEAF_AUTO(head, parseEntry(entry));
    auto result = VersionedBundle { { head, {} }, entry.version_ };
    for (const auto &[bucket, digest] : head.chunks_) {
        BOOST_LEAF_AUTO(chunk, readChunk(store, digest));
        result.bundle_.chunks_.emplace(digest, chunk);
    }
    return result;
}

auto listsChange(const Head &head, const std::string &changeId) -> bool
{
    return std::find(head.changeIds_.begin(), head.changeIds_.end(), changeId) != head.changeIds_.end();
}

auto requireValid(const RuleFiles &files) -> Result<void>
{
    const auto problems = checkRules(files).problems_;
    if (problems.empty()) {
        return {};
    }
    auto text = std::string {};
    for (const auto &problem : problems) {
        text += text.empty() ? "" : "\n";
        text += describe(problem);
    }
    return makeError(checkStep, "", text);
}

/** Files may be removed under any name, but written only under a valid rule file name. */
auto requireFileNames(const std::vector<FileEdit> &edits) -> Result<void>
{
    for (const auto &edit : edits) {
        if (edit.after_ && !isRuleFileName(edit.name_)) {
            return makeError(
                checkStep, "", fmt::format("'{}' is not allowed as a file name; allowed: a relative path without hidden parts that ends in .yaml", edit.name_));
        }
    }
    return {};
}

/** Creates a chunk. Its key is its digest, so the write is idempotent. */
auto createChunk(const StoreFunctions &store, const std::string &digest, const std::string &content) -> Result<void>
{
    BOOST_LEAF_AUTO(result, store.compareAndSwap_(chunkKeyPrefix + digest, 0, content));
    if (result.entry_.value_ != content) {
        return makeError("write chunk", digest, "the store holds other content under this key");
    }
    return {};
}

auto writeChunk(const StoreFunctions &store, const std::string &digest, const std::string &content) -> Result<void>
{
    for (auto failures = 1; failures < maximumFailedCalls; ++failures) {
        const auto outcome = attempt([&]() {
            return createChunk(store, digest, content);
        });
        if (std::holds_alternative<std::monostate>(outcome)) {
            return {};
        }
    }
    return createChunk(store, digest, content);
}

auto writeMissingChunks(const StoreFunctions &store, const Bundle &current, const Bundle &next) -> Result<void>
{
    for (const auto &[digest, content] : next.chunks_) {
        if (current.chunks_.count(digest) == 0) {
            BOOST_LEAF_CHECK(writeChunk(store, digest, content));
        }
    }
    return {};
}

/** After a failed write, whose reply may have been lost, reads the head and checks whether it lists the change. Errors: the head can't be read. */
auto findAfterFailedWrite(const StoreFunctions &store, const std::string &changeId, const Error &writeError) -> Result<Attempt>
{
    for (auto failures = 1; failures <= maximumFailedCalls; ++failures) {
        const auto outcome = attempt([&]() -> Result<Head> {
            BOOST_LEAF_AUTO(entry, store.get_(headKey));
            return parseEntry(entry);
        });
        if (const auto *head = std::get_if<Head>(&outcome)) {
            return listsChange(*head, changeId) ? Attempt { head->revision_ } : Attempt {};
        }
    }
    const auto message = fmt::format("{}; the head could not be read to check whether change {} took effect", writeError.message_, changeId);
    return makeError(writeError.step_, writeError.peer_, message);
}

auto replaceHead(const StoreFunctions &store, std::int64_t headVersion, const Head &next, const std::string &changeId) -> Result<Attempt>
{
    const auto outcome = attempt([&]() {
        return store.compareAndSwap_(headKey, headVersion, serializeHead(next));
    });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        return findAfterFailedWrite(store, changeId, *error);
    }
    return std::get<SwapResult>(outcome).swapped_ ? Attempt { next.revision_ } : Attempt {};
}

/** One attempt to read, merge, check and write. */
auto tryApply(const StoreFunctions &store, const std::vector<FileEdit> &edits, const std::string &changeId) -> Result<Attempt>
{
    BOOST_LEAF_AUTO(current, readVersionedBundle(store));
    const auto &head = current.bundle_.head_;
    if (listsChange(head, changeId)) {
        return Attempt { head.revision_ };
    }
    BOOST_LEAF_AUTO(files, unpackBundle(current.bundle_));
    BOOST_LEAF_AUTO(merged, mergeEdits(files, edits));
    if (merged == files) {
        return Attempt { head.revision_ };
    }
    BOOST_LEAF_CHECK(requireValid(merged));
    auto changes = head.changeIds_;
    changes.push_back(changeId);
    BOOST_LEAF_AUTO(next, packBundle(merged, head.revision_ + 1, changes));
    BOOST_LEAF_CHECK(writeMissingChunks(store, current.bundle_, next));
    return replaceHead(store, current.headVersion_, next.head_, changeId);
}

}

auto readBundle(const StoreFunctions &store) -> Result<Bundle>
{
    BOOST_LEAF_AUTO(current, readVersionedBundle(store));
    return std::move(current.bundle_);
}

auto applyEdits(const StoreFunctions &store, const std::vector<FileEdit> &edits, const std::string &changeId) -> Result<std::int64_t>
{
    BOOST_LEAF_CHECK(requireFileNames(edits));
    for (auto attempts = 0; attempts < maximumAttempts; ++attempts) {
        BOOST_LEAF_AUTO(outcome, tryApply(store, edits, changeId));
        if (outcome.revision_) {
            return *outcome.revision_;
        }
    }
    return makeError(replaceHeadStep, "", fmt::format("other writers changed the configuration during each of {} attempts", maximumAttempts));
}

}
