#include "process/administration.h"

#include "connection/configurationstore.h"
#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "core/socketaddress.h"
#include "version/routetable.h"

#include <absl/time/clock.h>
#include <httplib.h>

#include <sys/socket.h>

#include <algorithm>
#include <set>
#include <thread>
#include <utility>

namespace lycheecleat
{

namespace
{

using nlohmann::json;

constexpr auto jsonType = "application/json";
constexpr auto metricsType = "text/plain; version=0.0.4";

/** Requests of operators served at once; status pages and metrics are few. */
constexpr auto administrationThreads = 16;

/** Backlog of the listening socket; httplib's own of 5 loses connections in a burst. */
constexpr auto listenBacklog = 128;

/** Largest body: the edits of a whole folder. */
constexpr auto maximumBody = std::size_t { 64 } * 1024 * 1024;

constexpr auto requestTimeout = absl::Seconds(10);

/** A connection takes up a thread for as long as it is open, so each one serves a single request. */
constexpr auto keepAliveRequests = std::size_t { 1 };

/** How long a submitted withdrawal waits for confirmations before the answer. */
constexpr auto confirmationTimeout = absl::Seconds(2);
constexpr auto confirmationPoll = absl::Milliseconds(20);

/** Status codes of HTTP that the answers use. */
enum class Status {
    Ok = 200,
    Accepted = 202,
    BadRequest = 400,
    Unauthorized = 401,
    NotFound = 404,
    Conflict = 409,
    UnprocessableContent = 422,
    InternalError = 500,
    Unavailable = 503,
};

/** An error for an operator's program and for the operator. */
struct Failure
{
    Status status_;
    std::string reason_;
    std::string message_;
};

auto send(httplib::Response &response, Status status, const json &body) -> void
{
    response.status = static_cast<int>(status);
    response.set_content(body.dump(2, ' ', false, json::error_handler_t::replace) + "\n", jsonType);
}

auto sendFailure(httplib::Response &response, const Failure &failure) -> void
{
    send(response, failure.status_, json { { "error", { { "reason", failure.reason_ }, { "message", failure.message_ } } } });
}

auto isLoopback(const std::string &address) -> bool
{
    return address.rfind("127.", 0) == 0 || address == "::1" || address.rfind("::ffff:127.", 0) == 0;
}

auto logAction(const char *event, const std::vector<LogField> &fields) -> void
{
    logLine(wallNow(), LogLevel::Info, event, fields);
}

/** The string field of a JSON object; empty when it is absent or no string. */
auto textField(const json &object, const char *name) -> std::string
{
    const auto found = object.is_object() ? object.find(name) : object.end();
    return object.is_object() && found != object.end() && found->is_string() ? found->get<std::string>() : std::string {};
}

auto optionalText(const json &object, const char *name) -> std::optional<std::string>
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? std::optional<std::string> { found->get<std::string>() } : std::nullopt;
}

auto isTextOrNull(const json &object, const char *name) -> bool
{
    const auto found = object.find(name);
    return found == object.end() || found->is_null() || found->is_string();
}

/** Reads edits; none when the body has another form. */
auto editsOf(const json &body) -> std::optional<std::vector<FileEdit>>
{
    if (!body.is_object() || !body.contains("edits") || !body["edits"].is_array()) {
        return std::nullopt;
    }
    auto edits = std::vector<FileEdit> {};
    for (const auto &edit : body["edits"]) {
        const auto name = textField(edit, "name");
        if (name.empty() || !isTextOrNull(edit, "before") || !isTextOrNull(edit, "after")) {
            return std::nullopt;
        }
        edits.push_back(FileEdit { name, optionalText(edit, "before"), optionalText(edit, "after") });
    }
    return edits;
}

auto changeFailure(const Error &error) -> Failure
{
    if (error.step_ == mergeStep) {
        return { Status::Conflict, "conflict", error.message_ };
    }
    if (error.step_ == checkStep) {
        return { Status::UnprocessableContent, "wrong_rules", error.message_ };
    }
    if (error.step_ == swapStep) {
        return { Status::Conflict, "too_many_writers", error.message_ };
    }
    return { Status::Unavailable, "store_unavailable", describe(error) + "; the change may have taken effect: repeat it with the same id" };
}

auto describeRoute(const Route &route) -> json
{
    return json { { "name", route.name_ },
                  { "file", route.file_ },
                  { "host", route.host_ },
                  { "path", route.pathPrefix_ },
                  { "pool", route.pool_ },
                  { "access", route.access_ == Access::Open ? "open" : "keyed" },
                  { "repeatable", route.repeatable_ },
                  { "deadline_ms", absl::ToInt64Milliseconds(route.deadline_) },
                  { "body_limit", route.bodyLimit_ },
                  { "isolation", route.isolation_ == Isolation::Serve ? "serve" : "refuse" } };
}

auto describeBackends(const Configuration &configuration, const Pool &pool, const std::vector<std::string> &leaving) -> json
{
    auto backends = json::array();
    for (const auto &backend : pool.backends_) {
        backends.push_back({ { "name", backend.name_ },
                             { "zone", backend.zone_ },
                             { "region", regionOfZone(configuration, backend.zone_) },
                             { "address", backend.address_ },
                             { "drained", isDrained(configuration, backend) },
                             { "leaving", std::find(leaving.begin(), leaving.end(), backend.name_) != leaving.end() } });
    }
    return backends;
}

auto describeShifts(const Configuration &configuration, const std::string &pool) -> json
{
    auto shifts = json::array();
    for (const auto &shift : configuration.shifts_) {
        if (shift.pool_ == pool) {
            shifts.push_back({ { "name", shift.name_ }, { "from", shift.from_ }, { "to", shift.to_ }, { "share", shift.share_ }, { "cap", shift.cap_ } });
        }
    }
    return shifts;
}

auto describeSpread(const std::string &key, const WithdrawalSpread &spread) -> json
{
    return json { { "key", key },
                  { "accepted", isAccepted(spread) },
                  { "in_configuration", spread.inConfiguration_ },
                  { "confirmed_zones", spread.confirmedZones_ },
                  { "zones", spread.zones_ } };
}

auto holdsWithdrawal(const std::vector<peer::Withdrawal> &withdrawals, const std::string &digest) -> bool
{
    return std::any_of(withdrawals.begin(), withdrawals.end(), [&](const peer::Withdrawal &withdrawal) {
        return withdrawal.digest == digest;
    });
}

}

