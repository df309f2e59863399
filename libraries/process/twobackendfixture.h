/** A request handler with two scripted backend servers, for tests. */
#pragma once

#include "connection/scriptedserver.h"
#include "core/testaddress.h"
#include "process/fleetrequesthandler.h"

#include <fmt/format.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheecleat
{

inline constexpr auto okStatus = 200;
inline constexpr auto unavailableStatus = 503;

inline auto requestIdIn(const std::string &head) -> std::string
{
    constexpr auto name = std::string_view("X-Request-Id: ");
    const auto begin = head.find(name) + name.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

inline auto reply(const ScriptedRequest &request, int status, const std::string &headers) -> ScriptedReply
{
    return { fmt::format("HTTP/1.1 {} Status\r\nX-Request-Id: {}\r\n{}Content-Length: 2\r\n\r\nok", status, requestIdIn(request.head_), headers) };
}

inline auto ok(const ScriptedRequest &request) -> ScriptedReply
{
    return reply(request, okStatus, "");
}

inline auto rejectFirst(const ScriptedRequest &request, const std::string &retryAfter) -> ScriptedReply
{
    return request.indexOnServer_ == 0 ? reply(request, unavailableStatus, "X-Not-Executed: 1\r\nRetry-After: " + retryAfter + "\r\n") : ok(request);
}

/** Name and key of the organisation that a fixture with a quota has. */
inline constexpr auto quotaOrganisation = "org";
inline constexpr auto quotaKey = "key-of-org";

/** A quota that another host holds. */
struct FixtureQuota
{
    absl::Duration window_ = absl::Seconds(5);
    /** Asks the holder; if empty, requests need no admission. */
    AskHolderFunction ask_ = nullptr;
};

/** A request handler with two backend servers; nearly all objects are ranked to the first, which has 1000 slots. */
class TwoBackendFixture
{
public:
    TwoBackendFixture(ScriptedServer::Script first,
                      ScriptedServer::Script second,
                      Repeatability repeatability = Repeatability::Repeatable,
                      const FixtureQuota &quota = {})
    {
        servers_.push_back(std::make_unique<ScriptedServer>(testIp(9, 4), std::move(first)));
        servers_.push_back(std::make_unique<ScriptedServer>(testIp(9, 4), std::move(second)));
        auto decoders = RecordDecoders {};
        const auto hasQuota = quota.ask_ != nullptr;
        decoders.policy_ = [repeatability, hasQuota](const std::string &) -> Result<TrafficPolicy> {
            auto route = PolicyRoute {};
            route.name_ = "r";
            route.host_ = "h.example";
            route.prefix_ = "/";
            route.repeatability_ = repeatability;
            route.timeout_ = absl::Seconds(4);
            route.maximumAttempts_ = 2;
            route.destinations_ = { { "s", 1 } };
            auto policy = TrafficPolicy {};
            policy.version_ = 1;
            policy.routes_.push_back(route);
            if (hasQuota) {
                policy.organisations_ = { { { quotaOrganisation, 10, 10, 1 }, { quotaKey }, {}, {} } };
            }
            return policy;
        };
        decoders.backend_ = [this](const std::string &name, const std::string &incarnation) -> Result<DiscoveredBackend> {
            const auto isFirst = name == "first";
            auto backend = DiscoveredBackend {};
            backend.server_ = { name, "zone-a", servers_[isFirst ? 0 : 1]->address() };
            backend.service_ = "s";
            backend.slots_ = isFirst ? 1000 : 1;
            backend.incarnation_ = std::stoll(incarnation);
            return backend;
        };
        state_ = std::make_unique<FleetState>(ZoneRegions { { "zone-a", "east" } }, "zone-a", decoders);
        state_->applyFromStore(monotonicNow(),
                               { 3,
                                 true,
                                 { { RecordKind::Policy, "policy", 1, false, "x" },
                                   { RecordKind::Backend, "first", 2, false, "1" },
                                   { RecordKind::Backend, "second", 3, false, "1" } } });
        auto services = FleetRequestServices {};
        services.hostName_ = "host";
        services.state_ = state_.get();
        services.shareHolders_ = [](absl::Time) {
            return std::vector<std::uint64_t> {};
        };
        services.settings_ = [window = quota.window_] {
            auto settings = ReloadableSettings {};
            settings.retryBudgetExtra_ = 10000;
            settings.quota_.window_ = window;
            return settings;
        };
        services.askHolder_ = quota.ask_;
        if (hasQuota) {
            services.shareHosts_ = [hosts = std::make_shared<const ShareHosts>(ShareHosts { { 1, "zone-b", "west", "holder", true } })](absl::Time) {
                return hosts;
            };
        }
        services.askForPermit_ = [this](absl::Time, const PermitQuery &query, absl::Time) -> std::optional<PermitAnswer> {
            permitsAsked_ += 1;
            if (isIssuerSilent_) {
                return std::nullopt;
            }
            permits_ -= 1;
            return PermitAnswer { { permits_ >= 0, permits_ >= 0 ? absl::ZeroDuration() : absl::Milliseconds(1) }, query.known_.statement_ };
        };
        handler_ = std::make_unique<FleetRequestHandler>(services);
    }

    /** Registers another incarnation of the first server. */
    auto restartFirst() -> void
    {
        state_->applyFromStore(monotonicNow(), { 4, false, { { RecordKind::Backend, "first", 4, false, "2" } } });
    }

    /** Handles a request of a caller with the given socket. */
    auto send(const std::string &id, int callerSocket = -1) -> HttpResponse
    {
        const auto content =
            RequestContent { "GET", "/x", { { "Host", "h.example" }, { "X-Request-Id", id }, { "X-Object", "o" }, { "X-Api-Key", quotaKey } }, "" };
        return handler_->handle({ content, monotonicNow(), callerSocket, 0 }).httpResponse_;
    }

    /** Sets how many permits the issuer grants before it refuses further ones, and whether it answers at all. */
    auto setPermits(int permits, bool isIssuerSilent = false) -> void
    {
        permits_ = permits;
        isIssuerSilent_ = isIssuerSilent;
    }

    /** Permits that the handler has asked for. */
    [[nodiscard]] auto permitsAsked() const -> int
    {
        return permitsAsked_;
    }

    [[nodiscard]] auto requestCount(std::size_t server) const -> int
    {
        return servers_[server]->requestCount();
    }

    [[nodiscard]] auto counts() const -> SignalCounts
    {
        return handler_->signalCounts();
    }

private:
    std::atomic<int> permits_ = 0;
    std::atomic<int> permitsAsked_ = 0;
    std::atomic<bool> isIssuerSilent_ = false;
    std::vector<std::unique_ptr<ScriptedServer>> servers_;
    std::unique_ptr<FleetState> state_;
    std::unique_ptr<FleetRequestHandler> handler_;
};

}
