/** The platform's store of deployment records, as functions that an adapter provides. */
#pragma once

#include "core/error.h"
#include "version/discoveredbackend.h"
#include "version/fleetrecord.h"
#include "version/trafficpolicy.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lycheecleat
{

/** Result of one watch call. */
struct WatchResult
{
    /** The store does not have the changes after the requested position, since it has compacted them or begun a new era; a full read is needed. The batch is
     * empty then. */
    bool isCompacted_ = false;
    RecordBatch batch_;
};

/** A lease on the registration of an entry host. */
struct HostLease
{
    std::int64_t identifier_ = 0;
    absl::Duration lifetime_;
    /** Position at which the registration was written. In a later era the same identifier may belong to another host's lease. */
    StorePosition registeredAt_;

    auto operator==(const HostLease &other) const -> bool = default;
};

/** Operations on the store. All of them block, are thread-safe, and return errors that name the failed step and the store. */
struct RecordStore
{
    /** Reads all records, at a revision that is not older than the call. */
    std::function<Result<RecordBatch>()> readAll_;
    /** Returns the changes after a position as soon as there are any, or no changes when the wait has elapsed. */
    std::function<Result<WatchResult>(const StorePosition &after, absl::Duration wait)> watch_;
    /** The era that the latest response of the store has reported; 0 before the first one. */
    std::function<std::int64_t()> latestEra_;
    /** Writes the registration of an entry host under a new lease. */
    std::function<Result<HostLease>(const std::string &name, const std::string &value)> registerHost_;
    /** Renews a lease; false if it has expired or is of an earlier era. */
    std::function<Result<bool>(const HostLease &lease)> renewLease_;
    /** Removes the registration of an entry host, unless it has been written again or was removed since. */
    std::function<Result<void>(const std::string &name, const HostLease &lease)> removeHost_;
};

/** Decoders of stored records. Errors: the bytes are not a valid record of that kind. */
struct RecordDecoders
{
    std::function<Result<TrafficPolicy>(const std::string &value)> policy_;
    std::function<Result<DiscoveredBackend>(const std::string &name, const std::string &value)> backend_;
};

}
