/** Measures the processor time, stored bytes and heap use of a configuration change for rule folders of several sizes. */
#include "connection/peerclients.h"
#include "core/clock.h"
#include "process/limitenforcer.h"
#include "request/lookup.h"
#include "version/bundle.h"
#include "version/rulefolder.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto usage = R"(Measures configuration changes.

Usage:
  changecost
)";

constexpr auto regionCount = 13;
constexpr auto zoneCount = 30;
constexpr auto organisationCount = 8;
constexpr auto backendsPerZone = 2;
constexpr auto revision = std::int64_t { 1000 };
constexpr auto measuredHost = "h0";

/** Numbers of entry hosts, keys and client blocks in a rule folder. */
struct FolderSize
{
    int hosts_;
    int keys_;
    int blocks_;
};

auto zoneName(int zone) -> std::string
{
    return fmt::format("z{}", zone);
}

auto regionRules() -> RuleFiles
{
    auto files = RuleFiles { { "00-platform.yaml", "kind: platform\nname: platform\nstore_zones: [z0]\n" } };
    for (auto region = 0; region < regionCount; ++region) {
        auto zones = std::string {};
        for (auto zone = region; zone < zoneCount; zone += regionCount) {
            zones += (zones.empty() ? "" : ", ") + zoneName(zone);
        }
        files.push_back({ fmt::format("10-region-{}.yaml", region), fmt::format("kind: region\nname: r{}\nzones: [{}]\n", region, zones) });
    }
    return files;
}

auto blockRules(int count) -> RuleFiles
{
    constexpr auto blocksPerFile = 1000;
    auto files = RuleFiles {};
    for (auto first = 0; first < count; first += blocksPerFile) {
        auto text = fmt::format("kind: client-blocks\nname: b{}\nregion: r{}\nblocks:\n", first, first / blocksPerFile % regionCount);
        for (auto index = first; index < std::min(first + blocksPerFile, count); ++index) {
            text += fmt::format("  - {}.{}.{}.0/24\n", 1 + index / 65536, index / 256 % 256, index % 256);
        }
        files.push_back({ fmt::format("30-blocks-{}.yaml", first), text });
    }
    return files;
}

auto makeRules(const FolderSize &size) -> RuleFiles
{
    auto files = regionRules();
    for (auto index = 0; index < size.hosts_; ++index) {
        const auto ip = fmt::format("10.{}.{}.1", index / 250, index % 250);
        files.push_back({ fmt::format("20-host-{}.yaml", index),
                          fmt::format("kind: entry-host\nname: h{}\nzone: {}\naddress: {}:80\npeer: {}:81\n", index, zoneName(index % zoneCount), ip, ip) });
    }
    const auto blocks = blockRules(size.blocks_);
    files.insert(files.end(), blocks.begin(), blocks.end());
    for (auto index = 0; index < organisationCount; ++index) {
        files.push_back(
            { fmt::format("40-organisation-{}.yaml", index), fmt::format("kind: organisation\nname: o{}\nrate: 2000/s\nburst: 2000\nweight: 1\n", index) });
    }
    auto pool = std::string { "kind: pool\nname: pool\nslots: 9\nbackends:\n" };
    for (auto index = 0; index < zoneCount * backendsPerZone; ++index) {
        pool += fmt::format("  - {{name: b{}, zone: {}, address: '10.200.{}.1:80'}}\n", index, zoneName(index % zoneCount), index);
    }
    files.push_back({ "50-pool.yaml", pool });
    files.push_back(
        { "60-route.yaml", "kind: route\nname: route\nhost: '*'\npath: /\npool: pool\naccess: keyed\nrepeatable: true\ndeadline: 2s\nbody_limit: 1MiB\n" });
    for (auto index = 0; index < size.keys_; ++index) {
        files.push_back(
            { fmt::format("keys.d/key-{}.yaml", index),
              fmt::format("kind: key\nname: key-{}\norganisation: o{}\ndigest: {:064x}\nstate: active\n", index, index % organisationCount, index + 1) });
    }
    std::sort(files.begin(), files.end(), [](const RuleFile &left, const RuleFile &right) {
        return left.name_ < right.name_;
    });
    return files;
}

