#include "connection/fleetpeers.h"

#include "connection/brokenresponses.h"
#include "connection/scriptedserver.h"
#include "core/testaddress.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

using namespace lycheecleat;

namespace
{

struct BatchCase
{
    std::string title_;
    RecordBatch batch_;
};

}

// Guards against losing the bounds of a batch in its message, so that the receiver treats the batch as more complete than it is.
TEST_CASE("a batch of records is unchanged after conversion to a message and back")
{
    const auto present = FleetRecord { RecordKind::Backend, "a", 4, false, "v" };
    const auto lapsed = FleetRecord { RecordKind::Backend, "b", 5, true, "", true };
    const auto cases = std::vector<BatchCase> {
        { "empty batch", {} },
        { "all records", { 5, true, { present } } },
        { "all records with a gap, read while some were removed", { 5, true, { present }, false, std::nullopt, { { 0, 7 } } } },
        { "changes", { 5, false, { present, lapsed }, false, 3 } },
        { "changes with gaps", { 9, false, { lapsed }, false, 3, { { 4, 6 }, { 6, 11 } } } },
        { "changes of a later era", { 9, false, { lapsed }, false, 3, {}, 4 } },
    };
    for (const auto &batchCase : cases) {
        CAPTURE(batchCase.title_);
        CHECK(fromMessage(toMessage(batchCase.batch_)) == batchCase.batch_);
    }
}

// Guards against a record of an unknown kind, as a faulty or newer peer may send it, that is stored and passed on as one of the known kinds.
TEST_CASE("records of an unknown kind are left out of a batch")
{
    for (const auto kind : { -1, 4, 127 }) {
        CAPTURE(kind);
        auto message = toMessage({ 5, true, { { RecordKind::Backend, "a", 4, false, "v" }, { RecordKind::Host, "b", 5, false, "w" } } });
        message.records.front().kind = static_cast<std::int8_t>(kind);
        const auto batch = fromMessage(message);
        REQUIRE(batch.records_.size() == 1);
        CHECK(batch.records_.front().name_ == "b");
        CHECK(batch.asOf_ == 5);
    }
}

// Guards against a datagram that ends the process: each byte of a valid one is replaced, which also makes the sizes of its lists and texts wrong.
TEST_CASE("a malformed datagram is decoded or rejected without an exception")
{
    auto gossip = fleet::Gossip {};
    gossip.sender.name = "host";
    gossip.sender.gossipAddress = "127.0.0.1:1";
    gossip.heartbeats.resize(2);
    gossip.crashes.resize(1);
    gossip.crashes.front().backends = { "a", "b" };
    const auto valid = encodeGossip(gossip);
    REQUIRE(decodeGossip(valid) == gossip);
    auto decoded = 0;
    for (auto position = std::size_t { 0 }; position < valid.size(); ++position) {
        decoded += decodeGossip(valid.substr(0, position)) ? 1 : 0;
        for (auto byte = 0; byte < 256; ++byte) {
            auto changed = valid;
            changed[position] = static_cast<char>(byte);
            CHECK_NOTHROW(static_cast<void>(decodeGossip(changed)));
        }
    }
    CHECK(decoded == 0);
    // Sizes of 2^31 - 1 and 2^32 - 1 as variable-length integers, in place of the size of a text or a list.
    for (const auto *const size : { "\xff\xff\xff\xff\x07", "\xff\xff\xff\xff\x0f" }) {
        for (auto position = std::size_t { 0 }; position < valid.size(); ++position) {
            auto changed = valid;
            changed.replace(position, 1, size);
            CHECK_NOTHROW(static_cast<void>(decodeGossip(changed)));
        }
    }
}

// Guards against a host of the version before eras, whose messages lack them, being taken for one with newer records.
TEST_CASE("messages without an era are of era 0")
{
    auto gossip = fleet::Gossip {};
    gossip.recordsAsOf = 7;
    CHECK(recordsPosition(gossip) == StorePosition { 0, 7 });
    gossip.__set_recordsEra(2);
    const auto decoded = decodeGossip(encodeGossip(gossip));
    REQUIRE(decoded.has_value());
    CHECK(recordsPosition(*decoded) == StorePosition { 2, 7 });
    auto records = fleet::Records {};
    records.asOf = 7;
    CHECK(positionOf(fromMessage(records)) == StorePosition { 0, 7 });
}

// Guards against a host that exhausts memory, waits for long or uses records when the address of a peer belongs to another program, or the peer is broken.
TEST_CASE("bytes without end that are no answer of a peer are an error")
{
    constexpr auto maximumSentBytes = std::size_t { 32 } * 1024 * 1024;
    auto cases = endlessResponses("");
    cases.push_back({ "empty frames", "", std::string(4, '\0') });
    cases.push_back({ "one large frame", std::string("\0\xff\xff\xff", 4), "x" });
    cases.push_back({ "frames with an unknown message", "", std::string("\0\0\0\4abcd", 8) });
    cases.push_back({ "one frame with a long name", std::string("\0\xff\xff\xff\x80\1\0\2\0\xff\xff\0", 12), "n" });
    for (const auto &endlessCase : cases) {
        CAPTURE(endlessCase.title_);
        const auto server = ScriptedServer(
            testIp(9, 7),
            [&](const ScriptedRequest &) {
                return endlessReply(endlessCase.prefix_, endlessCase.repeated_);
            },
            ScriptedMode::AtOnce);
        const auto fetched = attempt([&] {
            return fetchRecords(server.address(), {}, absl::Seconds(1));
        });
        CHECK(std::holds_alternative<Error>(fetched));
        CHECK(server.sentBytes() < maximumSentBytes);
    }
}
