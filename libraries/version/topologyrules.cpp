// Parsers of the rules that describe the topology: region, platform, entry-host, client-blocks.
#include "version/addressblock.h"
#include "version/boundedparsers.h"
#include "version/ruleparsers.h"
#include "version/units.h"

namespace lycheecleat
{

namespace
{

// Peers exchange state every 500 ms; with a shorter bound, hosts would refuse keyed requests in normal operation.
constexpr auto minimumFreshness = absl::Seconds(1);
// A newly partitioned host may accept a withdrawn key for this long, and the withdrawal must take effect within seconds.
constexpr auto maximumFreshness = absl::Seconds(10);
// With shorter loans, the clock drift margin of 100 ms would be a large part of the loan.
constexpr auto minimumLoan = absl::Milliseconds(200);
// A restarted host waits until the longest possible loan has expired before it uses its own shares.
constexpr auto maximumLoan = absl::Seconds(10);

}

auto parseRegion(const ParserInput &input) -> void
{
    input.configuration_.regions_.push_back({ input.name_, input.reader_.textList("zones") });
}

auto parsePlatform(const ParserInput &input) -> void
{
    auto &reader = input.reader_;
    const auto parseFreshness = within(minimumFreshness, maximumFreshness, parseDuration);
    const auto parseLoan = within(minimumLoan, maximumLoan, parseDuration);
    auto platform = Platform {};
    platform.storeZones_ = reader.textList("store_zones");
    platform.freshness_ = reader.parsed<absl::Duration>("freshness", defaultFreshnessBound, "a duration from 1s to 10s", parseFreshness);
    platform.loan_ = reader.parsed<absl::Duration>("loan", defaultLoanDuration, "a duration from 200ms to 10s", parseLoan);
    input.configuration_.platform_ = platform;
}

auto parseEntryHost(const ParserInput &input) -> void
{
    auto host = EntryHost {};
    host.name_ = input.name_;
    host.zone_ = input.reader_.text("zone");
    host.address_ = input.reader_.address("address");
    host.peer_ = input.reader_.address("peer");
    input.configuration_.entryHosts_.push_back(host);
}

auto parseClientBlocks(const ParserInput &input) -> void
{
    auto blocks = ClientBlocks {};
    blocks.name_ = input.name_;
    blocks.region_ = input.reader_.text("region");
    blocks.blocks_ = input.reader_.textList("blocks");
    for (const auto &block : blocks.blocks_) {
        const auto outcome = attempt([&]() {
            return parseAddressBlock(block);
        });
        if (const auto *error = std::get_if<Error>(&outcome)) {
            input.reader_.report("blocks", "'" + block + "' is not allowed: " + error->message_ + "; allowed: CIDR such as 10.1.0.0/16");
        }
    }
    input.configuration_.clientBlocks_.push_back(std::move(blocks));
}

}
