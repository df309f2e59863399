#include "process/lookuphandler.h"

#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "request/httpfields.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace lycheecleat
{

namespace
{

/** Lifetime of the cached set of live hosts. The set is not collected for each lookup, since a lookup has to take less than 50 microseconds. */
constexpr auto availableLifetime = absl::Milliseconds(100);

constexpr auto statusBadRequest = 400;
constexpr auto statusUnavailable = 503;

auto writeRefusal(httplib::Response &response, int status, const std::string &reason, const std::string &message) -> void
{
    response.status = status;
    response.set_header("Cache-Control", "no-store");
    response.set_header("X-Request-Outcome", "not-run");
    response.set_header("X-Refusal-Reason", reason);
    response.set_content(nlohmann::json { { "reason", reason }, { "message", message }, { "outcome", "not-run" } }.dump(), "application/json");
}

auto joinNames(const std::vector<EntryHost> &hosts) -> std::string
{
    auto names = std::string {};
    for (const auto &host : hosts) {
        names += (names.empty() ? "" : ",") + host.name_;
    }
    return names;
}

}

LookupHandler::LookupHandler(LookupServices services)
    : services_(std::move(services))
    , seed_(stableHash(services_.run_))
{
}

auto LookupHandler::configure(const ConfigurationPointer &configuration) -> void
{
    auto table = std::make_shared<ResponseTable>(ResponseTable { buildLookupTable(configuration), {} });
    for (const auto &host : configuration->entryHosts_) {
        table->hostJson_[host.name_] = nlohmann::json { { "name", host.name_ }, { "address", host.address_ }, { "weight", lookupWeight } }.dump();
    }
    const auto lock = absl::MutexLock(&mutex_);
    table_ = std::move(table);
    tokens_.clear();
    availableAt_ = absl::InfinitePast();
}

auto LookupHandler::handle(const httplib::Request &request, httplib::Response &response) -> void
{
    const auto table = currentTable();
    if (table == nullptr) {
        writeRefusal(response, statusUnavailable, "no_configuration", "this host has no configuration yet");
        return;
    }
    const auto region = attempt([&] {
        return regionOf(table->lookup_, request);
    });
    if (const auto *error = std::get_if<Error>(&region)) {
        writeRefusal(response, statusBadRequest, "bad_client_address", describe(*error));
        return;
    }
    const auto query = LookupQuery { std::get<std::string>(region), queryParameter(request.target, "organisation"), stableHash("lookup", ++seed_) };
    const auto decision = decideLookup(table->lookup_, *availableHosts(monotonicNow()), query);
    logLine(wallNow(),
            LogLevel::Info,
            "lookup",
            { { "client", queryParameter(request.target, "client") },
              { "organisation", query.organisation_ },
              { "region", query.region_ },
              { "reason", lookupReasonName(decision.reason_) },
              { "hosts", joinNames(decision.hosts_) },
              { "revision", std::to_string(table->lookup_.configuration_->revision_) } });
    if (decision.hosts_.empty()) {
        writeRefusal(response, statusUnavailable, "no_host_available", "no entry host is live");
        return;
    }
    ++successfulLookups_;
    writeResponse(*table, decision, response);
}

auto LookupHandler::successfulLookups() const -> std::int64_t
{
    return successfulLookups_;
}

auto LookupHandler::currentTable() const -> std::shared_ptr<const ResponseTable>
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return table_;
}

auto LookupHandler::availableHosts(absl::Time now) -> std::shared_ptr<const AvailableHosts>
{
    const auto leaving = services_.leaving_();
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        if (available_ != nullptr && now - availableAt_ < availableLifetime && availableLeaving_ == leaving) {
            return available_;
        }
    }
    auto available = AvailableHosts {};
    const auto views = services_.membership_->views();
    for (const auto &view : views) {
        if (isLive(view.lastSeenAt_, now, views.size()) && !view.state_.leaving) {
            available[view.host_.name_] = view.state_.run;
        }
    }
    if (!leaving) {
        available[services_.hostName_] = services_.run_;
    }
    const auto lock = absl::MutexLock(&mutex_);
    available_ = std::make_shared<const AvailableHosts>(std::move(available));
    availableAt_ = now;
    availableLeaving_ = leaving;
    return available_;
}

auto LookupHandler::regionOf(const LookupTable &table, const httplib::Request &request) const -> Result<std::string>
{
    const auto clientParameter = queryParameter(request.target, "client");
    const auto client = clientParameter.empty() ? request.remote_addr : clientParameter;
    auto ownRegion = regionOfZone(*table.configuration_, services_.zone_);
    if (client.empty()) {
        return ownRegion;
    }
    BOOST_LEAF_AUTO(region, regionOfClient(table, client));
    return region.value_or(ownRegion);
}

auto LookupHandler::tokenText(const RunToken &token) -> std::string
{
    const auto lock = absl::MutexLock(&mutex_);
    auto &cached = tokens_[token.host_];
    if (cached.token_ != token) {
        cached = { token, formatRunToken(token, services_.secret_) };
    }
    return cached.text_;
}

// The response is assembled from prepared texts, since building it as a JSON value took a third of a lookup's processor time.
auto LookupHandler::writeResponse(const ResponseTable &table, const LookupDecision &decision, httplib::Response &response) -> void
{
    const auto lifetime = absl::ToInt64Seconds(services_.lifetime_);
    const auto expiry = absl::FromUnixSeconds(absl::ToUnixSeconds(wallNow() + services_.lifetime_ + runTokenLifetime));
    const auto hosts = absl::StrJoin(decision.hosts_, ",", [&](std::string *text, const EntryHost &host) {
        absl::StrAppend(text, table.hostJson_.at(host.name_));
    });
    const auto token = nlohmann::json(tokenText({ decision.hosts_.front().name_, decision.run_, expiry }) + ":").dump();
    response.status = 200;
    response.set_header("Cache-Control", fmt::format("max-age={}", lifetime));
    response.set_header("X-Request-Outcome", "ran");
    response.set_content(
        fmt::format(
            R"({{"hosts":[{}],"idempotency_key_prefix":{},"max_age_s":{},"revision":{}}})", hosts, token, lifetime, table.lookup_.configuration_->revision_),
        "application/json");
}

}
