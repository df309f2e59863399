#include "process/configurationwatcher.h"

#include "core/clock.h"
#include "core/digest.h"
#include "core/testaddress.h"
#include "generated/Peer.h"
#include "process/peerserver.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>

using namespace lycheecleat;

namespace
{

/** Longest time to wait for a condition; equals the system's bound for a configuration change to be active on all hosts. */
constexpr auto propagationTimeout = absl::Seconds(6);

/** An in-memory store. */
class MemoryStore
{
public:
    auto put(const std::string &key, const std::string &value) -> void
    {
        const auto lock = absl::MutexLock(&mutex_);
        entries_[key] = StoreEntry { value, ++version_ };
    }

    auto write(const Bundle &bundle) -> void
    {
        for (const auto &[digest, content] : bundle.chunks_) {
            put(chunkKeyPrefix + digest, content);
        }
        put(headKey, serializeHead(bundle.head_));
    }

    auto get(const std::string &key) -> Result<StoreEntry>
    {
        const auto lock = absl::MutexLock(&mutex_);
        const auto found = entries_.find(key);
        return found == entries_.end() ? StoreEntry {} : found->second;
    }

    auto watch(const std::string &key, std::int64_t knownVersion, absl::Duration wait) -> Result<StoreEntry>
    {
        const auto end = monotonicNow() + wait;
        auto entry = get(key).value();
        while (entry.version_ == knownVersion && monotonicNow() < end) {
            absl::SleepFor(absl::Milliseconds(10));
            entry = get(key).value();
        }
        return entry;
    }

private:
    absl::Mutex mutex_;
    std::int64_t version_ = 0;
    std::map<std::string, StoreEntry> entries_;
};

auto storeFunctions(MemoryStore &store) -> StoreReadFunctions
{
    return StoreReadFunctions {
        [&store](const std::string &key) {
            return store.get(key);
        },
        [&store](const std::string &key, std::int64_t knownVersion, absl::Duration wait) {
            return store.watch(key, knownVersion, wait);
        },
        []() -> Result<HostList> {
            return HostList { 7, { ListedHost { "b1", "", true } } };
        },
    };
}

auto unreachableStore() -> StoreReadFunctions
{
    return StoreReadFunctions {
        [](const std::string &) -> Result<StoreEntry> {
            return makeError("read", "store", "unreachable");
        },
        [](const std::string &, std::int64_t, absl::Duration) -> Result<StoreEntry> {
            return makeError("watch", "store", "unreachable");
        },
        []() -> Result<HostList> {
            return makeError("host list", "store", "unreachable");
        },
    };
}

auto peerAddress(int index) -> std::string
{
    return testIp(7, index + 1) + ":19071";
}

auto hostName(int index) -> std::string
{
    return fmt::format("host-{}", index);
}

/** Rules with three hosts in one zone, and a rate that identifies the revision. */
auto makeRules(int rate) -> RuleFiles
{
    auto files = RuleFiles {
        { "00-platform.yaml", "kind: platform\nname: platform\nstore_zones: [zone-a]\n" },
        { "10-region.yaml", "kind: region\nname: north\nzones: [zone-a]\n" },
    };
    for (auto index = 0; index < 3; ++index) {
        files.push_back(
            { fmt::format("20-host-{}.yaml", index),
              fmt::format(
                  "kind: entry-host\nname: {}\nzone: zone-a\naddress: {}:19070\npeer: {}\n", hostName(index), testIp(7, index + 1), peerAddress(index)) });
    }
    files.push_back({ "30-organisation.yaml", fmt::format("kind: organisation\nname: org\nrate: {}/s\nburst: 10\n", rate) });
    return files;
}

auto makeBundle(std::int64_t revision, int rate) -> Bundle
{
    return packBundle(makeRules(rate), revision, {}).value();
}

/** The components of a daemon that propagate configurations. */
class Node : public peer::PeerNull
{
public:
    Node(int index, StoreReadFunctions store)
        : freshness_("zone-a")
        , membership_(MembershipServices { hostName(index),
                                           &peers_,
                                           [this, index] {
                                               return stateOf(index);
                                           },
                                           [this](const PeerUpdate &update) {
                                               configurationWatcher_.handlePeerState(update);
                                           } })
        , configurationWatcher_(ConfigurationWatcherServices { hostName(index),
                                                               "zone-a",
                                                               std::move(store),
                                                               &configuration_,
                                                               &freshness_,
                                                               &membership_,
                                                               &peers_,
                                                               [this](const ConfigurationPointer &next) {
                                                                   membership_.setHosts(monotonicNow(), next->entryHosts_);
                                                               },
                                                               [this](const std::vector<std::string> &) {
                                                                   ++leavingUpdates_;
                                                               } })
        , server_(peerAddress(index), std::make_shared<peer::PeerProcessor>(std::shared_ptr<peer::PeerIf>(this, [](peer::PeerIf *) {})))
    {
        REQUIRE(server_.start());
        membership_.start();
        configurationWatcher_.start();
    }

    ~Node() override
    {
        configurationWatcher_.stop();
        membership_.stop();
        server_.stop();
    }

    auto exchange(peer::HostState &reply, const peer::HostState &sender) -> void override
    {
        membership_.receive(monotonicNow(), sender);
        reply = membership_.ownState();
    }