/** Bytes allocated on the heap, including large blocks that malloc maps separately. */
auto heapBytes() -> std::size_t
{
    const auto use = mallinfo2();
    return use.uordblks + use.hblkhd;
}

auto processTime() -> absl::Duration
{
    auto time = timespec {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return absl::DurationFromTimespec(time);
}

/** Processor milliseconds since the given process time, which is then set to the current one. */
auto lapMilliseconds(absl::Duration &since) -> double
{
    const auto now = processTime();
    const auto passed = absl::ToDoubleMilliseconds(now - since);
    since = now;
    return passed;
}

auto measure(const FolderSize &size) -> void
{
    const auto files = makeRules(size);
    auto since = processTime();
    const auto packed = attempt([&] {
        return packBundle(files, revision, {});
    });
    const auto packTime = lapMilliseconds(since);
    if (const auto *error = std::get_if<Error>(&packed)) {
        fmt::print("hosts={} keys={} blocks={} files={} refused: {}\n", size.hosts_, size.keys_, size.blocks_, files.size(), describe(*error));
        return;
    }
    const auto &bundle = std::get<Bundle>(packed);
    auto total = std::size_t { 0 };
    auto largest = std::size_t { 0 };
    for (const auto &[digest, chunk] : bundle.chunks_) {
        total += chunk.size();
        largest = std::max(largest, chunk.size());
    }
    since = processTime();
    const auto unpacked = unpackBundle(bundle).value();
    const auto unpackTime = lapMilliseconds(since);
    const auto heapBefore = heapBytes();
    auto checked = checkRules(unpacked);
    const auto checkTime = lapMilliseconds(since);
    if (!checked.problems_.empty()) {
        fmt::print("the generated rules are invalid: {}\n", checked.problems_.front().message_);
        return;
    }
    checked.configuration_.revision_ = revision;
    const auto configuration = std::make_shared<const Configuration>(std::move(checked.configuration_));
    const auto heap = heapBytes() - heapBefore;
    since = processTime();
    const auto table = buildLookupTable(configuration);
    const auto tableTime = lapMilliseconds(since);
    auto clients = PeerClients();
    auto limitEnforcer = LimitEnforcer(measuredHost, monotonicNow(), &clients);
    since = processTime();
    limitEnforcer.configure(monotonicNow(), configuration);
    const auto limitTime = lapMilliseconds(since);
    fmt::print("hosts={} keys={} blocks={} files={} pack_ms={:.1f} unpack_ms={:.1f} check_ms={:.1f} lookup_table_ms={:.1f} shares_ms={:.1f} follow_ms={:.1f} "
               "head_bytes={} largest_chunk_bytes={} all_chunks_bytes={} configuration_heap_bytes={}\n",
               size.hosts_,
               size.keys_,
               size.blocks_,
               files.size(),
               packTime,
               unpackTime,
               checkTime,
               tableTime,
               limitTime,
               unpackTime + checkTime + tableTime + limitTime,
               serializeHead(bundle.head_).size(),
               largest,
               total,
               heap);
}

}

auto main(int argumentCount, char **arguments) -> int
{
    docopt::docopt(usage, { arguments + 1, arguments + argumentCount });
    // Varies hosts, keys and blocks one at a time, to show how the cost grows with each. The last sizes are meant to be rejected.
    const auto sizes = std::vector<FolderSize> {
        { 18, 100, 1000 },  { 490, 100, 1000 },  { 3100, 100, 1000 }, { 18, 1000, 1000 },      { 18, 10000, 1000 },
        { 18, 100, 10000 }, { 18, 100, 100000 }, { 18, 100, 300000 }, { 3100, 10000, 100000 }, { 18, 100, 1100000 },
    };
    for (const auto &size : sizes) {
        measure(size);
    }
    return 0;
}