auto mayAdminister(const std::string &operatorKey, const std::string &authorization, const std::string &remoteAddress) -> bool
{
    if (operatorKey.empty()) {
        return isLoopback(remoteAddress);
    }
    // Digests have one length, so the comparison tells nothing of the key's length either.
    return equalConstantTime(sha256Hex(authorization), sha256Hex("Bearer " + operatorKey));
}

auto isAccepted(const WithdrawalSpread &spread) -> bool
{
    return spread.inConfiguration_ || spread.confirmedZones_.size() * 2 > spread.zones_.size();
}

auto spreadOf(const Configuration &configuration,
              const FreshnessTracker &knowledge,
              const std::vector<PeerView> &peers,
              const Key &key,
              const std::string &ownZone) -> WithdrawalSpread
{
    auto spread = WithdrawalSpread { {}, zonesWithHosts(configuration), !key.active_ };
    auto confirmed = std::set<std::string> {};
    if (knowledge.isWithdrawn(key.digest_)) {
        confirmed.insert(ownZone);
    }
    for (const auto &peer : peers) {
        if (holdsWithdrawal(peer.state_.withdrawals, key.digest_)) {
            confirmed.insert(peer.host_.zone_);
        }
    }
    std::set_intersection(confirmed.begin(), confirmed.end(), spread.zones_.begin(), spread.zones_.end(), std::back_inserter(spread.confirmedZones_));
    return spread;
}

auto explainRoute(const Configuration &configuration,
                  FreshnessState knowledge,
                  const std::vector<std::string> &leavingBackends,
                  const std::string &host,
                  const std::string &path) -> json
{
    auto explanation = json { { "host", host }, { "path", path }, { "revision", configuration.revision_ }, { "knowledge", freshnessStateName(knowledge) } };
    const auto *route = findRoute(configuration, host, path);
    explanation["matched"] = route != nullptr;
    if (route == nullptr) {
        return explanation;
    }
    const auto refused = route->access_ == Access::Keyed && route->isolation_ == Isolation::Refuse && knowledge == FreshnessState::Isolated;
    explanation["route"] = describeRoute(*route);
    explanation["refused_as_isolated"] = refused;
    explanation["shifts"] = describeShifts(configuration, route->pool_);
    const auto *pool = findByName(configuration.pools_, route->pool_);
    if (pool != nullptr) {
        explanation["pool"] = { { "name", pool->name_ }, { "slots", pool->slots_ }, { "backends", describeBackends(configuration, *pool, leavingBackends) } };
    }
    return explanation;
}

