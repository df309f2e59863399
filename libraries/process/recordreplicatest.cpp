#include "process/recordreplica.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto now = absl::UnixEpoch() + absl::Hours(1);

auto backend(const std::string &name, std::int64_t revision, bool isRemoved = false) -> FleetRecord
{
    return { RecordKind::Backend, name, revision, isRemoved, isRemoved ? "" : "v" + std::to_string(revision) };
}

}

// Guards against a response that arrives late, or comes from a peer that is behind, and restores an older state.
TEST_CASE("an older change never replaces a newer one")
{
    auto replica = RecordReplica {};
    replica.apply(now, { 5, false, { backend("a", 5) } });
    CHECK(replica.apply(now, { 3, false, { backend("a", 3) } }).empty());
    CHECK(replica.apply(now, { 6, false, { backend("a", 6, true) } }).size() == 1);
    CHECK(replica.apply(now, { 5, false, { backend("a", 5) } }).empty());
    CHECK(replica.presentRecords(RecordKind::Backend).empty());
    CHECK(replica.position() == StorePosition { 0, 6 });
}

// Guards against a removed server that stays in use because the event of its removal was compacted.
TEST_CASE("a full read removes records that it does not contain")
{
    auto replica = RecordReplica {};
    replica.apply(now, { 5, false, { backend("a", 4), backend("b", 5) } });
    const auto changes = replica.apply(now, { 9, true, { backend("b", 5), backend("c", 8) } });
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].name_ == "a");
    CHECK(changes[0].isRemoved_);
    CHECK(replica.presentRecords(RecordKind::Backend).size() == 2);
    // A full read that is older than the replica removes nothing.
    CHECK(replica.apply(now, { 7, true, {} }).empty());
    CHECK(replica.presentRecords(RecordKind::Backend).size() == 2);
}

// Guards against a peer that misses a removal when it catches up.
TEST_CASE("a delta after a revision contains removals")
{
    auto replica = RecordReplica {};
    replica.apply(now, { 5, false, { backend("a", 4), backend("b", 5) } });
    replica.apply(now, { 6, false, { backend("a", 6, true) } });
    const auto changes = replica.changesAfter({ 0, 5 });
    CHECK_FALSE(changes.isSnapshot_);
    REQUIRE(changes.records_.size() == 1);
    CHECK(changes.records_[0].isRemoved_);
    const auto all = replica.changesAfter({ 0, 0 });
    CHECK(all.isSnapshot_);
    REQUIRE(all.records_.size() == 1);
    CHECK(all.records_[0].name_ == "b");
    // Once the tombstone has expired, only a full snapshot is certain to show the removal.
    replica.apply(now + absl::Hours(1), { 7, false, {} });
    CHECK(replica.changesAfter({ 0, 5 }).isSnapshot_);
    CHECK_FALSE(replica.changesAfter({ 0, 6 }).isSnapshot_);
}

namespace
{

struct RequesterCase
{
    std::int64_t asOf_;
    bool isSnapshot_;
};

}

// Guards against removals that go unnoticed in a full read, and against sending all records to every host of a region after the store has compacted its
// history.
TEST_CASE("only a new peer or one whose revision lies within a gap is sent a full snapshot")
{
    const auto cases = std::vector<RequesterCase> { { 0, true }, { 4, true }, { 5, false }, { 6, true }, { 8, true }, { 9, false } };
    auto replica = RecordReplica {};
    replica.apply(now, { 5, true, { backend("a", 4), backend("b", 5) } });
    // The read ended at revision 9, so removals up to there may be missing.
    replica.apply(now, { 8, true, { backend("b", 5) }, false, std::nullopt, { { 0, 9 } } });
    replica.apply(now, { 10, false, { backend("c", 10) } });
    for (const auto &requesterCase : cases) {
        CAPTURE(requesterCase.asOf_);
        const auto changes = replica.changesAfter({ 0, requesterCase.asOf_ });
        CHECK(changes.isSnapshot_ == requesterCase.isSnapshot_);
        CHECK(changes.records_.back().name_ == "c");
    }
    CHECK(replica.changesAfter({ 0, 5 }).records_.front() == FleetRecord { RecordKind::Backend, "a", 8, true, "" });
}

