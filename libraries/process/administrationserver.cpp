#include "process/administrationserver.h"

#include "connection/configurationstore.h"
#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "core/socketaddress.h"
#include "version/routelookup.h"

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

/** Requests served concurrently; status and metrics requests are few. */
constexpr auto serverThreads = 16;

/** Backlog of the listening socket; with httplib's backlog of 5, connections are lost in a burst. */
constexpr auto listenBacklog = 128;

/** Largest request body; large enough for edits of a whole folder of rules. */
constexpr auto maximumBodyBytes = std::size_t { 64 } * 1024 * 1024;

constexpr auto requestTimeout = absl::Seconds(10);

/** An open connection occupies a thread, so each one serves a single request. */
constexpr auto requestsPerConnection = std::size_t { 1 };

/** How long the response to a withdrawal is delayed for confirmations from peers. */
constexpr auto confirmationTimeout = absl::Seconds(2);
constexpr auto confirmationPollInterval = absl::Milliseconds(20);

/** HTTP status codes of the responses. */
enum class HttpStatus {
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

/** An error response: a status and reason for programs, and a message for the operator. */
struct RequestError
{
    HttpStatus status_;
    std::string reason_;
    std::string message_;
};

auto send(httplib::Response &response, HttpStatus status, const json &body) -> void
{
    response.status = static_cast<int>(status);
    response.set_content(body.dump(2, ' ', false, json::error_handler_t::replace) + "\n", jsonType);
}

auto sendError(httplib::Response &response, const RequestError &requestError) -> void
{
    send(response, requestError.status_, json { { "error", { { "reason", requestError.reason_ }, { "message", requestError.message_ } } } });
}

auto isLoopback(const std::string &address) -> bool
{
    return address.rfind("127.", 0) == 0 || address == "::1" || address.rfind("::ffff:127.", 0) == 0;
}

auto logOperatorAction(const char *event, const std::vector<LogField> &fields) -> void
{
    logLine(wallNow(), LogLevel::Info, event, fields);
}

/** The string field of a JSON object; empty when it is absent or not a string. */
auto stringField(const json &object, const char *name) -> std::string
{
    const auto found = object.is_object() ? object.find(name) : object.end();
    return object.is_object() && found != object.end() && found->is_string() ? found->get<std::string>() : std::string {};
}

auto optionalString(const json &object, const char *name) -> std::optional<std::string>
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? std::optional<std::string> { found->get<std::string>() } : std::nullopt;
}

auto isStringOrNull(const json &object, const char *name) -> bool
{
    const auto found = object.find(name);
    return found == object.end() || found->is_null() || found->is_string();
}

/** The edits in a request body; none when the body is malformed. */
auto editsOf(const json &body) -> std::optional<std::vector<FileEdit>>
{
    if (!body.is_object() || !body.contains("edits") || !body["edits"].is_array()) {
        return std::nullopt;
    }
    auto edits = std::vector<FileEdit> {};
    for (const auto &edit : body["edits"]) {
        const auto name = stringField(edit, "name");
        if (name.empty() || !isStringOrNull(edit, "before") || !isStringOrNull(edit, "after")) {
            return std::nullopt;
        }
        edits.push_back(FileEdit { name, optionalString(edit, "before"), optionalString(edit, "after") });
    }
    return edits;
}

auto requestErrorOf(const Error &error) -> RequestError
{
    if (error.step_ == mergeStep) {
        return { HttpStatus::Conflict, "conflict", error.message_ };
    }
    if (error.step_ == checkStep) {
        return { HttpStatus::UnprocessableContent, "wrong_rules", error.message_ };
    }
    if (error.step_ == replaceHeadStep) {
        return { HttpStatus::Conflict, "too_many_writers", error.message_ };
    }
    return { HttpStatus::Unavailable, "store_unavailable", describe(error) + "; the change may have taken effect: repeat it with the same id" };
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
            shifts.push_back({ { "name", shift.name_ }, { "from", shift.from_ }, { "to", shift.to_ }, { "share", shift.share_ }, { "cap", shift.rateCap_ } });
        }
    }
    return shifts;
}

auto describePropagation(const std::string &key, const WithdrawalPropagation &propagation) -> json
{
    return json { { "key", key },
                  { "accepted", isAccepted(propagation) },
                  { "in_configuration", propagation.inConfiguration_ },
                  { "confirmed_zones", propagation.confirmedZones_ },
                  { "zones", propagation.zones_ } };
}

auto holdsWithdrawal(const std::vector<peer::Withdrawal> &withdrawals, const std::string &digest) -> bool
{
    return std::any_of(withdrawals.begin(), withdrawals.end(), [&](const peer::Withdrawal &withdrawal) {
        return withdrawal.digest == digest;
    });
}

}

auto isAuthorizedOperator(const std::string &operatorKey, const std::string &authorization, const std::string &remoteAddress) -> bool
{
    if (operatorKey.empty()) {
        return isLoopback(remoteAddress);
    }
    // Digests are compared because they have equal lengths: the time of the comparison doesn't reveal the key's length.
    return equalConstantTime(sha256Hex(authorization), sha256Hex("Bearer " + operatorKey));
}

