/** Measures memory, build time and lookup time of the client block table at several sizes. */
#include "core/clock.h"
#include "version/clientblocktable.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto usage = R"(Measures the client block table.

Usage:
  clientblocks [--seed N]

Options:
  --seed N  Seed of the random blocks [default: 1].
)";

constexpr auto siteCount = 490U;
constexpr auto lookupCount = 2'000'000;

auto randomBlocks(std::size_t count, std::mt19937_64 &random) -> std::vector<ClientBlock>
{
    auto blocks = std::vector<ClientBlock> {};
    blocks.reserve(count);
    while (blocks.size() < count) {
        // Prefix lengths from /16 to /24, mostly /24, as in routing tables.
        const auto length = 24 - static_cast<int>(random() % 3 == 0 ? random() % 9 : 0);
        const auto address = (absl::uint128 { 0xffff } << 32) | absl::uint128 { static_cast<std::uint32_t>(random()) };
        const auto shift = 32 - length;
        blocks.push_back(ClientBlock { AddressBlock { (address >> shift) << shift, mappedPrefixBits + length }, static_cast<SiteIndex>(random() % siteCount) });
    }
    return blocks;
}

auto measure(std::size_t count, std::uint64_t seed) -> void
{
    auto random = std::mt19937_64 { seed };
    const auto blocks = randomBlocks(count, random);
    const auto buildStart = monotonicNow();
    const auto table = buildClientBlockTable(blocks);
    const auto buildTime = monotonicNow() - buildStart;

    auto addresses = std::vector<absl::uint128> {};
    for (auto index = 0; index < lookupCount; ++index) {
        addresses.push_back((absl::uint128 { 0xffff } << 32) | absl::uint128 { static_cast<std::uint32_t>(random()) });
    }
    auto found = std::int64_t { 0 };
    const auto lookupStart = monotonicNow();
    for (const auto address : addresses) {
        found += findSite(table, address).has_value() ? 1 : 0;
    }
    const auto lookupTime = monotonicNow() - lookupStart;
    fmt::print("blocks={} ranges={} memory_bytes={} bytes_per_block={:.1f} build_ms={:.1f} lookup_ns={:.1f} found={}\n",
               count,
               table.ipv4_.starts_.size(),
               memoryBytes(table),
               static_cast<double>(memoryBytes(table)) / static_cast<double>(count),
               absl::ToDoubleMilliseconds(buildTime),
               absl::ToDoubleNanoseconds(lookupTime) / lookupCount,
               found);
}

}

auto main(int argumentCount, char **arguments) -> int
{
    const auto options = docopt::docopt(usage, { arguments + 1, arguments + argumentCount });
    const auto seed = static_cast<std::uint64_t>(options.at("--seed").asLong());
    for (const auto count : { std::size_t { 11'000 }, std::size_t { 110'000 }, std::size_t { 550'000 }, std::size_t { 1'100'000 } }) {
        measure(count, seed);
    }
    return 0;
}
