#include "connection/fleetpeers.h"

#include "core/clock.h"
#include "core/log.h"
#include "core/socketaddress.h"
#include "generated/Fleet.h"

#include <thrift/TOutput.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <memory>

namespace lycheecleat
{

namespace
{

using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TMemoryBuffer;
using apache::thrift::transport::TSocket;

auto isKnownKind(std::int8_t kind) -> bool
{
    return kind >= static_cast<std::int8_t>(RecordKind::Policy) && kind <= static_cast<std::int8_t>(RecordKind::Host);
}

}

auto encodeGossip(const fleet::Gossip &gossip) -> std::string
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    auto protocol = TCompactProtocol(buffer);
    gossip.write(&protocol);
    return buffer->getBufferAsString();
}

auto decodeGossip(const std::string &data) -> std::optional<fleet::Gossip>
{
    auto bytes = data;
    const auto buffer = std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t *>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
    auto protocol = TCompactProtocol(buffer);
    auto gossip = fleet::Gossip {};
    try {
        gossip.read(&protocol);
    } catch (const apache::thrift::TException &) {
        return std::nullopt;
    }
    return gossip;
}

auto recordsPosition(const fleet::Gossip &gossip) -> StorePosition
{
    return { gossip.__isset.recordsEra ? gossip.recordsEra : 0, gossip.recordsAsOf };
}

auto toMessage(const RecordBatch &batch) -> fleet::Records
{
    auto message = fleet::Records {};
    message.__set_era(batch.era_);
    message.asOf = batch.asOf_;
    message.full = batch.isSnapshot_;
    for (const auto &record : batch.records_) {
        auto &added = message.records.emplace_back();
        added.kind = static_cast<std::int8_t>(record.kind_);
        added.name = record.name_;
        added.revision = record.revision_;
        added.removed = record.isRemoved_;
        added.value = record.value_;
        added.lapsed = record.isLapsed_;
    }
    if (batch.after_) {
        message.__set_after(*batch.after_);
    }
    for (const auto &gap : batch.gaps_) {
        auto &added = message.gaps.emplace_back();
        added.after = gap.after_;
        added.upTo = gap.upTo_;
    }
    return message;
}

auto fromMessage(const fleet::Records &message) -> RecordBatch
{
    auto batch = RecordBatch { message.asOf, message.full, {} };
    batch.era_ = message.__isset.era ? message.era : 0;
    for (const auto &record : message.records) {
        if (!isKnownKind(record.kind)) {
            logLine(wallNow(), LogLevel::Warning, "record_ignored", { { "name", record.name }, { "reason", "its kind is unknown" } });
            continue;
        }
        batch.records_.push_back({ static_cast<RecordKind>(record.kind), record.name, record.revision, record.removed, record.value, record.lapsed });
    }
    if (message.__isset.after) {
        batch.after_ = message.after;
    }
    for (const auto &gap : message.gaps) {
        batch.gaps_.push_back({ gap.after, gap.upTo });
    }
    return batch;
}

auto fetchRecords(const std::string &peerAddress, const StorePosition &after, absl::Duration timeout) -> Result<RecordBatch>
{
    const auto address = parseSocketAddress(peerAddress);
    if (!address) {
        return makeError("fetch records", peerAddress, "is not an IP address with a port");
    }
    // By default Thrift prints connection failures. Here they are returned as errors.
    apache::thrift::GlobalOutput.setOutputFunction([](const char *) {});
    const auto socket = std::make_shared<TSocket>(address->ip_, address->port_);
    const auto milliseconds = static_cast<int>(absl::ToInt64Milliseconds(timeout));
    socket->setConnTimeout(milliseconds);
    socket->setSendTimeout(milliseconds);
    socket->setRecvTimeout(milliseconds);
    const auto framed = std::make_shared<TFramedTransport>(socket);
    auto client = fleet::FleetClient(std::make_shared<TBinaryProtocol>(framed));
    try {
        framed->open();
        auto message = fleet::Records {};
        client.fetchRecords(message, after.revision_, after.era_);
        return fromMessage(message);
    } catch (const apache::thrift::TException &exception) {
        return makeError("fetch records", peerAddress, exception.what());
    }
}

}