struct Administration::State
{
    auto addRoutes() -> void;
    auto guarded(void (State::*handle)(const httplib::Request &, httplib::Response &)) -> httplib::Server::Handler;
    auto health(const httplib::Request &request, httplib::Response &response) -> void;
    auto status(const httplib::Request &request, httplib::Response &response) -> void;
    auto explain(const httplib::Request &request, httplib::Response &response) -> void;
    auto withdraw(const httplib::Request &request, httplib::Response &response) -> void;
    auto showWithdrawal(const httplib::Request &request, httplib::Response &response) -> void;
    auto change(const httplib::Request &request, httplib::Response &response) -> void;
    auto spread(const std::string &key) -> std::optional<WithdrawalSpread>;

    AdministrationServices services_;
    httplib::Server server_;
    int descriptor_ = -1;
    std::thread thread_;
};

auto Administration::State::addRoutes() -> void
{
    server_.Get("/health", [this](const httplib::Request &request, httplib::Response &response) {
        health(request, response);
    });
    server_.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(services_.metrics_(), metricsType);
    });
    server_.Get("/v1/status", guarded(&State::status));
    server_.Get("/v1/explain", guarded(&State::explain));
    server_.Get("/v1/withdrawals", guarded(&State::showWithdrawal));
    server_.Post("/v1/withdrawals", guarded(&State::withdraw));
    server_.Post("/v1/changes", guarded(&State::change));
    server_.set_error_handler([](const httplib::Request &, httplib::Response &response) {
        if (response.body.empty()) {
            sendFailure(response, { static_cast<Status>(response.status), "not_served", "there is nothing at this path for this method" });
        }
    });
    server_.set_exception_handler([](const httplib::Request &, httplib::Response &response, const std::exception_ptr &) {
        sendFailure(response, { Status::InternalError, "internal_error", "the request failed inside the daemon" });
    });
}

auto Administration::State::guarded(void (State::*handle)(const httplib::Request &, httplib::Response &)) -> httplib::Server::Handler
{
    return [this, handle](const httplib::Request &request, httplib::Response &response) {
        if (!mayAdminister(services_.operatorKey_, request.get_header_value("Authorization"), request.remote_addr)) {
            sendFailure(response, { Status::Unauthorized, "operator_key_required", "give the operator key as Authorization: Bearer KEY" });
            return;
        }
        (this->*handle)(request, response);
    };
}

auto Administration::State::health(const httplib::Request & /*request*/, httplib::Response &response) -> void
{
    const auto ready = services_.ready_();
    send(response, ready ? Status::Ok : Status::Unavailable, json { { "ready", ready } });
}

auto Administration::State::status(const httplib::Request & /*request*/, httplib::Response &response) -> void
{
    send(response, Status::Ok, services_.status_());
}

auto Administration::State::explain(const httplib::Request &request, httplib::Response &response) -> void
{
    if (!request.has_param("host") || !request.has_param("path")) {
        sendFailure(response, { Status::BadRequest, "parameter_missing", "the parameters host and path are required" });
        return;
    }
    const auto configuration = services_.configuration_->get();
    const auto knowledge = services_.knowledge_->stateAt(monotonicNow(), *configuration);
    send(response,
         Status::Ok,
         explainRoute(*configuration, knowledge, services_.leavingBackends_(), request.get_param_value("host"), request.get_param_value("path")));
}

auto Administration::State::spread(const std::string &key) -> std::optional<WithdrawalSpread>
{
    const auto configuration = services_.configuration_->get();
    const auto *declared = findByName(configuration->keys_, key);
    if (declared == nullptr) {
        return std::nullopt;
    }
    return spreadOf(*configuration, *services_.knowledge_, services_.membership_->views(), *declared, services_.zone_);
}

auto Administration::State::showWithdrawal(const httplib::Request &request, httplib::Response &response) -> void
{
    const auto key = request.get_param_value("key");
    const auto found = spread(key);
    if (!found) {
        sendFailure(response, { Status::NotFound, "unknown_key", "the configuration declares no key named '" + key + "'" });
        return;
    }
    send(response, Status::Ok, describeSpread(key, *found));
}

