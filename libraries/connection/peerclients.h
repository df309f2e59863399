/** Thrift client for calls to peer daemons. */
#pragma once

#include "core/error.h"
#include "generated/peer_types.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lycheecleat
{

/** Counters of calls to peers and their traffic, for metrics. */
struct PeerTraffic
{
    /** Calls by kind. */
    std::map<std::string, std::int64_t> calls_;
    /** Failed calls by kind. */
    std::map<std::string, std::int64_t> failures_;
    std::int64_t bytesSent_ = 0;
    std::int64_t bytesReceived_ = 0;
};

/**
 * Calls peers by IP address and port, over pooled connections. A call that fails or times out closes its connection, so that a late reply
 * is never read as the reply to a later call. Thread-safe. Errors name the peer.
 */
class PeerClients
{
public:
    PeerClients();
    ~PeerClients();
    PeerClients(const PeerClients &) = delete;
    auto operator=(const PeerClients &) -> PeerClients & = delete;

    [[nodiscard]] auto exchange(const std::string &address, const peer::HostState &state, absl::Duration timeout) -> Result<peer::HostState>;
    [[nodiscard]] auto fetchBundle(const std::string &address, std::int64_t revision, absl::Duration timeout) -> Result<peer::ConfigurationBundle>;
    [[nodiscard]] auto borrowRate(const std::string &address,
                                  const std::string &borrower,
                                  std::int64_t revision,
                                  const std::string &limit,
                                  double rate,
                                  double burst,
                                  absl::Duration timeout) -> Result<peer::RateLoan>;
    [[nodiscard]] auto
    borrowSlots(const std::string &address, const std::string &borrower, std::int64_t revision, const std::string &pool, int count, absl::Duration timeout)
        -> Result<peer::SlotLoan>;
    /**
     * Returns slots of a loan to the lender. `remainingSlots` holds the number of slots that the borrower keeps, by backend server; the slots of a backend
     * server that is not listed are all kept.
     */
    [[nodiscard]] auto returnSlots(const std::string &address,
                                   const std::string &borrower,
                                   const std::string &pool,
                                   std::int64_t loan,
                                   const std::map<std::string, int> &remainingSlots,
                                   absl::Duration timeout) -> Result<bool>;
    [[nodiscard]] auto forward(const std::string &address, const peer::ForwardedRequest &request, absl::Duration timeout) -> Result<peer::ForwardedAnswer>;

    /** Counters since construction. */
    [[nodiscard]] auto traffic() const -> PeerTraffic;

private:
    struct ConnectionPool;
    std::unique_ptr<ConnectionPool> connections_;
};

}