auto isAccepted(const WithdrawalPropagation &propagation) -> bool
{
    return propagation.inConfiguration_ || propagation.confirmedZones_.size() * 2 > propagation.zones_.size();
}

auto withdrawalPropagation(const Configuration &configuration,
                           const FreshnessTracker &freshness,
                           const std::vector<PeerView> &peers,
                           const Key &key,
                           const std::string &ownZone) -> WithdrawalPropagation
{
    auto propagation = WithdrawalPropagation { {}, zonesWithHosts(configuration), !key.active_ };
    auto confirmed = std::set<std::string> {};
    if (freshness.isWithdrawn(key.digest_)) {
        confirmed.insert(ownZone);
    }
    for (const auto &peer : peers) {
        if (holdsWithdrawal(peer.state_.withdrawals, key.digest_)) {
            confirmed.insert(peer.host_.zone_);
        }
    }
    std::set_intersection(
        confirmed.begin(), confirmed.end(), propagation.zones_.begin(), propagation.zones_.end(), std::back_inserter(propagation.confirmedZones_));
    return propagation;
}

auto explainRoute(const Configuration &configuration,
                  FreshnessState freshness,
                  const std::vector<std::string> &leavingBackends,
                  const std::string &host,
                  const std::string &path) -> json
{
    auto explanation = json { { "host", host }, { "path", path }, { "revision", configuration.revision_ }, { "knowledge", freshnessStateName(freshness) } };
    const auto *route = findRoute(configuration, host, path);
    explanation["matched"] = route != nullptr;
    if (route == nullptr) {
        return explanation;
    }
    const auto refused = route->access_ == Access::Keyed && route->isolation_ == Isolation::Refuse && freshness == FreshnessState::Isolated;
    explanation["route"] = describeRoute(*route);
    explanation["refused_as_isolated"] = refused;
    explanation["shifts"] = describeShifts(configuration, route->pool_);
    const auto *pool = findByName(configuration.pools_, route->pool_);
    if (pool != nullptr) {
        explanation["pool"] = { { "name", pool->name_ }, { "slots", pool->slots_ }, { "backends", describeBackends(configuration, *pool, leavingBackends) } };
    }
    return explanation;
}

struct AdministrationServer::State
{
    auto addRoutes() -> void;
    auto authorized(void (State::*handle)(const httplib::Request &, httplib::Response &)) -> httplib::Server::Handler;
    auto health(const httplib::Request &request, httplib::Response &response) -> void;
    auto status(const httplib::Request &request, httplib::Response &response) -> void;
    auto explain(const httplib::Request &request, httplib::Response &response) -> void;
    auto withdraw(const httplib::Request &request, httplib::Response &response) -> void;
    auto showWithdrawal(const httplib::Request &request, httplib::Response &response) -> void;
    auto change(const httplib::Request &request, httplib::Response &response) -> void;
    auto propagation(const std::string &key) -> std::optional<WithdrawalPropagation>;

    AdministrationServerServices services_;
    httplib::Server server_;
    int descriptor_ = -1;
    std::thread thread_;
};

auto AdministrationServer::State::addRoutes() -> void
{
    server_.Get("/health", [this](const httplib::Request &request, httplib::Response &response) {
        health(request, response);
    });
    server_.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(services_.metrics_(), metricsType);
    });
    server_.Get("/v1/status", authorized(&State::status));
    server_.Get("/v1/explain", authorized(&State::explain));
    server_.Get("/v1/withdrawals", authorized(&State::showWithdrawal));
    server_.Post("/v1/withdrawals", authorized(&State::withdraw));
    server_.Post("/v1/changes", authorized(&State::change));
    server_.set_error_handler([](const httplib::Request &, httplib::Response &response) {
        if (response.body.empty()) {
            sendError(response, { static_cast<HttpStatus>(response.status), "not_served", "there is nothing at this path for this method" });
        }
    });
    server_.set_exception_handler([](const httplib::Request &, httplib::Response &response, const std::exception_ptr &) {
        sendError(response, { HttpStatus::InternalError, "internal_error", "the request failed inside the daemon" });
    });
}

auto AdministrationServer::State::authorized(void (State::*handle)(const httplib::Request &, httplib::Response &)) -> httplib::Server::Handler
{
    return [this, handle](const httplib::Request &request, httplib::Response &response) {
        if (!isAuthorizedOperator(services_.operatorKey_, request.get_header_value("Authorization"), request.remote_addr)) {
            sendError(response, { HttpStatus::Unauthorized, "operator_key_required", "give the operator key as Authorization: Bearer KEY" });
            return;
        }
        (this->*handle)(request, response);
    };
}

auto AdministrationServer::State::health(const httplib::Request & /*request*/, httplib::Response &response) -> void
{
    const auto ready = services_.ready_();
    send(response, ready ? HttpStatus::Ok : HttpStatus::Unavailable, json { { "ready", ready } });
}

auto AdministrationServer::State::status(const httplib::Request & /*request*/, httplib::Response &response) -> void
{
    send(response, HttpStatus::Ok, services_.status_());
}

