/** Simulates hosts that share the organisations' quotas, in virtual time and with fixed seeds; for tests and experiments. */
#pragma once

#include "core/digest.h"
#include "process/hosttable.h"
#include "process/organisationquotas.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lycheecleat
{

/** Size and shape of a simulated deployment. */
struct QuotaFleetShape
{
    int hosts_ = 0;
    int zones_ = 0;
    int zonesPerRegion_ = 3;
    /** Probability that a datagram is lost. */
    double loss_ = 0;
};

/** The hosts of a deployment, each with its own quotas and its zone's knowledge of the others. */
class QuotaFleetModel
{
public:
    QuotaFleetModel(QuotaFleetShape shape, QuotaSettings settings, absl::Time start, std::uint64_t seed)
        : shape_(shape)
        , settings_(settings)
        , random_(seed)
    {
        // All hosts have run, and known each other, for longer than a window.
        addHosts(start - absl::Minutes(1), shape.hosts_);
    }

    /** Adds hosts that start at a time; the others learn of them within a second. */
    auto addHosts(absl::Time now, int count) -> void
    {
        settleAfter(now);
        for (auto index = 0; index < count; ++index) {
            const auto zone = static_cast<int>(hosts_.size()) % shape_.zones_;
            const auto name = "host" + std::to_string(hosts_.size());
            auto host = Host {};
            host.share_ = {
                static_cast<std::uint32_t>(hostHash(name)), "zone" + std::to_string(zone), "region" + std::to_string(zone / shape_.zonesPerRegion_), name, true
            };
            host.zone_ = zone;
            host.startedAt_ = now;
            host.quotas_ = std::make_unique<OrganisationQuotas>(name, now);
            hosts_.push_back(std::move(host));
        }
    }

    /** Ends a host's process; another one starts, without its memory, at the given time. */
    auto restart(absl::Time now, std::size_t index, absl::Time startsAt) -> void
    {
        settleAfter(startsAt);
        auto &host = hosts_[index];
        host.silentSince_ = now;
        host.silentUntil_ = startsAt;
        host.startedAt_ = startsAt;
        host.quotas_ = std::make_unique<OrganisationQuotas>(host.share_.address_, startsAt);
    }

    /** Suspends a host, which keeps its memory. */
    auto freeze(absl::Time now, std::size_t index, absl::Time until) -> void
    {
        settleAfter(until);
        hosts_[index].silentSince_ = now;
        hosts_[index].silentUntil_ = until;
    }

    /** Cuts a zone off from all others. */
    auto cutZone(absl::Time now, int zone, absl::Time until) -> void
    {
        settleAfter(until);
        cutZone_ = zone;
        cutSince_ = now;
        cutUntil_ = until;
    }

    [[nodiscard]] auto isUp(absl::Time now, std::size_t index) const -> bool
    {
        const auto &host = hosts_[index];
        return now >= host.startedAt_ && (now < host.silentSince_ || now >= host.silentUntil_);
    }

    [[nodiscard]] auto size() const -> std::size_t
    {
        return hosts_.size();
    }

    [[nodiscard]] auto zoneOf(std::size_t index) const -> int
    {
        return hosts_[index].zone_;
    }

    /** Handles a request at a host that is up. */
    auto admit(absl::Time now, std::size_t index, const Organisation &limits) -> QuotaAdmission
    {
        const auto hosts = viewOf(now, index);
        const auto ask = [&](absl::Time askedAt, const ShareHost &holder, const std::string & /*organisation*/, absl::Time deadline) {
            return askHolder({ now, askedAt, index, deadline }, holder, limits);
        };
        const auto admission = hosts_[index].quotas_->admitRequest(now, { limits, settings_, hosts, absl::InfiniteFuture() }, ask);
        if (admission.isAdmitted_ && admission.holder_.empty()) {
            admittedAt_.push_back(admission.at_);
        }
        return admission;
    }

    /** The most requests that were admitted in any window, counted at the holders. */
    [[nodiscard]] auto largestWindow() -> std::int64_t
    {
        std::sort(admittedAt_.begin(), admittedAt_.end());
        auto largest = std::size_t { 0 };
        for (auto first = std::size_t { 0 }, last = std::size_t { 0 }; last < admittedAt_.size(); ++last) {
            while (admittedAt_[last] - admittedAt_[first] >= settings_.window_) {
                ++first;
            }
            largest = std::max(largest, last - first + 1);
        }
        return static_cast<std::int64_t>(largest);
    }

    /** Number of requests that were admitted. */
    [[nodiscard]] auto admittedCount() const -> std::size_t
    {
        return admittedAt_.size();
    }

    /** Datagrams that were sent between hosts. */
    [[nodiscard]] auto datagrams() const -> std::int64_t
    {
        return datagrams_;
    }

private:
    struct Host
    {
        ShareHost share_;
        int zone_ = 0;
        absl::Time startedAt_ = absl::InfinitePast();
        absl::Time silentSince_ = absl::InfiniteFuture();
        absl::Time silentUntil_ = absl::InfiniteFuture();
        std::unique_ptr<OrganisationQuotas> quotas_;
    };
    struct View
    {
        absl::Time builtAt_ = absl::InfinitePast();
        ShareHostsPointer hosts_;
    };

    // Until then, what hosts know of each other may change.
    auto settleAfter(absl::Time event) -> void
    {
        settledAt_ = std::max(settledAt_, event + settlingTime);
    }

    static constexpr auto settlingTime = absl::Seconds(5);
    static constexpr auto viewInterval = absl::Milliseconds(250);
    static constexpr auto livenessTimeout = absl::Milliseconds(2500);
    static constexpr auto establishedLead = absl::Seconds(10);
    static constexpr auto longestNewsDelay = 1000;

    [[nodiscard]] auto isCut(absl::Time now, int left, int right) const -> bool
    {
        return left != right && now >= cutSince_ && now < cutUntil_ && (left == cutZone_ || right == cutZone_);
    }

    /** What a host knows of all hosts: hosts of one zone that started at the same time know the same. */
    auto viewOf(absl::Time now, std::size_t index) -> ShareHostsPointer
    {
        const auto zone = hosts_[index].zone_;
        const auto startedAt = hosts_[index].startedAt_;
        auto &view = views_[{ zone, startedAt }];
        if (view.hosts_ && (now - view.builtAt_ < viewInterval || view.builtAt_ >= settledAt_)) {
            return view.hosts_;
        }
        auto known = ShareHosts {};
        for (const auto &host : hosts_) {
            const auto newsDelay = absl::Milliseconds(stableHash(host.share_.address_, static_cast<std::uint64_t>(zone)) % longestNewsDelay);
            if (host.silentSince_ == absl::InfiniteFuture() && now < host.startedAt_ + newsDelay) {
                continue;
            }
            auto share = host.share_;
            const auto wasSilent = [&](absl::Time since, absl::Time until) {
                return now >= since + livenessTimeout && now < until + newsDelay;
            };
            share.mayRespond_ = !wasSilent(host.silentSince_, host.silentUntil_)
                && !(host.zone_ != zone && (host.zone_ == cutZone_ || zone == cutZone_) && wasSilent(cutSince_, cutUntil_));
            share.isEstablished_ = startedAt - host.startedAt_ > establishedLead;
            known.push_back(std::move(share));
        }
        if (!view.hosts_ || *view.hosts_ != known) {
            view.hosts_ = std::make_shared<const ShareHosts>(std::move(known));
        }
        view.builtAt_ = now;
        return view.hosts_;
    }

    [[nodiscard]] auto roundTrip(const Host &left, const Host &right) const -> absl::Duration
    {
        constexpr auto zoneRoundTrip = absl::Microseconds(200);
        constexpr auto regionRoundTrip = absl::Milliseconds(3);
        constexpr auto remoteRoundTrip = absl::Milliseconds(110);
        if (left.zone_ == right.zone_) {
            return zoneRoundTrip;
        }
        return left.share_.region_ == right.share_.region_ ? regionRoundTrip : remoteRoundTrip;
    }

    auto isLost() -> bool
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < shape_.loss_;
    }

    struct Question
    {
        absl::Time requestedAt_;
        absl::Time askedAt_;
        std::size_t asker_;
        absl::Time deadline_;
    };

    // The holder decides as of the arrival of the request, so that the model reaches all decisions in the order of their times.
    auto askHolder(const Question &question, const ShareHost &holder, const Organisation &limits) -> HolderExchange
    {
        const auto [requestedAt, askedAt, asker, deadline] = question;
        const auto index = static_cast<std::size_t>(std::stoul(holder.address_.substr(std::string("host").size())));
        auto &target = hosts_[index];
        datagrams_ += 1;
        if (!isUp(requestedAt, index) || isCut(requestedAt, hosts_[asker].zone_, target.zone_) || isLost()) {
            return { std::nullopt, deadline };
        }
        const auto delay = roundTrip(hosts_[asker], target);
        const auto answer = target.quotas_->admitForPeer(requestedAt, { limits, settings_, viewOf(requestedAt, index), absl::InfiniteFuture() });
        datagrams_ += 1;
        if (isLost()) {
            return { std::nullopt, deadline };
        }
        if (answer.isAdmitted_) {
            admittedAt_.push_back(requestedAt);
        }
        return { answer, askedAt + delay };
    }

    const QuotaFleetShape shape_;
    const QuotaSettings settings_;
    std::mt19937_64 random_;
    std::vector<Host> hosts_;
    std::map<std::pair<int, absl::Time>, View> views_;
    absl::Time settledAt_ = absl::InfinitePast();
    int cutZone_ = -1;
    absl::Time cutSince_ = absl::InfiniteFuture();
    absl::Time cutUntil_ = absl::InfiniteFuture();
    std::vector<absl::Time> admittedAt_;
    std::int64_t datagrams_ = 0;
};

}
