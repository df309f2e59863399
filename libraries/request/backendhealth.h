/** Health of backend servers: outlier ejection, health reports and slow start. */
#pragma once

#include "version/configuration.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lycheecleat
{

/** What an exchange says about the health of a backend server. */
enum class ExchangeHealth {
    /** A whole response. */
    Success,
    /** No whole response. */
    Failure,
    /** No connection: the server is not there. */
    Unreachable,
    /** The server closes its connections; it may be about to leave. */
    Closing,
};

/** What the health endpoint of a backend server answered. */
struct HealthReport
{
    /** The server says that it is draining. */
    bool draining_ = false;
    /** The server closes the connection of the report. */
    bool closing_ = false;
};

/** Backend servers to leave out of a choice. */
struct Exclusions
{
    /** Drained or leaving: they must get no request. */
    std::vector<std::string> required_;
    /** Ejected, reported as leaving, closing or in slow start: left out as long as others remain. */
    std::vector<std::string> preferred_;
};

/** Health of backend servers by name. Not thread-safe. Times are monotonic. */
class BackendHealth
{
public:
    /** Takes over a configuration and the leaving backend servers. Servers that are new or back from a drain enter slow start. */
    auto configure(absl::Time now, const Configuration &configuration, const std::vector<std::string> &leaving) -> void;

    auto note(absl::Time now, const std::string &backend, ExchangeHealth health) -> void;

    /** Takes an answer of a health endpoint; says whether the server begins or ceases to be reported as leaving. */
    auto report(absl::Time now, const std::string &backend, const HealthReport &report) -> bool;

    /**
     * The backend servers of a pool to leave out for a request with the given hash. Ejection and health reports together never take more than half of
     * a zone's servers that are in use, and ejection, which rests on requests, comes first: health endpoints may lie.
     */
    [[nodiscard]] auto exclusions(absl::Time now, const Pool &pool, std::uint64_t requestHash) const -> Exclusions;

private:
    struct Server
    {
        int failures_ = 0;
        int ejections_ = 0;
        absl::Time ejectedUntil_ = absl::InfinitePast();
        int consecutiveClosings_ = 0;
        absl::Time closingUntil_ = absl::InfinitePast();
        /** When the server began to be reported as leaving; infinite while it is not. */
        absl::Time leavingSince_ = absl::InfiniteFuture();
        bool isReportedDraining_ = false;
        /** The health endpoint has kept its connection at least once. */
        bool hasKeptConnection_ = false;
        /** Start of slow start. */
        absl::Time slowStartAt_ = absl::InfinitePast();
        /** Drained or leaving. */
        bool isDrainedOrLeaving_ = false;
    };

    [[nodiscard]] auto cappedExclusions(absl::Time now, const Pool &pool) const -> std::vector<std::string>;
    [[nodiscard]] auto isAvoidedFor(absl::Time now, const Pool &pool, const std::string &name, const Server &server, std::uint64_t requestHash) const -> bool;

    bool hasConfiguration_ = false;
    absl::flat_hash_map<std::string, Server> servers_;
};

}