namespace
{

/** A sequence of batches that brings a replica past the removal of "a", with or without a tombstone for it. */
struct RemovalCase
{
    std::string title_;
    std::function<RecordReplica()> makeReplica_;
};

auto replicaOf(const RecordBatch &batch) -> RecordReplica
{
    auto replica = RecordReplica {};
    replica.apply(now, batch);
    return replica;
}

}

// Guards against a violation of the DRAIN requirement: a host sends requests to a deregistered server because it never received the removal, or applied
// an older state of the server afterwards.
TEST_CASE("no sequence of batches hides a removal or restores a removed record")
{
    const auto cases = std::vector<RemovalCase> {
        { "the peer started with a full read after the removal",
          [] {
              auto replica = replicaOf({ 5, true, { backend("a", 4), backend("b", 5) } });
              const auto peer = replicaOf({ 8, true, { backend("b", 5), backend("c", 7) } });
              replica.apply(now, peer.changesAfter(replica.position()));
              return replica;
          } },
        { "the peer fetched from one that started with a full read after the removal",
          [] {
              auto replica = replicaOf({ 5, true, { backend("a", 4), backend("b", 5) } });
              auto peer = replicaOf({ 3, true, {} });
              const auto started = replicaOf({ 8, true, { backend("b", 5), backend("c", 7) } });
              peer.apply(now, started.changesAfter(peer.position()));
              replica.apply(now, peer.changesAfter(replica.position()));
              return replica;
          } },
        { "the peer made another full read after a compaction",
          [] {
              auto replica = replicaOf({ 5, true, { backend("a", 4), backend("b", 5) } });
              auto peer = replicaOf({ 3, true, {} });
              peer.apply(now, { 8, true, { backend("b", 5), backend("c", 7) } });
              replica.apply(now, peer.changesAfter(replica.position()));
              return replica;
          } },
        { "the peer never had the record",
          [] {
              auto replica = replicaOf({ 5, true, { backend("a", 5) } });
              auto peer = replicaOf({ 4, true, {} });
              peer.apply(now, { 6, false, { backend("a", 6, true) } });
              replica.apply(now, peer.changesAfter(replica.position()));
              return replica;
          } },
        { "an older full snapshot arrives after a full read",
          [] {
              auto replica = replicaOf({ 8, true, { backend("b", 5) } });
              replica.apply(now, { 5, true, { backend("a", 4), backend("b", 5) } });
              return replica;
          } },
        { "an older delta arrives after a full read",
          [] {
              auto replica = replicaOf({ 8, true, { backend("b", 5) } });
              replica.apply(now, { 5, false, { backend("a", 4) } });
              return replica;
          } },
        { "an older delta arrives after the tombstone has expired",
          [] {
              auto replica = replicaOf({ 5, true, { backend("a", 4) } });
              replica.apply(now, { 6, false, { backend("a", 6, true) } });
              replica.apply(now + absl::Hours(1), { 7, false, {} });
              replica.apply(now + absl::Hours(1), { 5, false, { backend("a", 4) } });
              return replica;
          } },
    };
    for (const auto &removalCase : cases) {
        CAPTURE(removalCase.title_);
        for (const auto *record : removalCase.makeReplica_().presentRecords(RecordKind::Backend)) {
            CHECK(record->name_ != "a");
        }
    }
}