auto AdministrationServer::State::explain(const httplib::Request &request, httplib::Response &response) -> void
{
    if (!request.has_param("host") || !request.has_param("path")) {
        sendError(response, { HttpStatus::BadRequest, "parameter_missing", "the parameters host and path are required" });
        return;
    }
    const auto configuration = services_.configuration_->get();
    const auto freshness = services_.freshness_->stateAt(monotonicNow(), *configuration);
    send(response,
         HttpStatus::Ok,
         explainRoute(*configuration, freshness, services_.leavingBackends_(), request.get_param_value("host"), request.get_param_value("path")));
}

auto AdministrationServer::State::propagation(const std::string &key) -> std::optional<WithdrawalPropagation>
{
    const auto configuration = services_.configuration_->get();
    const auto *declared = findByName(configuration->keys_, key);
    if (declared == nullptr) {
        return std::nullopt;
    }
    return withdrawalPropagation(*configuration, *services_.freshness_, services_.membership_->views(), *declared, services_.zone_);
}

auto AdministrationServer::State::showWithdrawal(const httplib::Request &request, httplib::Response &response) -> void
{
    const auto key = request.get_param_value("key");
    const auto found = propagation(key);
    if (!found) {
        sendError(response, { HttpStatus::NotFound, "unknown_key", "the configuration declares no key named '" + key + "'" });
        return;
    }
    send(response, HttpStatus::Ok, describePropagation(key, *found));
}

auto AdministrationServer::State::withdraw(const httplib::Request &request, httplib::Response &response) -> void
{
    const auto key = stringField(json::parse(request.body, nullptr, false), "key");
    if (key.empty()) {
        sendError(response, { HttpStatus::BadRequest, "malformed_withdrawal", R"(the body must be {"key": NAME})" });
        return;
    }
    const auto configuration = services_.configuration_->get();
    const auto *declared = findByName(configuration->keys_, key);
    if (declared == nullptr) {
        sendError(response, { HttpStatus::NotFound, "unknown_key", "the configuration declares no key named '" + key + "'" });
        return;
    }
    auto withdrawal = peer::Withdrawal {};
    withdrawal.keyId = key;
    withdrawal.digest = declared->digest_;
    services_.freshness_->addWithdrawals(pendingWithdrawals({ withdrawal }, *configuration));
    services_.membership_->triggerExchange(monotonicNow());
    const auto deadline = monotonicNow() + confirmationTimeout;
    auto found = propagation(key);
    while (found && !isAccepted(*found) && monotonicNow() < deadline) {
        absl::SleepFor(confirmationPollInterval);
        found = propagation(key);
    }
    // If the key was removed from the configuration meanwhile, no host accepts it any more.
    const auto result = found.value_or(WithdrawalPropagation { {}, {}, true });
    logOperatorAction("withdrawal_submitted", { { "key", key }, { "accepted", isAccepted(result) ? "true" : "false" } });
    send(response, isAccepted(result) ? HttpStatus::Ok : HttpStatus::Accepted, describePropagation(key, result));
}

auto AdministrationServer::State::change(const httplib::Request &request, httplib::Response &response) -> void
{
    const auto body = json::parse(request.body, nullptr, false);
    const auto edits = editsOf(body);
    const auto id = stringField(body, "id");
    if (!edits || id.empty()) {
        sendError(response,
                  { HttpStatus::BadRequest,
                    "malformed_change",
                    R"(the body must be {"id": TEXT, "edits": [{"name": FILE, "before": TEXT|null, "after": TEXT|null}]})" });
        return;
    }
    const auto outcome = attempt([&] {
        return applyEdits(*services_.store_, *edits, id);
    });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        const auto requestError = requestErrorOf(*error);
        logOperatorAction("change_refused", { { "change", id }, { "reason", requestError.reason_ } });
        sendError(response, requestError);
        return;
    }
    const auto revision = std::get<std::int64_t>(outcome);
    logOperatorAction("change_applied", { { "change", id }, { "revision", std::to_string(revision) } });
    send(response, HttpStatus::Ok, json { { "id", id }, { "revision", revision } });
}

AdministrationServer::AdministrationServer(AdministrationServerServices services)
    : state_(std::make_unique<State>())
{
    state_->services_ = std::move(services);
}

AdministrationServer::~AdministrationServer()
{
    stop();
}

auto AdministrationServer::start() -> Result<void>
{
    const auto address = parseSocketAddress(state_->services_.address_);
    if (!address) {
        return makeError("listen for operators", state_->services_.address_, "is not an IP address with a port");
    }
    auto &server = state_->server_;
    server.new_task_queue = [] {
        return new httplib::ThreadPool(serverThreads);
    };
    server.set_socket_options([this](int descriptor) {
        const auto enabled = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        state_->descriptor_ = descriptor;
    });
    server.set_payload_max_length(maximumBodyBytes);
    server.set_keep_alive_max_count(requestsPerConnection);
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
    // httplib ignores a stop before the server runs, and the thread would never end.
    while (!server.is_running()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    return {};
}

auto AdministrationServer::stop() -> void
{
    if (!state_->thread_.joinable()) {
        return;
    }
    state_->server_.stop();
    state_->thread_.join();
}

}
