#include "version/clientblocktable.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto noSite = std::numeric_limits<SiteIndex>::max();
constexpr auto indexShift = 16U;
constexpr auto indexSize = std::size_t { 1 } << indexShift;

/** A block that encloses the current address while blocks are processed in ascending order. */
struct OpenBlock
{
    absl::uint128 last_;
    SiteIndex site_;
};

/** Collects range starts in ascending order and skips those that have the same site as the range before. */
struct RangeBuilder
{
    AddressRanges<absl::uint128> ranges_;

    auto add(absl::uint128 start, SiteIndex site) -> void
    {
        if (!ranges_.starts_.empty() && ranges_.starts_.back() == start) {
            ranges_.starts_.pop_back();
            ranges_.sites_.pop_back();
        }
        const auto unchanged = ranges_.sites_.empty() ? site == noSite : ranges_.sites_.back() == site;
        if (unchanged) {
            return;
        }
        ranges_.starts_.push_back(start);
        ranges_.sites_.push_back(site);
    }
};

auto innermostSite(const std::vector<OpenBlock> &open) -> SiteIndex
{
    return open.empty() ? noSite : open.back().site_;
}

auto closeBlocksBefore(absl::uint128 address, std::vector<OpenBlock> &open, RangeBuilder &builder) -> void
{
    while (!open.empty() && open.back().last_ < address) {
        const auto next = open.back().last_ + 1;
        open.pop_back();
        builder.add(next, innermostSite(open));
    }
}

auto closeAllBlocks(std::vector<OpenBlock> &open, RangeBuilder &builder) -> void
{
    while (!open.empty()) {
        const auto last = open.back().last_;
        open.pop_back();
        if (last == absl::Uint128Max()) {
            continue;
        }
        builder.add(last + 1, innermostSite(open));
    }
}

auto flatten(const std::vector<ClientBlock> &sorted) -> AddressRanges<absl::uint128>
{
    auto builder = RangeBuilder {};
    auto open = std::vector<OpenBlock> {};
    for (const auto &block : sorted) {
        closeBlocksBefore(block.block_.first_, open, builder);
        open.push_back(OpenBlock { lastAddress(block.block_), block.site_ });
        builder.add(block.block_.first_, block.site_);
    }
    closeAllBlocks(open, builder);
    return std::move(builder.ranges_);
}

auto splitIpv4(const AddressRanges<absl::uint128> &ranges, ClientBlockTable &table) -> void
{
    constexpr auto firstMapped = absl::uint128 { 0xffff } << 32;
    constexpr auto mappedEnd = firstMapped + (absl::uint128 { 1 } << 32);
    auto enclosingSite = noSite;
    for (auto index = std::size_t { 0 }; index < ranges.starts_.size(); ++index) {
        const auto start = ranges.starts_[index];
        if (start >= firstMapped && start < mappedEnd) {
            table.ipv4_.starts_.push_back(static_cast<std::uint32_t>(absl::Uint128Low64(start - firstMapped)));
            table.ipv4_.sites_.push_back(ranges.sites_[index]);
            continue;
        }
        if (start < firstMapped) {
            enclosingSite = ranges.sites_[index];
        }
        table.ipv6_.starts_.push_back(start);
        table.ipv6_.sites_.push_back(ranges.sites_[index]);
    }
    // An IPv6 block may enclose the IPv4-mapped addresses; its site then applies from the first IPv4 address.
    const auto needsLeadingRange = enclosingSite != noSite && (table.ipv4_.starts_.empty() || table.ipv4_.starts_.front() != 0);
    if (needsLeadingRange) {
        table.ipv4_.starts_.insert(table.ipv4_.starts_.begin(), 0);
        table.ipv4_.sites_.insert(table.ipv4_.sites_.begin(), enclosingSite);
    }
}

auto buildIndex(const AddressRanges<std::uint32_t> &ranges) -> std::vector<std::uint32_t>
{
    if (ranges.starts_.empty()) {
        return {};
    }
    auto index = std::vector<std::uint32_t>(indexSize + 1);
    auto position = std::size_t { 0 };
    for (auto prefix = std::size_t { 0 }; prefix < indexSize; ++prefix) {
        while (position < ranges.starts_.size() && (ranges.starts_[position] >> indexShift) < prefix) {
            ++position;
        }
        index[prefix] = static_cast<std::uint32_t>(position);
    }
    index[indexSize] = static_cast<std::uint32_t>(ranges.starts_.size());
    return index;
}

template<typename Iterator, typename Address>
auto siteAt(Iterator begin, Iterator end, Iterator rangesBegin, const std::vector<SiteIndex> &sites, Address address) -> std::optional<SiteIndex>
{
    const auto nextRange = std::upper_bound(begin, end, address);
    if (nextRange == rangesBegin) {
        return std::nullopt;
    }
    const auto site = sites[static_cast<std::size_t>(nextRange - rangesBegin) - 1];
    return site == noSite ? std::nullopt : std::optional(site);
}

template<typename Address>
auto rangesBytes(const AddressRanges<Address> &ranges) -> std::size_t
{
    return ranges.starts_.capacity() * sizeof(Address) + ranges.sites_.capacity() * sizeof(SiteIndex);
}

}

auto buildClientBlockTable(std::vector<ClientBlock> blocks) -> ClientBlockTable
{
    std::stable_sort(blocks.begin(), blocks.end(), [](const ClientBlock &left, const ClientBlock &right) {
        if (left.block_.first_ != right.block_.first_) {
            return left.block_.first_ < right.block_.first_;
        }
        return left.block_.length_ < right.block_.length_;
    });
    auto table = ClientBlockTable {};
    splitIpv4(flatten(blocks), table);
    table.ipv4_.starts_.shrink_to_fit();
    table.ipv4_.sites_.shrink_to_fit();
    table.ipv6_.starts_.shrink_to_fit();
    table.ipv6_.sites_.shrink_to_fit();
    table.ipv4Index_ = buildIndex(table.ipv4_);
    return table;
}

auto findSite(const ClientBlockTable &table, absl::uint128 address) -> std::optional<SiteIndex>
{
    if (!isMappedIpv4(address)) {
        const auto &starts = table.ipv6_.starts_;
        return siteAt(starts.begin(), starts.end(), starts.begin(), table.ipv6_.sites_, address);
    }
    const auto &starts = table.ipv4_.starts_;
    if (starts.empty()) {
        return std::nullopt;
    }
    const auto ipv4 = static_cast<std::uint32_t>(absl::Uint128Low64(address));
    const auto prefix = ipv4 >> indexShift;
    const auto begin = starts.begin() + table.ipv4Index_[prefix];
    const auto end = starts.begin() + table.ipv4Index_[prefix + 1];
    return siteAt(begin, end, starts.begin(), table.ipv4_.sites_, ipv4);
}

auto memoryBytes(const ClientBlockTable &table) -> std::size_t
{
    return rangesBytes(table.ipv4_) + rangesBytes(table.ipv6_) + table.ipv4Index_.capacity() * sizeof(std::uint32_t);
}

}
