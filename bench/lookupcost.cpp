/** Measures the processor time of a lookup for several numbers of entry hosts. */
#include "core/clock.h"
#include "core/log.h"
#include "process/lookuphandler.h"
#include "process/processortime.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto usage = R"(Measures lookups.

Usage:
  lookupcost [--lookups N]

Options:
  --lookups N  Lookups of each kind and size [default: 20000].
)";

constexpr auto regionCount = 13;
constexpr auto zoneCount = 30;
constexpr auto blockCount = 2000;
constexpr auto organisationCount = 8;
/** Lookups between two state updates from the peers; at 50 microseconds each, their time is well below the liveness timeout. */
constexpr auto lookupsPerStateUpdate = 2000;
constexpr auto hostCollections = 20;
constexpr auto measuredHost = "h0";

auto zoneName(int zone) -> std::string
{
    return fmt::format("z{}", zone);
}

auto makeConfiguration(int hosts) -> ConfigurationPointer
{
    auto configuration = Configuration {};
    configuration.revision_ = 1;
    for (auto region = 0; region < regionCount; ++region) {
        auto zones = std::vector<std::string> {};
        for (auto zone = region; zone < zoneCount; zone += regionCount) {
            zones.push_back(zoneName(zone));
        }
        configuration.regions_.push_back(Region { fmt::format("r{}", region), zones });
    }
    for (auto index = 0; index < hosts; ++index) {
        const auto ip = fmt::format("10.{}.{}.1", index / 250, index % 250);
        configuration.entryHosts_.push_back({ fmt::format("h{}", index), zoneName(index % zoneCount), ip + ":80", ip + ":81" });
    }
    for (auto index = 0; index < blockCount; ++index) {
        const auto name = fmt::format("b{}", index);
        configuration.clientBlocks_.push_back({ name, fmt::format("r{}", index % regionCount), { fmt::format("11.{}.{}.0/24", index / 256, index % 256) } });
    }
    for (auto index = 0; index < organisationCount; ++index) {
        auto organisation = Organisation {};
        organisation.name_ = fmt::format("o{}", index);
        configuration.organisations_.push_back(organisation);
    }
    return std::make_shared<const Configuration>(configuration);
}

auto receivePeerStates(Membership &membership, const Configuration &configuration) -> void
{
    for (const auto &host : configuration.entryHosts_) {
        auto state = peer::HostState {};
        state.name = host.name_;
        state.run = "0123456789abcdef";
        state.zone = host.zone_;
        membership.receive(monotonicNow(), state);
    }
}

auto sendLookup(LookupHandler &handler, int number, bool withOrganisation) -> bool
{
    auto request = httplib::Request {};
    request.method = "GET";
    request.target = fmt::format("/.well-known/lycheecleat/lookup?client=11.{}.{}.7", number / 256 % 8, number % 256);
    if (withOrganisation) {
        request.target += fmt::format("&organisation=o{}", number % organisationCount);
    }
    auto response = httplib::Response {};
    handler.handle(request, response);
    return response.status == 200;
}

/** Processor microseconds of one lookup. The handler collects the live hosts again every 100 ms, as in a daemon. */
auto lookupTime(LookupHandler &handler, Membership &membership, const Configuration &configuration, int lookups, bool withOrganisation) -> double
{
    auto meter = ProcessorTimeMeter {};
    auto succeeded = 0;
    for (auto first = 0; first < lookups; first += lookupsPerStateUpdate) {
        receivePeerStates(membership, configuration);
        const auto scope = ProcessorTimeMeter::Scope(meter);
        for (auto number = first; number < std::min(first + lookupsPerStateUpdate, lookups); ++number) {
            succeeded += sendLookup(handler, number, withOrganisation) ? 1 : 0;
        }
    }
    if (succeeded != lookups) {
        fmt::print("only {} of {} lookups succeeded\n", succeeded, lookups);
    }
    return absl::ToDoubleMicroseconds(meter.total()) / lookups;
}

/** Processor microseconds of one collection of the live hosts. */
auto hostCollectionTime(const Membership &membership) -> double
{
    auto meter = ProcessorTimeMeter {};
    for (auto number = 0; number < hostCollections; ++number) {
        const auto scope = ProcessorTimeMeter::Scope(meter);
        auto available = AvailableHosts {};
        for (const auto &view : membership.views()) {
            available[view.host_.name_] = view.state_.run;
        }
    }
    return absl::ToDoubleMicroseconds(meter.total()) / hostCollections;
}

auto measure(int hosts, int lookups) -> void
{
    const auto configuration = makeConfiguration(hosts);
    auto clients = PeerClients();
    auto membership = Membership(MembershipServices { measuredHost,
                                                      &clients,
                                                      [] {
                                                          return peer::HostState {};
                                                      },
                                                      [](const PeerUpdate &) {} });
    membership.setHosts(monotonicNow(), configuration->entryHosts_);
    auto handler = LookupHandler(LookupServices { measuredHost, "run", zoneName(0), "secret", absl::Seconds(5), &membership, [] {
                                                     return false;
                                                 } });
    handler.configure(configuration);
    const auto plain = lookupTime(handler, membership, *configuration, lookups, false);
    const auto withOrganisation = lookupTime(handler, membership, *configuration, lookups, true);
    fmt::print("hosts={} lookup_us={:.1f} lookup_with_organisation_us={:.1f} collect_live_hosts_us={:.0f}\n",
               hosts,
               plain,
               withOrganisation,
               hostCollectionTime(membership));
}

}

auto main(int argumentCount, char **arguments) -> int
{
    const auto options = docopt::docopt(usage, { arguments + 1, arguments + argumentCount });
    auto log = LogSettings {};
    log.linesPerSecond_ = 1;
    configureLog(log);
    for (const auto hosts : { 18, 490, 3100 }) {
        measure(hosts, static_cast<int>(options.at("--lookups").asLong()));
    }
    return 0;
}
