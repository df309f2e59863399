/** Selects the entry hosts that a client should connect to. */
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

/** Maximum number of entry hosts in a response. */
inline constexpr auto maximumLookupHosts = std::size_t { 16 };

/** Weight of an entry host in a response. All hosts have the same weight, since rate shares are split equally. */
inline constexpr auto lookupWeight = 100;

/** Data that lookups need from one configuration, computed once per configuration. Immutable afterwards, so it may be shared between threads. */
struct LookupTable
{
    ConfigurationPointer configuration_;
    ClientBlockTable blocks_;
    /** Region names by site index of the block table. */
    std::vector<std::string> regions_;
    /** Entry hosts that are not drained, by region. */
    std::map<std::string, std::vector<EntryHost>> hosts_;
};

/** Computes the lookup table of a configuration. */
[[nodiscard]] auto buildLookupTable(const ConfigurationPointer &configuration) -> LookupTable;

/** The region of the longest client block that contains an address; none when no block does. Errors: not an IP address. */
[[nodiscard]] auto regionOfClient(const LookupTable &table, const std::string &client) -> Result<std::optional<std::string>>;

/** Run identifiers of the hosts that are live and not leaving, by host name. */
using AvailableHosts = std::map<std::string, std::string>;

/** Inputs of one lookup. */
struct LookupQuery
{
    /** Region the client is nearest to. */
    std::string region_;
    /** Empty when it is not known. */
    std::string organisation_;
    std::uint64_t seed_ = 0;
};

/** Why the hosts of a decision were chosen. */
enum class LookupReason {
    /** Hosts of the region that own shares of the organisation's rate. */
    Organisation,
    /** Any hosts of the region. */
    Region,
    /** Hosts of any region, since none of the client's region is available. */
    OtherRegion,
    /** No host is available. */
    None,
};

/** Name of a reason in log lines. */
[[nodiscard]] auto lookupReasonName(LookupReason reason) -> const char *;

/** The hosts to use, at most maximumLookupHosts, in a random order given by the seed. The run token of the response names the first host. */
struct LookupDecision
{
    LookupReason reason_ = LookupReason::None;
    std::vector<EntryHost> hosts_;
    /** Run identifier of the first host; empty without hosts. */
    std::string run_;
};

/** Chooses available hosts: of the organisation in the region if there are any, else of the region, else of any region. */
[[nodiscard]] auto decideLookup(const LookupTable &table, const AvailableHosts &available, const LookupQuery &query) -> LookupDecision;

}
