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

/** Longer than the time for which tombstones are kept. */
constexpr auto longPause = absl::Minutes(3);

/** Maximum number of writes between the two pages of a full read. */
constexpr auto writesWithinRead = 3;

using Random = std::mt19937_64;

auto randomBelow(Random &random, std::size_t limit) -> std::size_t
{
    return random() % limit;
}

/** Model of the store: its present records and its complete history. */
class ModelStore
{
public:
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
        history_.push_back(present_);
    }

    [[nodiscard]] auto revision() const -> std::int64_t
    {
        return revision_;
    }

    [[nodiscard]] auto present() const -> const std::map<std::string, std::int64_t> &
    {
        return present_;
    }

    /** Records present at a revision, with the revision of their last change. */
    [[nodiscard]] auto presentAt(std::int64_t revision) const -> const std::map<std::string, std::int64_t> &
    {
        return history_[static_cast<std::size_t>(revision)];
    }

    /** The events that a watch returns. */
    [[nodiscard]] auto changesAfter(std::int64_t revision) const -> RecordBatch
    {
        auto batch = RecordBatch {};
        batch.asOf_ = revision_;
        for (const auto &event : events_) {
            if (event.revision_ > revision) {
                batch.records_.push_back(event);
            }
        }
        return batch;
    }

    /** A full read in two pages, between which the store changes. */
    auto readAll(Random &random) -> RecordBatch
    {
        auto batch = RecordBatch { revision_, true, {} };
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
    std::map<std::string, std::int64_t> present_;
    std::vector<FleetRecord> events_;
    /** The present records at each revision. */
    std::vector<std::map<std::string, std::int64_t>> history_ = std::vector<std::map<std::string, std::int64_t>>(1);
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

auto recordsIn(const RecordReplica &replica) -> std::map<std::string, std::int64_t>
{
    auto records = std::map<std::string, std::int64_t> {};
    for (const auto *record : replica.presentRecords(RecordKind::Backend)) {
        records[record->name_] = record->revision_;
    }
    return records;
}

auto describeRecord(std::size_t host, const RecordReplica &replica, const std::string &record) -> std::string
{
    return "host " + std::to_string(host) + " as of " + std::to_string(replica.asOf()) + ", record " + record;
}

// Describes the first record in which a host contradicts the store at the host's revision, or returns an empty string. A host that still has a record
// although its revision is past the removal sends requests to a deregistered server.
auto describeFault(const Model &model, std::size_t host) -> std::string
{
    const auto &replica = model.replicas_[host];
    const auto records = recordsIn(replica);
    const auto &expected = model.store_.presentAt(replica.asOf());
    for (const auto &[name, revision] : records) {
        const auto found = expected.find(name);
        if (revision <= replica.asOf() && (found == expected.end() || found->second != revision)) {
            return describeRecord(host, replica, name) + " was removed or has changed, but the old state is kept";
        }
    }
    // The host may already have changes that are newer than its revision.
    for (const auto &[name, revision] : expected) {
        const auto present = model.store_.present().find(name);
        const auto isUnchanged = present != model.store_.present().end() && present->second == revision;
        if (isUnchanged && records.count(name) == 0) {
            return describeRecord(host, replica, name) + " is missing";
        }
    }
    return "";
}

auto fetch(Model &model, std::size_t requester, std::size_t peer) -> PendingBatch
{
    return { requester, model.starts_[requester], model.replicas_[peer].changesAfter(model.replicas_[requester].asOf()) };
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
    const auto host = randomBelow(random, replicaCount);
    auto &replica = model.replicas_[host];
    switch (randomBelow(random, 16)) {
    case 0:
        model.inFlight_.push_back({ host, model.starts_[host], model.store_.readAll(random) });
        return;
    case 1:
    case 2:
        if (replica.asOf() > 0) {
            model.inFlight_.push_back({ host, model.starts_[host], model.store_.changesAfter(replica.asOf()) });
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
    model.replicas_[source].apply(model.now_, model.store_.changesAfter(model.replicas_[source].asOf()));
    auto upToDateHosts = std::vector<std::size_t> { source };
    for (auto host = std::size_t { 0 }; host < replicaCount; ++host) {
        deliver(model, fetch(model, host, upToDateHosts[randomBelow(random, upToDateHosts.size())]));
        upToDateHosts.push_back(host);
    }
}

}

// Guards against a violation of the DRAIN requirement: a host never receives a server's removal because the peer that it fetches from started with a
// full read, or an old state is restored after the removal.
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
            REQUIRE(model.replicas_[host].asOf() == model.store_.revision());
            REQUIRE(recordsIn(model.replicas_[host]) == model.store_.present());
        }
    }
}