    auto fetchBundle(peer::ConfigurationBundle &reply, std::int64_t revision) -> void override
    {
        reply = configurationWatcher_.bundleFor(revision);
    }

    [[nodiscard]] auto revision() const -> std::int64_t
    {
        return configuration_.get()->revision_;
    }

    [[nodiscard]] auto age() const -> absl::Duration
    {
        return freshness_.ageAt(monotonicNow());
    }

    [[nodiscard]] auto counts() const -> ConfigurationWatcherCounts
    {
        return configurationWatcher_.counts();
    }

    [[nodiscard]] auto rate() const -> double
    {
        return configuration_.get()->organisations_.at(0).rate_;
    }

private:
    auto stateOf(int index) -> peer::HostState
    {
        auto state = peer::HostState {};
        state.name = hostName(index);
        state.run = "run";
        state.zone = "zone-a";
        state.peerAddress = peerAddress(index);
        state.revision = configuration_.get()->revision_;
        state.digest = configuration_.get()->digest_;
        state.knowledgeAgeMicros = -1;
        configurationWatcher_.fillHostListState(state);
        return state;
    }

    CurrentConfiguration configuration_;
    FreshnessTracker freshness_;
    PeerClients peers_;
    Membership membership_;
    ConfigurationWatcher configurationWatcher_;
    PeerServer server_;
    std::atomic<int> leavingUpdates_ = 0;
};

auto becomesTrueWithin(absl::Duration bound, const std::function<bool()> &condition) -> bool
{
    const auto end = monotonicNow() + bound;
    while (!condition()) {
        if (monotonicNow() > end) {
            return false;
        }
        absl::SleepFor(absl::Milliseconds(5));
    }
    return true;
}

}

// Guards against hosts that get changes only from the store: here just one of three can reach it.
TEST_CASE("a revision propagates to hosts that cannot reach the store")
{
    auto store = MemoryStore();
    store.write(makeBundle(1, 100));
    auto first = Node(0, storeFunctions(store));
    auto second = Node(1, unreachableStore());
    auto third = Node(2, unreachableStore());
    const auto allAt = [&](std::int64_t revision) {
        return first.revision() == revision && second.revision() == revision && third.revision() == revision;
    };
    // The other hosts have no peer addresses yet; they learn the address to fetch from when the first host exchanges with them.
    CHECK(becomesTrueWithin(propagationTimeout, [&] {
        return allAt(1);
    }));
    for (auto revision = 2; revision <= 5; ++revision) {
        store.write(makeBundle(revision, 100 * revision));
        CHECK(becomesTrueWithin(propagationTimeout, [&] {
            return allAt(revision);
        }));
        CHECK(third.rate() == 100 * revision);
    }
}

// Guards against a configuration that goes back because the store was restored to an older state, and against an outdated store that makes a host's
// store state fresh.
TEST_CASE("an older revision from the store is rejected and doesn't refresh the store state")
{
    auto store = MemoryStore();
    store.write(makeBundle(5, 500));
    auto node = Node(0, storeFunctions(store));
    REQUIRE(becomesTrueWithin(propagationTimeout, [&] {
        return node.revision() == 5 && node.age() < absl::Seconds(1);
    }));
    store.write(makeBundle(4, 400));
    CHECK(becomesTrueWithin(propagationTimeout, [&] {
        return node.counts().rejectedHeads_ >= 2;
    }));
    CHECK(node.revision() == 5);
    CHECK(node.rate() == 500);
    CHECK(node.age() > absl::Milliseconds(400));
    store.write(makeBundle(6, 600));
    CHECK(becomesTrueWithin(propagationTimeout, [&] {
        return node.revision() == 6 && node.age() < absl::Seconds(1);
    }));
}

TEST_CASE("another digest for the current revision is rejected")
{
    auto store = MemoryStore();
    store.write(makeBundle(5, 500));
    auto node = Node(0, storeFunctions(store));
    REQUIRE(becomesTrueWithin(propagationTimeout, [&] {
        return node.revision() == 5;
    }));
    store.write(makeBundle(5, 501));
    CHECK(becomesTrueWithin(propagationTimeout, [&] {
        return node.counts().rejectedHeads_ >= 1;
    }));
    CHECK(node.rate() == 500);
}

// Guards against an invalid revision, written to the store without the checks of the command-line tool, that takes hosts out of service.
TEST_CASE("a revision with invalid rules or damaged chunks is not activated")
{
    auto store = MemoryStore();
    store.write(makeBundle(1, 100));
    auto node = Node(0, storeFunctions(store));
    REQUIRE(becomesTrueWithin(propagationTimeout, [&] {
        return node.revision() == 1;
    }));
    store.write(makeBundle(2, -1));
    CHECK(becomesTrueWithin(propagationTimeout, [&] {
        return node.counts().rejectedHeads_ >= 1;
    }));
    auto damaged = makeBundle(3, 300);
    for (auto &[digest, content] : damaged.chunks_) {
        content += " ";
    }
    store.write(damaged);
    CHECK(becomesTrueWithin(propagationTimeout, [&] {
        return node.counts().rejectedHeads_ >= 2;
    }));
    CHECK(node.revision() == 1);
    store.write(makeBundle(4, 400));
    CHECK(becomesTrueWithin(propagationTimeout, [&] {
        return node.revision() == 4;
    }));
}