namespace
{

auto inEra(std::int64_t era, RecordBatch batch) -> RecordBatch
{
    batch.era_ = era;
    return batch;
}

auto names(const std::vector<const FleetRecord *> &records) -> std::vector<std::string>
{
    auto found = std::vector<std::string> {};
    for (const auto *record : records) {
        found.push_back(record->name_);
    }
    return found;
}

/** A batch that arrives at a replica that knows "a" and "b" as of era 1, revision 9. */
struct EraCase
{
    std::string title_;
    RecordBatch batch_;
    StorePosition position_;
    std::vector<std::string> present_;
    /** Names of the records that changed. */
    std::vector<std::string> changes_;
};

}

// Guards against a violation of the CONFIG requirement: the store comes back from an older copy and issues revisions again, and a host never applies
// changes whose revisions it has seen before.
TEST_CASE("revisions are compared only within an era of the store")
{
    const auto cases = std::vector<EraCase> {
        { "a change of the same era", { 10, false, { backend("c", 10) }, false, std::nullopt, {}, 1 }, { 1, 10 }, { "a", "b", "c" }, { "c" } },
        { "a late response of an earlier era", { 50, true, { backend("c", 50) }, false, std::nullopt, {}, 0 }, { 1, 9 }, { "a", "b" }, {} },
        { "a delta of a later era", { 12, false, { backend("c", 12) }, false, std::nullopt, {}, 2 }, { 1, 9 }, { "a", "b" }, {} },
        { "a copy without a record", { 4, true, { backend("a", 3) }, false, std::nullopt, {}, 2 }, { 2, 4 }, { "a" }, { "b" } },
        { "a copy with other records at the same revisions",
          { 9, true, { backend("a", 3), backend("c", 8) }, false, std::nullopt, {}, 2 },
          { 2, 9 },
          { "a", "c" },
          { "c", "b" } },
        { "a copy with a record that was removed",
          { 2, true, { backend("a", 3), backend("b", 8), backend("d", 1) }, false, std::nullopt, {}, 2 },
          { 2, 2 },
          { "a", "b", "d" },
          { "d" } },
    };
    for (const auto &eraCase : cases) {
        CAPTURE(eraCase.title_);
        auto replica = replicaOf(inEra(1, { 8, true, { backend("a", 3), backend("b", 8) } }));
        replica.apply(now, inEra(1, { 9, false, { backend("d", 9, true) } }));
        const auto changes = replica.apply(now, eraCase.batch_);
        auto changed = std::vector<std::string> {};
        for (const auto &record : changes) {
            changed.push_back(record.name_);
        }
        CHECK(replica.position() == eraCase.position_);
        CHECK(names(replica.presentRecords(RecordKind::Backend)) == eraCase.present_);
        CHECK(changed == eraCase.changes_);
    }
}

// Guards against dropping servers at once that registered after the copy was made and will register again, here and on peers that learn of the new era.
TEST_CASE("a record that the copy lacks counts as lapsed")
{
    auto replica = replicaOf(inEra(1, { 8, true, { backend("a", 3), backend("b", 8) } }));
    auto peer = replica;
    const auto changes = replica.apply(now, inEra(2, { 4, true, { backend("a", 3) } }));
    REQUIRE(changes.size() == 1);
    CHECK(changes.front() == FleetRecord { RecordKind::Backend, "b", 4, true, "", true });
    const auto forPeer = replica.changesAfter(peer.position());
    CHECK(forPeer.isSnapshot_);
    CHECK(peer.apply(now, forPeer) == changes);
    // A removal in the new era is not a lapse, also for a peer that learns of both at once.
    auto latePeer = replicaOf(inEra(1, { 8, true, { backend("a", 3), backend("b", 8) } }));
    replica.apply(now, inEra(2, { 6, false, { backend("a", 6, true) } }));
    const auto lateChanges = latePeer.apply(now, replica.changesAfter(latePeer.position()));
    REQUIRE(lateChanges.size() == 2);
    CHECK(lateChanges[0] == FleetRecord { RecordKind::Backend, "a", 6, true, "" });
    CHECK(lateChanges[1] == FleetRecord { RecordKind::Backend, "b", 4, true, "", true });
}
