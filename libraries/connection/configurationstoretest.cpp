#include "connection/configurationstore.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace lycheecleat;

namespace
{

/** Fault injected into one call of the fake store. */
enum class Fault {
    None,
    /** The call has no effect and the caller gets an error. */
    LostRequest,
    /** The call takes effect and the caller gets an error. */
    LostReply,
};

/** An in-memory store with injected faults. */
struct FakeStore
{
    std::map<std::string, StoreEntry> entries_;
    /** Called once, before the next compare-and-swap of the head, for example to apply another operator's edit. */
    std::function<void()> beforeHeadSwap_;
    /** Called once, after the next compare-and-swap of the head and before its reply is returned or lost. */
    std::function<void()> afterHeadSwap_;
    /** Faults of the next head swaps, in order. */
    std::vector<Fault> headSwapFaults_;
    /** Faults of the next chunk writes, in order. */
    std::vector<Fault> chunkFaults_;
    int writes_ = 0;
};

auto takeFault(std::vector<Fault> &faults) -> Fault
{
    if (faults.empty()) {
        return Fault::None;
    }
    const auto fault = faults.front();
    faults.erase(faults.begin());
    return fault;
}

auto swapEntry(FakeStore &store, const std::string &key, std::int64_t expectedVersion, const std::string &value) -> SwapResult
{
    ++store.writes_;
    auto &entry = store.entries_[key];
    if (entry.version_ != expectedVersion) {
        return { false, entry };
    }
    entry = { value, entry.version_ + 1 };
    return { true, entry };
}

auto functionsOf(FakeStore &store) -> StoreFunctions
{
    return {
        [&store](const std::string &key) -> Result<StoreEntry> {
            const auto found = store.entries_.find(key);
            return found == store.entries_.end() ? StoreEntry {} : found->second;
        },
        [&store](const std::string &key, std::int64_t expectedVersion, const std::string &value) -> Result<SwapResult> {
            const auto isHead = key == headKey;
            if (isHead && store.beforeHeadSwap_) {
                const auto hook = std::exchange(store.beforeHeadSwap_, nullptr);
                hook();
            }
            const auto fault = takeFault(isHead ? store.headSwapFaults_ : store.chunkFaults_);
            if (fault == Fault::LostRequest) {
                return makeError("write", "fake store", "no answer");
            }
            auto result = swapEntry(store, key, expectedVersion, value);
            if (isHead && store.afterHeadSwap_) {
                const auto hook = std::exchange(store.afterHeadSwap_, nullptr);
                hook();
            }
            if (fault == Fault::LostReply) {
                return makeError("write", "fake store", "no answer");
            }
            return result;
        },
    };
}

using ApplyOutcome = std::variant<std::int64_t, Error>;

auto apply(FakeStore &store, const std::vector<FileEdit> &edits, const std::string &changeId) -> ApplyOutcome
{
    return attempt([&]() {
        return applyEdits(functionsOf(store), edits, changeId);
    });
}

auto storedFiles(FakeStore &store) -> RuleFiles
{
    const auto outcome = attempt([&]() -> Result<RuleFiles> {
        BOOST_LEAF_AUTO(bundle, readBundle(functionsOf(store)));
        return unpackBundle(bundle);
    });
    REQUIRE(std::holds_alternative<RuleFiles>(outcome));
    return std::get<RuleFiles>(outcome);
}

auto organisation(const std::string &name, int rate) -> std::string
{
    return "kind: organisation\nname: " + name + "\nburst: 1\nrate: " + std::to_string(rate) + "/s\n";
}

auto addition(const std::string &name, int rate = 1) -> FileEdit
{
    return { name + ".yaml", std::nullopt, organisation(name, rate) };
}

struct LostMessageCase
{
    std::string name_;
    std::vector<Fault> headFaults_;
    std::vector<Fault> chunkFaults_;
    /** Whether enough calls succeed for the change to be applied. */
    bool succeeds_;
};

}

// Guards against edits that are accepted but not stored, and against revisions that do not increase.
TEST_CASE("applyEdits stores edits under increasing revisions")
{
    auto store = FakeStore {};
    CHECK(apply(store, { addition("a") }, "c1") == ApplyOutcome { std::int64_t { 1 } });
    CHECK(apply(store, { addition("b") }, "c2") == ApplyOutcome { std::int64_t { 2 } });
    CHECK(storedFiles(store) == RuleFiles { { "a.yaml", organisation("a", 1) }, { "b.yaml", organisation("b", 1) } });
}

// Guards against needless revisions, each of which every host has to fetch and apply.
TEST_CASE("applyEdits writes nothing when nothing changes")
{
    auto store = FakeStore {};
    CHECK(apply(store, { addition("a") }, "c1") == ApplyOutcome { std::int64_t { 1 } });
    const auto writes = store.writes_;
    CHECK(apply(store, { addition("a") }, "c2") == ApplyOutcome { std::int64_t { 1 } });
    CHECK(store.writes_ == writes);
}

