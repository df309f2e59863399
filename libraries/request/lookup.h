/** Decides which entry hosts a client is to use. */
#pragma once

#include "core/error.h"
#include "version/clientblocktable.h"
#include "version/configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Entry hosts in one answer at most. */
inline constexpr auto maximumLookupHosts = std::size_t { 16 };

/** Weight of an entry host. All hosts of an answer have the same, since shares are split equally. */
inline constexpr auto lookupWeight = 100;

/** What lookups need of one configuration, prepared once. */
struct LookupTable
{
    ConfigurationPointer configuration_;
    ClientBlockTable blocks_;
    /** Region names by site index of the block table. */
    std::vector<std::string> regions_;
    /** Entry hosts that are not drained, by region. */
    std::map<std::string, std::vector<EntryHost>> hosts_;
};

/** Prepares a configuration for lookups. */
[[nodiscard]] auto buildLookupTable(const ConfigurationPointer &configuration) -> LookupTable;

/** The region of the client block that holds an address; none when no block does. Errors: not an IP address. */
[[nodiscard]] auto regionOfClient(const LookupTable &table, const std::string &client) -> Result<std::optional<std::string>>;

/** Runs of the hosts that are live and not leaving, by host name. */
using AvailableHosts = std::map<std::string, std::string>;

/** One lookup. */
struct LookupQuery
{
    /** Region the client is nearest to. */
    std::string region_;
    /** Empty when it is not known. */
    std::string organisation_;
    std::uint64_t seed_ = 0;
};

/** Why these hosts were chosen. */
enum class LookupReason {
    /** Hosts of the region that hold shares of the organisation. */
    Organisation,
    /** Hosts of the region. */
    Region,
    /** Hosts of other regions, since none of the region is available. */
    OtherRegion,
    /** No host is available. */
    None,
};

/** Name of a reason for log lines. */
[[nodiscard]] auto lookupReasonName(LookupReason reason) -> const char *;

/** The hosts to use, in an order that the seed spreads. The run token of the answer names the first. */
struct LookupDecision
{
    LookupReason reason_ = LookupReason::None;
    std::vector<EntryHost> hosts_;
    /** Run of the first host. */
    std::string run_;
};

/** Decides one lookup. */
[[nodiscard]] auto decideLookup(const LookupTable &table, const AvailableHosts &available, const LookupQuery &query) -> LookupDecision;

}
