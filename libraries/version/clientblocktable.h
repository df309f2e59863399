/** Finds the region of a client address by longest-prefix match. */
#pragma once

#include "version/addressblock.h"

#include <absl/numeric/int128.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lycheecleat
{

/** Index of a site or region in a list that the caller owns. */
using SiteIndex = std::uint16_t;

/** A block of client addresses and the site that serves it. */
struct ClientBlock
{
    AddressBlock block_;
    SiteIndex site_ = 0;

    auto operator==(const ClientBlock &other) const -> bool = default;
};

/** Sorted ranges of addresses: range i starts at starts_[i] and ends before starts_[i + 1]. */
template<typename Address>
struct AddressRanges
{
    std::vector<Address> starts_;
    std::vector<SiteIndex> sites_;

    auto operator==(const AddressRanges &other) const -> bool = default;
};

/**
 * An immutable longest-prefix match table. Nested blocks are flattened into ranges that do not overlap, so a lookup is one binary search;
 * a trie would need several times the memory at a million blocks. IPv4 ranges have 32-bit starts.
 */
struct ClientBlockTable
{
    AddressRanges<std::uint32_t> ipv4_;
    /** Index of the first range of each IPv4 /16, which narrows the binary search. Empty when there are no IPv4 ranges. */
    std::vector<std::uint32_t> ipv4Index_;
    AddressRanges<absl::uint128> ipv6_;

    auto operator==(const ClientBlockTable &other) const -> bool = default;
};

/** Builds a table. If equal blocks have different sites, the last one takes precedence. */
[[nodiscard]] auto buildClientBlockTable(std::vector<ClientBlock> blocks) -> ClientBlockTable;

/** The site of the longest block that contains the address; none if no block does. */
[[nodiscard]] auto findSite(const ClientBlockTable &table, absl::uint128 address) -> std::optional<SiteIndex>;

/** Memory allocated for the table's arrays, in bytes. */
[[nodiscard]] auto memoryBytes(const ClientBlockTable &table) -> std::size_t;

}
