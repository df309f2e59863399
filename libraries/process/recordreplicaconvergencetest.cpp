#include "process/recordreplica.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto replicaCount = std::size_t { 6 };
constexpr auto nameCount = 12;
constexpr auto stepsPerSeed = 400;
constexpr auto seedCount = 400;
constexpr auto stepsPerRestoration = std::size_t { 100 };

/** Longer than the time for which tombstones are kept. */
constexpr auto longPause = absl::Minutes(3);

/** Maximum number of writes between the two pages of a full read. */
constexpr auto writesWithinRead = 3;

using Random = std::mt19937_64;

auto randomBelow(Random &random, std::size_t limit) -> std::size_t
{
    return random() % limit;
}

using PresentRecords = std::map<std::string, std::int64_t>;

/** Model of the store: its present records and its complete history in each era. */
class ModelStore
{
public:
    /** Continues from the state at an earlier revision, in a new era. */
    auto restore(Random &random) -> void
    {
        const auto &earlier = histories_.back();
        revision_ = static_cast<std::int64_t>(randomBelow(random, earlier.size()));
        auto history = std::vector<PresentRecords>(earlier.begin(), earlier.begin() + revision_ + 1);
        present_ = history.back();
        std::erase_if(events_, [this](const FleetRecord &event) {
            return event.revision_ > revision_;
        });
        histories_.push_back(std::move(history));
    }

    auto writeOne(Random &random) -> void
    {
        revision_ += 1;
        const auto name = "b" + std::to_string(randomBelow(random, nameCount));
        const auto isRemoval = present_.count(name) > 0 && randomBelow(random, 2) == 0;
        present_[name] = revision_;
        if (isRemoval) {
            present_.erase(name);
        }
        events_.push_back(recordOf(name, revision_, isRemoval));
        histories_.back().push_back(present_);
    }

    [[nodiscard]] auto position() const -> StorePosition
    {
        return { era(), revision_ };
    }

    [[nodiscard]] auto present() const -> const PresentRecords &
    {
        return present_;
    }

    /** Records present at a position, with the revision of their last change. */
    [[nodiscard]] auto presentAt(const StorePosition &position) const -> const PresentRecords &
    {
        return histories_[static_cast<std::size_t>(position.era_)][static_cast<std::size_t>(position.revision_)];
    }

    /** Records present at the end of an era. */
    [[nodiscard]] auto presentAtEndOf(std::int64_t era) const -> const PresentRecords &
    {
        return histories_[static_cast<std::size_t>(era)].back();
    }

    /** The events that a watch returns, or a full read after a watch from another era. */
    auto changesAfter(const StorePosition &position, Random &random) -> RecordBatch
    {
        if (position.era_ != era()) {
            return readAll(random);
        }
        auto batch = RecordBatch {};
        batch.asOf_ = revision_;
        batch.era_ = era();
        for (const auto &event : events_) {
            if (event.revision_ > position.revision_) {
                batch.records_.push_back(event);
            }
        }
        return batch;
    }

    /** A full read in two pages, between which the store changes. */
    auto readAll(Random &random) -> RecordBatch
    {
        auto batch = RecordBatch { revision_, true, {} };
        batch.era_ = era();
        const auto middle = "b" + std::to_string(randomBelow(random, nameCount));
        addPage(batch, [&](const std::string &name) {
            return name < middle;
        });
        for (auto write = std::size_t { 0 }; write < randomBelow(random, writesWithinRead + 1); ++write) {
            writeOne(random);
        }
        addPage(batch, [&](const std::string &name) {
            return name >= middle;
        });
        batch.gaps_ = { { 0, revision_ } };
        return batch;
    }

private:
    [[nodiscard]] auto era() const -> std::int64_t
    {
        return static_cast<std::int64_t>(histories_.size()) - 1;
    }

    static auto recordOf(const std::string &name, std::int64_t revision, bool isRemoved) -> FleetRecord
    {
        return { RecordKind::Backend, name, revision, isRemoved, isRemoved ? "" : "v" + std::to_string(revision) };
    }

    template<typename Filter>
    auto addPage(RecordBatch &batch, const Filter &isOnPage) const -> void
    {
        for (const auto &[name, revision] : present_) {
            if (isOnPage(name)) {
                batch.records_.push_back(recordOf(name, revision, false));
            }
        }
    }

    std::int64_t revision_ = 0;
    PresentRecords present_;
    std::vector<FleetRecord> events_;
    /** The present records at each revision of each era. */
    std::vector<std::vector<PresentRecords>> histories_ = { std::vector<PresentRecords>(1) };
};

/** A response that has not arrived yet. */
struct PendingBatch
{
    std::size_t requester_ = 0;
    /** Number of starts of the requesting process when it sent the request. */
    int start_ = 0;
    RecordBatch batch_;
};

