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

/** Result of an exchange with a backend server as a health signal. */
enum class ExchangeHealth {
    /** A complete response. */
    Success,
    /** No complete response. */
    Failure,
    /** No connection could be opened; ejects the server at once. */
    Unreachable,
    /** A complete response after which the server closes the connection, possibly because it is shutting down. */
    Closing,
};

/** Response of a backend server's health endpoint. */
struct HealthReport
{
    /** The server reports that it is draining. */
    bool draining_ = false;
    /** The server closes the connection over which it sent this report. */
    bool closing_ = false;
};

/** Names of backend servers to exclude from the choice for a request. */
struct Exclusions
{
    /** Drained or leaving; must not get the request. */
    std::vector<std::string> required_;
    /** Ejected, reported as leaving, closing or throttled by slow start; excluded as long as other servers remain. */
    std::vector<std::string> preferred_;
};

/** Health of backend servers by name. Not thread-safe. Times are monotonic. */
class BackendHealth
{
public:
    /**
     * Applies a configuration and the names of the leaving backend servers. Servers that are new or no longer drained enter slow start; the servers of
     * the first configuration don't. State of servers that the configuration doesn't name is dropped.
     */
    auto configure(absl::Time now, const Configuration &configuration, const std::vector<std::string> &leaving) -> void;

    /** Records the result of an exchange. Names of servers that are not configured are ignored. */
    auto recordExchange(absl::Time now, const std::string &backend, ExchangeHealth health) -> void;

    /** Records a health report; returns whether the server thereby starts or stops being reported as leaving. */
    auto recordReport(absl::Time now, const std::string &backend, const HealthReport &report) -> bool;

    /**
     * The backend servers of a pool to exclude for a request with the given hash. Of the servers of a zone that are neither drained nor leaving, health
     * reports exclude at most half, since a health endpoint may report a wrong state, ejection excludes at most half, and together they leave one. A server
     * that is reported as leaving takes precedence over an ejected one, which may have failed only because of a busy machine.
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
        /** Since when the server has been reported as leaving; infinite future while it is not. */
        absl::Time leavingSince_ = absl::InfiniteFuture();
        bool isReportedDraining_ = false;
        /** The health endpoint has kept its connection open at least once. */
        bool hasKeptConnection_ = false;
        /** Start of slow start. */
        absl::Time slowStartAt_ = absl::InfinitePast();
        bool isDrainedOrLeaving_ = false;
    };

    /** Servers reported as leaving and ejected ones, at most half of each zone each. */
    [[nodiscard]] auto cappedExclusions(absl::Time now, const Pool &pool) const -> std::vector<std::string>;
    /** Whether a server is closing its connections, or slow start withholds the request with the given hash from it. */
    [[nodiscard]] auto isAvoidedFor(absl::Time now, const Pool &pool, const std::string &name, const Server &server, std::uint64_t requestHash) const -> bool;

    bool hasConfiguration_ = false;
    absl::flat_hash_map<std::string, Server> servers_;
};

}
