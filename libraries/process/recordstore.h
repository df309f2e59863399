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

/** The store's answer to a watch. */
struct WatchResult
{
    /** The store no longer holds the changes since the revision asked for; only a full read helps. */
    bool isCompacted_ = false;
    RecordBatch batch_;
};

/** A lease on the registration of an entry host. */
struct HostLease
{
    std::int64_t identifier_ = 0;
    absl::Duration lifetime_;

    auto operator==(const HostLease &other) const -> bool = default;
};

/** Calls to the store. All block, may be made from several threads, and return errors that name the step and the store. */
struct RecordStore
{
    /** All records, not older than the call. */
    std::function<Result<RecordBatch>()> readAll_;
    /** Changes after a revision, as soon as there are any or the wait is over. */
    std::function<Result<WatchResult>(std::int64_t afterRevision, absl::Duration wait)> watch_;
    /** Writes the registration of an entry host under a new lease. */
    std::function<Result<HostLease>(const std::string &name, const std::string &value)> registerHost_;
    /** Renews a lease; false when it has ended. */
    std::function<Result<bool>(const HostLease &lease)> renewLease_;
    /** Ends a lease, which removes the registration. */
    std::function<Result<void>(const HostLease &lease)> revokeLease_;
};

/** Decodes stored bytes. Errors: the bytes are not a valid record of that kind. */
struct RecordDecoders
{
    std::function<Result<TrafficPolicy>(const std::string &value)> policy_;
    std::function<Result<DiscoveredBackend>(const std::string &name, const std::string &value)> backend_;
};

}