auto Administration::State::withdraw(const httplib::Request &request, httplib::Response &response) -> void
{
    const auto key = textField(json::parse(request.body, nullptr, false), "key");
    if (key.empty()) {
        sendFailure(response, { Status::BadRequest, "malformed_withdrawal", R"(the body must be {"key": NAME})" });
        return;
    }
    const auto configuration = services_.configuration_->get();
    const auto *declared = findByName(configuration->keys_, key);
    if (declared == nullptr) {
        sendFailure(response, { Status::NotFound, "unknown_key", "the configuration declares no key named '" + key + "'" });
        return;
    }
    auto withdrawal = peer::Withdrawal {};
    withdrawal.keyId = key;
    withdrawal.digest = declared->digest_;
    services_.knowledge_->addWithdrawals(pendingWithdrawals({ withdrawal }, *configuration));
    services_.membership_->triggerExchange(monotonicNow());
    const auto deadline = monotonicNow() + confirmationTimeout;
    auto found = spread(key);
    while (found && !isAccepted(*found) && monotonicNow() < deadline) {
        absl::SleepFor(confirmationPoll);
        found = spread(key);
    }
    // A key whose rule was removed meanwhile has no use any more.
    const auto result = found.value_or(WithdrawalSpread { {}, {}, true });
    logAction("withdrawal_submitted", { { "key", key }, { "accepted", isAccepted(result) ? "true" : "false" } });
    send(response, isAccepted(result) ? Status::Ok : Status::Accepted, describeSpread(key, result));
}

auto Administration::State::change(const httplib::Request &request, httplib::Response &response) -> void
{
    const auto body = json::parse(request.body, nullptr, false);
    const auto edits = editsOf(body);
    const auto id = textField(body, "id");
    if (!edits || id.empty()) {
        sendFailure(
            response,
            { Status::BadRequest, "malformed_change", R"(the body must be {"id": TEXT, "edits": [{"name": FILE, "before": TEXT|null, "after": TEXT|null}]})" });
        return;
    }
    const auto outcome = attempt([&] {
        return applyEdits(*services_.store_, *edits, id);
    });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        const auto failure = changeFailure(*error);
        logAction("change_refused", { { "change", id }, { "reason", failure.reason_ } });
        sendFailure(response, failure);
        return;
    }
    const auto revision = std::get<std::int64_t>(outcome);
    logAction("change_applied", { { "change", id }, { "revision", std::to_string(revision) } });
    send(response, Status::Ok, json { { "id", id }, { "revision", revision } });
}

Administration::Administration(AdministrationServices services)
    : state_(std::make_unique<State>())
{
    state_->services_ = std::move(services);
}

Administration::~Administration()
{
    stop();
}

auto Administration::start() -> Result<void>
{
    const auto address = parseSocketAddress(state_->services_.address_);
    if (!address) {
        return makeError("listen for operators", state_->services_.address_, "is not an IP address with a port");
    }
    auto &server = state_->server_;
    server.new_task_queue = [] {
        return new httplib::ThreadPool(administrationThreads);
    };
    server.set_socket_options([this](int descriptor) {
        const auto enabled = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        state_->descriptor_ = descriptor;
    });
    server.set_payload_max_length(maximumBody);
    server.set_keep_alive_max_count(keepAliveRequests);
    server.set_read_timeout(absl::ToInt64Seconds(requestTimeout), 0);
    server.set_write_timeout(absl::ToInt64Seconds(requestTimeout), 0);
    server.set_tcp_nodelay(true);
    state_->addRoutes();
    if (!server.bind_to_port(address->ip_.c_str(), address->port_)) {
        return makeError("listen for operators", state_->services_.address_, "the address is in use or not on this machine");
    }
    listen(state_->descriptor_, listenBacklog);
    state_->thread_ = std::thread([this] {
        state_->server_.listen_after_bind();
    });
    // A stop before the thread serves would be lost, and the thread would never end.
    while (!server.is_running()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    return {};
}

auto Administration::stop() -> void
{
    if (!state_->thread_.joinable()) {
        return;
    }
    state_->server_.stop();
    state_->thread_.join();
}

}
