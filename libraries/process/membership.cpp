#include "process/membership.h"

#include "core/clock.h"
#include "process/processortime.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lycheecleat
{

namespace
{

/** Exchange intervals without contact after which a peer of a large fleet is no longer live. */
constexpr auto missedIntervals = 4;

}

auto isLive(absl::Time seenAt, absl::Time now, std::size_t peers) -> bool
{
    return now - seenAt <= std::max(livenessTimeout, missedIntervals * exchangeIntervalFor(peers));
}

Membership::Membership(MembershipServices services)
    : services_(std::move(services))
{
}

Membership::~Membership()
{
    stop();
}

auto Membership::start() -> void
{
    for (auto index = 0; index < exchangeThreads; ++index) {
        threads_.emplace_back([this] {
            run();
        });
    }
}

auto Membership::stop() -> void
{
    {
        const auto lock = absl::MutexLock(&mutex_);
        stopping_ = true;
        changed_.SignalAll();
    }
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

auto Membership::setHosts(absl::Time now, const std::vector<EntryHost> &hosts) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    auto names = std::vector<std::string> {};
    auto next = std::map<std::string, PeerView> {};
    for (const auto &host : hosts) {
        if (host.name_ == services_.hostName_) {
            continue;
        }
        auto &view = next[host.name_];
        const auto found = views_.find(host.name_);
        // State received from the previous address does not apply to the machine at a new one.
        if (found != views_.end() && found->second.host_ == host) {
            view = found->second;
        }
        view.host_ = host;
        names.push_back(host.name_);
    }
    views_ = std::move(next);
    schedule_.setPeers(now, names);
    changed_.SignalAll();
}

auto Membership::receive(absl::Time now, const peer::HostState &sender) -> void
{
    const auto declaredAddress = record(now, sender);
    services_.onUpdate_(PeerUpdate { sender, declaredAddress.empty() ? sender.peerAddress : declaredAddress, std::nullopt });
}

auto Membership::triggerExchange(absl::Time now) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    schedule_.expedite(now, static_cast<std::uint64_t>(absl::ToUnixNanos(now)));
    changed_.SignalAll();
}

auto Membership::ownState() const -> peer::HostState
{
    return services_.ownState_();
}

auto Membership::views() const -> std::vector<PeerView>
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    auto all = std::vector<PeerView> {};
    for (const auto &[name, view] : views_) {
        all.push_back(view);
    }
    return all;
}

auto Membership::liveNames(absl::Time now) const -> std::vector<std::string>
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    auto names = std::vector<std::string> {};
    for (const auto &[name, view] : views_) {
        if (isLive(view.lastSeenAt_, now, views_.size())) {
            names.push_back(name);
        }
    }
    return names;
}

auto Membership::processorTime() -> absl::Duration
{
    return processorTimeOf(threads_);
}

auto Membership::run() -> void
{
    while (const auto peer = waitForPeer()) {
        exchangeWith(*peer);
    }
}

auto Membership::waitForPeer() -> std::optional<PeerView>
{
    const auto lock = absl::MutexLock(&mutex_);
    while (!stopping_) {
        const auto now = monotonicNow();
        const auto name = schedule_.next(now);
        if (name) {
            return views_[*name];
        }
        changed_.WaitWithTimeout(&mutex_, schedule_.nextDue() - now);
    }
    return std::nullopt;
}

auto Membership::exchangeWith(const PeerView &peer) -> void
{
    const auto sentState = ownState();
    const auto sentAt = monotonicNow();
    const auto outcome = attempt([&] {
        return services_.peers_->exchange(peer.host_.peer_, sentState, exchangeTimeout);
    });
    const auto *response = std::get_if<peer::HostState>(&outcome);
    // A response with another name comes from a different host, for example after the address was reassigned.
    const auto succeeded = response != nullptr && response->name == peer.host_.name_;
    if (succeeded) {
        record(sentAt, *response);
        services_.onUpdate_(PeerUpdate { *response, peer.host_.peer_, sentAt });
    }
    const auto lock = absl::MutexLock(&mutex_);
    schedule_.finish(monotonicNow(), peer.host_.name_, succeeded);
    changed_.Signal();
}

auto Membership::record(absl::Time seenAt, const peer::HostState &state) -> std::string
{
    const auto lock = absl::MutexLock(&mutex_);
    const auto found = views_.find(state.name);
    if (found == views_.end()) {
        return {};
    }
    auto &view = found->second;
    if (seenAt >= view.lastSeenAt_) {
        view.state_ = state;
        view.lastSeenAt_ = seenAt;
    }
    return view.host_.peer_;
}

}