// Guards against distributing invalid rules, including rules that are invalid only in combination with another operator's edit.
TEST_CASE("applyEdits writes nothing when the merged rules are invalid")
{
    auto store = FakeStore {};
    const auto key = FileEdit { "k.yaml", std::nullopt, "kind: key\nname: k\norganisation: a\ndigest: " + std::string(64, 'a') + "\nstate: active\n" };
    CHECK(apply(store, { addition("a"), key }, "c1") == ApplyOutcome { std::int64_t { 1 } });
    const auto writes = store.writes_;
    const auto outcome = apply(store, { { "a.yaml", organisation("a", 1), std::nullopt } }, "c2");
    REQUIRE(std::holds_alternative<Error>(outcome));
    CHECK(std::get<Error>(outcome).step_ == checkStep);
    CHECK(std::get<Error>(outcome).message_.find("k.yaml:3: organisation: 'a' is not declared") != std::string::npos);
    CHECK(store.writes_ == writes);
}

// Guards against a lost update between two operators.
TEST_CASE("concurrent edits of different files both succeed")
{
    auto store = FakeStore {};
    auto first = ApplyOutcome {};
    store.beforeHeadSwap_ = [&]() {
        first = apply(store, { addition("a") }, "c1");
    };
    CHECK(apply(store, { addition("b") }, "c2") == ApplyOutcome { std::int64_t { 2 } });
    CHECK(first == ApplyOutcome { std::int64_t { 1 } });
    CHECK(storedFiles(store).size() == 2);
}

// Guards against last-writer-wins between operators who edit the same file.
TEST_CASE("concurrent edits of the same file are a conflict")
{
    auto store = FakeStore {};
    store.beforeHeadSwap_ = [&]() {
        CHECK(apply(store, { addition("a", 1) }, "c1") == ApplyOutcome { std::int64_t { 1 } });
    };
    const auto outcome = apply(store, { addition("a", 2) }, "c2");
    REQUIRE(std::holds_alternative<Error>(outcome));
    CHECK(std::get<Error>(outcome).step_ == mergeStep);
    CHECK(std::get<Error>(outcome).message_.find("a.yaml") != std::string::npos);
    CHECK(storedFiles(store) == RuleFiles { { "a.yaml", organisation("a", 1) } });
}

// Guards against a change being applied twice, or reported as failed although it took effect, after a lost reply.
TEST_CASE("applyEdits tolerates lost requests and replies")
{
    const auto cases = std::vector<LostMessageCase> {
        { "head request lost", { Fault::LostRequest }, {}, true },
        { "head reply lost", { Fault::LostReply }, {}, true },
        { "head request lost twice, then reply lost", { Fault::LostRequest, Fault::LostRequest, Fault::LostReply }, {}, true },
        { "chunk request lost", {}, { Fault::LostRequest }, true },
        { "chunk reply lost", {}, { Fault::LostReply }, true },
        { "chunk requests lost throughout", {}, std::vector<Fault>(100, Fault::LostRequest), false },
        { "head requests lost throughout", std::vector<Fault>(100, Fault::LostRequest), {}, false },
    };
    for (const auto &lostCase : cases) {
        CAPTURE(lostCase.name_);
        auto store = FakeStore {};
        store.headSwapFaults_ = lostCase.headFaults_;
        store.chunkFaults_ = lostCase.chunkFaults_;
        const auto outcome = apply(store, { addition("a") }, "c1");
        if (lostCase.succeeds_) {
            CHECK(outcome == ApplyOutcome { std::int64_t { 1 } });
            CHECK(storedFiles(store).size() == 1);
        } else {
            CHECK(std::holds_alternative<Error>(outcome));
            CHECK(storedFiles(store).empty());
        }
    }
}

// Guards against reporting a conflict of a change with itself after a lost reply, when another operator edits the same file meanwhile.
TEST_CASE("a change whose reply was lost is found even after a later edit of the same file")
{
    auto store = FakeStore {};
    store.headSwapFaults_ = { Fault::LostReply };
    store.afterHeadSwap_ = [&]() {
        CHECK(apply(store, { { "a.yaml", organisation("a", 1), organisation("a", 2) } }, "c2") == ApplyOutcome { std::int64_t { 2 } });
    };
    CHECK(apply(store, { addition("a", 1) }, "c1") == ApplyOutcome { std::int64_t { 2 } });
    CHECK(storedFiles(store) == RuleFiles { { "a.yaml", organisation("a", 2) } });
}

// Guards against publishing a revision that hosts can't read because another program wrote to the key of a chunk.
TEST_CASE("applyEdits fails when a chunk key holds other content")
{
    auto store = FakeStore {};
    const auto packed = attempt([]() {
        return packBundle({ { "a.yaml", organisation("a", 1) } }, 1, {});
    });
    REQUIRE(std::holds_alternative<Bundle>(packed));
    const auto digest = std::get<Bundle>(packed).chunks_.begin()->first;
    store.entries_[chunkKeyPrefix + digest] = { "other", 1 };
    CHECK(std::holds_alternative<Error>(apply(store, { addition("a") }, "c1")));
    CHECK(storedFiles(store).empty());
}
