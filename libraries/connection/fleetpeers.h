/** Encodes, decodes and fetches the messages that hosts of a discovered deployment exchange. */
#pragma once

#include "core/error.h"
#include "generated/fleet_types.h"
#include "version/fleetrecord.h"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace lycheecleat
{

/** Encodes a gossip message as the payload of a datagram. */
[[nodiscard]] auto encodeGossip(const fleet::Gossip &gossip) -> std::string;

/** Decodes the payload of a datagram; none when it is malformed. */
[[nodiscard]] auto decodeGossip(const std::string &data) -> std::optional<fleet::Gossip>;

/** Position of the store up to which the records of a host are complete, as its gossip reports it. */
[[nodiscard]] auto recordsPosition(const fleet::Gossip &gossip) -> StorePosition;

/** Converts records to their Thrift message. */
[[nodiscard]] auto toMessage(const RecordBatch &batch) -> fleet::Records;

/** Converts a Thrift message to records. */
[[nodiscard]] auto fromMessage(const fleet::Records &message) -> RecordBatch;

/** Fetches from a peer the records that changed after a position of the store, over a new connection. Errors: malformed address, no response in time. */
[[nodiscard]] auto fetchRecords(const std::string &peerAddress, const StorePosition &after, absl::Duration timeout) -> Result<RecordBatch>;

}
