#include "version/clientblocktable.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct NamedBlock
{
    std::string block_;
    SiteIndex site_;
};

struct LookupCase
{
    std::string address_;
    std::optional<SiteIndex> expected_;
};

struct BlockTextCase
{
    std::string text_;
    bool valid_;
};

auto parseBlocks(const std::vector<NamedBlock> &named) -> std::vector<ClientBlock>
{
    auto blocks = std::vector<ClientBlock> {};
    for (const auto &entry : named) {
        const auto block = attempt([&] {
            return parseAddressBlock(entry.block_);
        });
        REQUIRE(std::holds_alternative<AddressBlock>(block));
        blocks.push_back(ClientBlock { std::get<AddressBlock>(block), entry.site_ });
    }
    return blocks;
}

auto addressOf(const std::string &text) -> absl::uint128
{
    const auto address = attempt([&] {
        return parseAddress(text);
    });
    REQUIRE(std::holds_alternative<absl::uint128>(address));
    return std::get<absl::uint128>(address);
}

/** Reference implementation of longest-prefix match by a linear scan. */
auto findByScan(const std::vector<ClientBlock> &blocks, absl::uint128 address) -> std::optional<SiteIndex>
{
    auto site = std::optional<SiteIndex> {};
    auto longest = -1;
    for (const auto &block : blocks) {
        const auto inside = address >= block.block_.first_ && address <= lastAddress(block.block_);
        if (inside && block.block_.length_ >= longest) {
            longest = block.block_.length_;
            site = block.site_;
        }
    }
    return site;
}

auto randomBlock(std::mt19937_64 &random) -> ClientBlock
{
    const auto length = mappedPrefixBits + static_cast<int>(random() % 33);
    const auto address = (absl::uint128 { 0xffff } << 32) | absl::uint128 { random() & 0xff0fffffU };
    const auto shift = 128 - length;
    return ClientBlock { AddressBlock { (address >> shift) << shift, length }, static_cast<SiteIndex>(random() % 490) };
}

}

// Guards against matching a client to an enclosing or adjacent block instead of its own.
TEST_CASE("findSite returns the longest matching block")
{
    const auto table = buildClientBlockTable(parseBlocks({ { "10.0.0.0/8", 1 },
                                                           { "10.1.0.0/16", 2 },
                                                           { "10.1.2.0/24", 3 },
                                                           { "10.1.3.0/24", 3 },
                                                           { "255.255.255.255/32", 4 },
                                                           { "2001:db8::/32", 5 },
                                                           { "2001:db8:1::/48", 6 } }));
    const auto cases = std::vector<LookupCase> {
        { "10.0.0.0", 1 },
        { "10.255.255.255", 1 },
        { "10.1.0.1", 2 },
        { "10.1.2.255", 3 },
        { "10.1.3.0", 3 },
        { "10.1.4.0", 2 },
        { "10.2.0.0", 1 },
        { "9.255.255.255", std::nullopt },
        { "11.0.0.0", std::nullopt },
        { "255.255.255.254", std::nullopt },
        { "255.255.255.255", 4 },
        { "2001:db8::1", 5 },
        { "2001:db8:1::1", 6 },
        { "2001:db8:2::1", 5 },
        { "2001:db9::1", std::nullopt },
    };
    for (const auto &lookup : cases) {
        CAPTURE(lookup.address_);
        CHECK(findSite(table, addressOf(lookup.address_)) == lookup.expected_);
    }
}

// Guards against errors in flattening nested blocks that only larger tables show.
TEST_CASE("findSite agrees with a linear scan of random nested blocks")
{
    for (const auto seed : { 1U, 2U, 3U, 4U }) {
        CAPTURE(seed);
        auto random = std::mt19937_64 { seed };
        auto blocks = std::vector<ClientBlock> {};
        for (auto count = 0; count < 300; ++count) {
            blocks.push_back(randomBlock(random));
        }
        const auto table = buildClientBlockTable(blocks);
        for (const auto &block : blocks) {
            CHECK(findSite(table, block.block_.first_) == findByScan(blocks, block.block_.first_));
            CHECK(findSite(table, lastAddress(block.block_)) == findByScan(blocks, lastAddress(block.block_)));
            const auto addressAfter = lastAddress(block.block_) + 1;
            CHECK(findSite(table, addressAfter) == findByScan(blocks, addressAfter));
        }
    }
}

// Guards against accepting malformed blocks, such as 10.0.0.1/8, whose addresses are ambiguous.
TEST_CASE("parseAddressBlock accepts only well-formed blocks")
{
    const auto cases = std::vector<BlockTextCase> {
        { "0.0.0.0/0", true },    { "10.0.0.1", true },   { "::/0", true },      { "10.0.0.1/8", false },     { "10.0.0.0/33", false },
        { "10.0.0.0/-1", false }, { "10.0.0.0/", false }, { "10.0.0/8", false }, { "2001:db8::/129", false }, { "example", false },
    };
    for (const auto &blockCase : cases) {
        CAPTURE(blockCase.text_);
        const auto block = attempt([&] {
            return parseAddressBlock(blockCase.text_);
        });
        CHECK(std::holds_alternative<AddressBlock>(block) == blockCase.valid_);
    }
}
