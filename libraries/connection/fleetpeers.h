/** Messages between the hosts of a deployment whose hosts are discovered. */
#pragma once

#include "core/error.h"
#include "generated/fleet_types.h"
#include "version/fleetrecord.h"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace lycheecleat
{

/** The bytes of a datagram. */
[[nodiscard]] auto encodeGossip(const fleet::Gossip &gossip) -> std::string;

/** The datagram of bytes; none when they are not one. */
[[nodiscard]] auto decodeGossip(const std::string &data) -> std::optional<fleet::Gossip>;

/** The message form of records. */
[[nodiscard]] auto toMessage(const RecordBatch &batch) -> fleet::Records;

/** The records of a message. */
[[nodiscard]] auto fromMessage(const fleet::Records &message) -> RecordBatch;

/** Fetches a peer's changes over a connection of its own. Errors: the peer does not answer in time. */
[[nodiscard]] auto fetchRecords(const std::string &peerAddress, std::int64_t afterRevision, absl::Duration timeout) -> Result<RecordBatch>;

}