/** Hosts that replicate one store and fetch from each other; responses are delayed and reordered arbitrarily. */
struct Model
{
    ModelStore store_;
    std::vector<RecordReplica> replicas_ = std::vector<RecordReplica>(replicaCount);
    std::vector<int> starts_ = std::vector<int>(replicaCount, 0);
    std::vector<PendingBatch> inFlight_;
    absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

auto recordsIn(const RecordReplica &replica) -> PresentRecords
{
    auto records = PresentRecords {};
    for (const auto *record : replica.presentRecords(RecordKind::Backend)) {
        records[record->name_] = record->revision_;
    }
    return records;
}

auto describeRecord(std::size_t host, const RecordReplica &replica, const std::string &record) -> std::string
{
    return "host " + std::to_string(host) + " as of era " + std::to_string(replica.position().era_) + ", revision "
        + std::to_string(replica.position().revision_) + ", record " + record;
}

// Describes the first record in which a host contradicts the store at the host's revision, or returns an empty string. A host that still has a record
// although its revision is past the removal sends requests to a deregistered server.
auto describeFault(const Model &model, std::size_t host) -> std::string
{
    const auto &replica = model.replicas_[host];
    const auto records = recordsIn(replica);
    const auto &expected = model.store_.presentAt(replica.position());
    const auto &latest = model.store_.presentAtEndOf(replica.position().era_);
    for (const auto &[name, revision] : records) {
        const auto found = expected.find(name);
        if (revision <= replica.position().revision_ && (found == expected.end() || found->second != revision)) {
            return describeRecord(host, replica, name) + " was removed or has changed, but the old state is kept";
        }
    }
    // The host may already have changes that are newer than its revision.
    for (const auto &[name, revision] : expected) {
        const auto present = latest.find(name);
        const auto isUnchanged = present != latest.end() && present->second == revision;
        if (isUnchanged && records.count(name) == 0) {
            return describeRecord(host, replica, name) + " is missing";
        }
    }
    return "";
}

auto fetch(Model &model, std::size_t requester, std::size_t peer) -> PendingBatch
{
    return { requester, model.starts_[requester], model.replicas_[peer].changesAfter(model.replicas_[requester].position()) };
}

auto deliver(Model &model, const PendingBatch &pending) -> void
{
    if (model.starts_[pending.requester_] == pending.start_) {
        model.replicas_[pending.requester_].apply(model.now_, pending.batch_);
    }
}

auto deliverAny(Model &model, Random &random) -> void
{
    if (model.inFlight_.empty()) {
        return;
    }
    const auto chosen = model.inFlight_.begin() + static_cast<std::ptrdiff_t>(randomBelow(random, model.inFlight_.size()));
    const auto pending = *chosen;
    model.inFlight_.erase(chosen);
    deliver(model, pending);
}

auto step(Model &model, Random &random) -> void
{
    if (randomBelow(random, stepsPerRestoration) == 0) {
        model.store_.restore(random);
        return;
    }
    const auto host = randomBelow(random, replicaCount);
    auto &replica = model.replicas_[host];
    switch (randomBelow(random, 16)) {
    case 0:
        model.inFlight_.push_back({ host, model.starts_[host], model.store_.readAll(random) });
        return;
    case 1:
    case 2:
        if (replica.position().revision_ > 0) {
            model.inFlight_.push_back({ host, model.starts_[host], model.store_.changesAfter(replica.position(), random) });
        }
        return;
    case 3:
        if (randomBelow(random, 4) == 0) {
            replica = RecordReplica {};
            model.starts_[host] += 1;
        }
        return;
    case 4:
        model.now_ += randomBelow(random, 20) == 0 ? longPause : absl::Milliseconds(50);
        return;
    case 5:
    case 6:
    case 7:
        model.store_.writeOne(random);
        return;
    case 8:
    case 9:
    case 10:
        model.inFlight_.push_back(fetch(model, host, randomBelow(random, replicaCount)));
        return;
    default:
        deliverAny(model, random);
        return;
    }
}

// One host reads the store; the others receive the records only from hosts that already have them.
auto converge(Model &model, Random &random) -> void
{
    model.inFlight_.clear();
    const auto source = randomBelow(random, replicaCount);
    auto read = model.store_.readAll(random);
    model.replicas_[source].apply(model.now_, read);
    model.replicas_[source].apply(model.now_, model.store_.changesAfter(model.replicas_[source].position(), random));
    auto upToDateHosts = std::vector<std::size_t> { source };
    for (auto host = std::size_t { 0 }; host < replicaCount; ++host) {
        deliver(model, fetch(model, host, upToDateHosts[randomBelow(random, upToDateHosts.size())]));
        upToDateHosts.push_back(host);
    }
}

}

// Guards against a violation of the DRAIN requirement: a host never receives a server's removal because the peer that it fetches from started with a
// full read, or an old state is restored after the removal. The store is restored from older copies meanwhile, so that revisions are issued again.
TEST_CASE("hosts that exchange changes in any order never keep a removed record")
{
    for (auto seed = 0; seed < seedCount; ++seed) {
        CAPTURE(seed);
        auto random = Random(static_cast<std::uint64_t>(seed));
        auto model = Model {};
        auto fault = std::string {};
        for (auto number = 0; number < stepsPerSeed && fault.empty(); ++number) {
            step(model, random);
            for (auto host = std::size_t { 0 }; host < replicaCount && fault.empty(); ++host) {
                fault = describeFault(model, host);
            }
        }
        REQUIRE_MESSAGE(fault.empty(), fault);
        converge(model, random);
        for (auto host = std::size_t { 0 }; host < replicaCount; ++host) {
            CAPTURE(host);
            REQUIRE(model.replicas_[host].position() == model.store_.position());
            REQUIRE(recordsIn(model.replicas_[host]) == model.store_.present());
        }
    }
}
