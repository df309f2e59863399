/** Measures the processor time and bytes of a state exchange between daemons, and the memory per known peer, for several numbers of peers. */
#include "connection/peerclients.h"
#include "core/clock.h"
#include "core/digest.h"
#include "generated/Peer.h"
#include "process/membership.h"
#include "process/peerserver.h"

#include <absl/time/clock.h>
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <ctime>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto usage = R"(Measures exchanges between daemons.

Usage:
  exchangecost [--seconds N] [--first-block N]

Options:
  --seconds N      Measured time of each size [default: 5].
  --first-block N  Peers listen on 127.N.x.y [default: 60].
)";

constexpr auto peerPort = 19200;
constexpr auto hostsPerSubnet = 200;
constexpr auto warmUp = absl::Seconds(2);
constexpr auto digestBytes = 32;
constexpr auto designPeerCount = std::size_t { 3099 };

auto makeHostState(const std::string &name) -> peer::HostState
{
    auto state = peer::HostState {};
    state.name = name;
    state.run = randomHex(8);
    state.zone = "region-01-zone-a";
    state.revision = 123456;
    state.digest = randomHex(digestBytes);
    state.knowledgeAgeMicros = 500000;
    state.storeReachable = true;
    state.peerAddress = "127.0.0.1:19200";
    return state;
}

auto makeHost(int block, int index) -> EntryHost
{
    const auto ip = fmt::format("127.{}.{}.{}", block, index / hostsPerSubnet, index % hostsPerSubnet + 1);
    return EntryHost { fmt::format("region-01-zone-a-h{}", index), "region-01-zone-a", ip + ":80", fmt::format("{}:{}", ip, peerPort) };
}

auto makeHosts(int block, int count) -> std::vector<EntryHost>
{
    auto hosts = std::vector<EntryHost> {};
    for (auto index = 0; index < count; ++index) {
        hosts.push_back(makeHost(block, index));
    }
    return hosts;
}

auto makeMembershipServices(const std::string &name, PeerClients &clients) -> MembershipServices
{
    return { name,
             &clients,
             [state = makeHostState(name)] {
                 return state;
             },
             [](const PeerUpdate &) {} };
}

/** Handles an exchange as a daemon does: passes the sender's state to its membership and responds with its own state. */
class RespondingPeer : public peer::PeerNull
{
public:
    RespondingPeer(const std::string &name, Membership &membership)
        : state_(makeHostState(name))
        , membership_(membership)
    {
    }

    auto exchange(peer::HostState &reply, const peer::HostState &sender) -> void override
    {
        membership_.receive(monotonicNow(), sender);
        reply = state_;
    }

private:
    peer::HostState state_;
    Membership &membership_;
};

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

/** Heap bytes that a membership uses for each peer from which it has received a state. */
auto heapBytesPerPeer(int count) -> double
{
    auto clients = PeerClients();
    auto membership = Membership(makeMembershipServices("own", clients));
    const auto before = heapBytes();
    const auto hosts = makeHosts(1, count);
    membership.setHosts(monotonicNow(), hosts);
    for (const auto &host : hosts) {
        membership.receive(monotonicNow(), makeHostState(host.name_));
    }
    return static_cast<double>(heapBytes() - before) / count;
}

auto measure(int count, int block, absl::Duration duration) -> void
{
    auto clients = PeerClients();
    // Both memberships contain all peers, as in a daemon, since the cost of an exchange may depend on their number.
    auto initiator = Membership(makeMembershipServices("own", clients));
    auto responder = Membership(makeMembershipServices("answering", clients));
    const auto hosts = makeHosts(block, count);
    auto senders = hosts;
    senders.push_back(EntryHost { "own", "region-01-zone-a", "127.0.0.1:80", "127.0.0.1:81" });
    responder.setHosts(monotonicNow(), senders);
    auto servers = std::vector<std::unique_ptr<PeerServer>> {};
    for (const auto &host : hosts) {
        servers.push_back(
            std::make_unique<PeerServer>(host.peer_, std::make_shared<peer::PeerProcessor>(std::make_shared<RespondingPeer>(host.name_, responder))));
        servers.back()->start().value();
    }
    initiator.setHosts(monotonicNow(), hosts);
    initiator.start();
    absl::SleepFor(warmUp + exchangeIntervalFor(static_cast<std::size_t>(count)));
    const auto trafficBefore = clients.traffic();
    const auto sendingBefore = initiator.processorTime();
    const auto totalBefore = processTime();
    absl::SleepFor(duration);
    const auto totalTime = processTime() - totalBefore;
    const auto sendingTime = initiator.processorTime() - sendingBefore;
    const auto traffic = clients.traffic();
    initiator.stop();
    const auto failures = traffic.failures_.count("exchange") > 0 ? traffic.failures_.at("exchange") : 0;
    const auto exchanges = static_cast<double>(traffic.calls_.at("exchange") - trafficBefore.calls_.at("exchange"));
    fmt::print("peers={} exchanges_per_s={:.1f} failures={} sending_us={:.1f} answering_us={:.1f} bytes_sent={:.0f} bytes_received={:.0f} "
               "core_percent_both_roles={:.3f} bytes_per_s_both_roles={:.0f} interval_s={:.2f} liveness_s={:.1f} heap_bytes_per_peer={:.0f}\n",
               count,
               exchanges / absl::ToDoubleSeconds(duration),
               failures,
               absl::ToDoubleMicroseconds(sendingTime) / exchanges,
               absl::ToDoubleMicroseconds(totalTime - sendingTime) / exchanges,
               static_cast<double>(traffic.bytesSent_ - trafficBefore.bytesSent_) / exchanges,
               static_cast<double>(traffic.bytesReceived_ - trafficBefore.bytesReceived_) / exchanges,
               absl::FDivDuration(totalTime, duration) * 100,
               static_cast<double>(traffic.bytesSent_ + traffic.bytesReceived_ - trafficBefore.bytesSent_ - trafficBefore.bytesReceived_) * 2
                   / absl::ToDoubleSeconds(duration),
               absl::ToDoubleSeconds(exchangeIntervalFor(static_cast<std::size_t>(count))),
               absl::ToDoubleSeconds(std::max(livenessTimeout, 4 * exchangeIntervalFor(static_cast<std::size_t>(count)))),
               heapBytesPerPeer(count));
}

}

auto main(int argumentCount, char **arguments) -> int
{
    const auto options = docopt::docopt(usage, { arguments + 1, arguments + argumentCount });
    const auto time = absl::Seconds(options.at("--seconds").asLong());
    auto block = static_cast<int>(options.at("--first-block").asLong());
    for (const auto count : { 16, 64, 256 }) {
        measure(count, block++, time);
    }
    fmt::print("design_peers={} interval_s={:.1f} heap_bytes_per_peer={:.0f}\n",
               designPeerCount,
               absl::ToDoubleSeconds(exchangeIntervalFor(designPeerCount)),
               heapBytesPerPeer(static_cast<int>(designPeerCount)));
    return 0;
}
