#include "support/storeserver.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <thread>

namespace standin
{

namespace
{

using Json = nlohmann::json;
using std::chrono::milliseconds;

/** Each host of the fleet uses several connections; every pending watch occupies one. */
constexpr auto maximumConnections = 4000;
constexpr auto maximumValueBytes = std::size_t { 1 } << 20;

constexpr auto statusOk = 200;
constexpr auto statusBadRequest = 400;
constexpr auto statusNotFound = 404;
constexpr auto statusConflict = 409;
constexpr auto statusTooLarge = 413;
constexpr auto statusTooManyRequests = 429;

auto makeResponse(int status, const Json &body) -> HttpResponse
{
    return jsonResponse(status, body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

auto errorResponse(int status, const std::string &message) -> HttpResponse
{
    return makeResponse(status, Json { { "error", message } });
}

auto parseBody(const std::string &text) -> Json
{
    auto body = text.empty() ? Json::object() : Json::parse(text, nullptr, false);
    return body.is_object() ? body : Json();
}

auto queryNumber(const HttpRequest &request, const std::string &name) -> std::int64_t
{
    const auto found = request.query_.find(name);
    auto value = std::int64_t { 0 };
    if (found != request.query_.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    }
    return value;
}

/** The remainder of a path after a prefix; nothing when the path does not start with the prefix. */
auto afterPrefix(const std::string &path, const std::string &prefix) -> std::optional<std::string>
{
    if (path.compare(0, prefix.size(), prefix) != 0) {
        return std::nullopt;
    }
    return path.substr(prefix.size());
}

}

StoreServer::StoreServer(StoreLimits limits)
    : readBucket_ { limits.readsPerSecond_, limits.readsPerSecond_, Clock::now() }
    , writeBucket_ { limits.writesPerSecond_, limits.writesPerSecond_, Clock::now() }
    , server_(
          [this](const HttpRequest &request) {
              return handle(request);
          },
          maximumConnections)
{
}

StoreServer::~StoreServer()
{
    {
        const auto lock = Lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_all();
    server_.stop();
}

auto StoreServer::start(const std::string &address) -> bool
{
    return server_.start(address);
}

auto StoreServer::address() const -> const std::string &
{
    return server_.address();
}

auto StoreServer::handle(const HttpRequest &request) -> HttpResponse
{
    try {
        if (afterPrefix(request.path_, "/control/")) {
            return handleControl(request);
        }
        auto response = handleStore(request);
        // The delay comes after the execution: a call whose client times out has still taken effect.
        const auto delay = [this] {
            const auto lock = Lock(mutex_);
            return faults_.delay_;
        }();
        std::this_thread::sleep_for(delay);
        const auto lock = Lock(mutex_);
        response.isDropped_ = response.isDropped_ || faults_.isOutage_;
        return response;
    } catch (const Json::exception &exception) {
        return errorResponse(statusBadRequest, exception.what());
    }
}

auto StoreServer::handleStore(const HttpRequest &request) -> HttpResponse
{
    auto lock = Lock(mutex_);
    if (faults_.isOutage_) {
        ++counts_["refused_outage"];
        auto response = HttpResponse {};
        response.isDropped_ = true;
        return response;
    }
    removeExpired(Clock::now());
    const auto isRead = request.method_ == "GET";
    const auto isWatch = isRead && request.query_.count("wait_ms") > 0;
    const auto key = afterPrefix(request.path_, "/v1/keys/");
    const auto lease = afterPrefix(request.path_, "/v1/leases");
    const auto kind = !key ? (lease ? "lease" : "hosts") : (isWatch ? "watch" : (isRead ? "read" : "write"));
    ++counts_[kind];
    if (!takeToken(isRead ? readBucket_ : writeBucket_)) {
        ++counts_["refused_limit"];
        return errorResponse(statusTooManyRequests, "call limit reached");
    }
    if (key && isRead) {
        return readKey(lock, KeyRead { *key, queryNumber(request, "version"), milliseconds(queryNumber(request, "wait_ms")) });
    }
    if (key && request.method_ == "PUT") {
        return writeKey(*key, request);
    }
    if (lease) {
        return handleLease(*lease, request);
    }
    if (request.path_ == "/v1/hosts" && isRead) {
        return hostList();
    }
    return errorResponse(statusNotFound, "unknown call");
}

auto StoreServer::readKey(Lock &lock, const KeyRead &call) -> HttpResponse
{
    const auto deadline = Clock::now() + call.wait_;
    const auto currentVersion = [&] {
        const auto found = data_.entries_.find(call.key_);
        return found == data_.entries_.end() ? std::int64_t { 0 } : found->second.version_;
    };
    ++waitingWatches_;
    while (currentVersion() == call.knownVersion_ && Clock::now() < deadline && !faults_.isOutage_ && !isStopping_) {
        changed_.wait_until(lock, nextExpiry(deadline));
        removeExpired(Clock::now());
    }
    --waitingWatches_;
    const auto found = data_.entries_.find(call.key_);
    if (found == data_.entries_.end()) {
        return makeResponse(statusNotFound, Json { { "version", 0 } });
    }
    return makeResponse(statusOk, Json { { "value", found->second.value_ }, { "version", found->second.version_ } });
}

auto StoreServer::writeKey(const std::string &key, const HttpRequest &request) -> HttpResponse
{
    const auto body = parseBody(request.body_);
    if (body.is_null() || !body.contains("value")) {
        return errorResponse(statusBadRequest, "the body is not a JSON object with a value");
    }
    const auto value = body.at("value").get<std::string>();
    if (value.size() > maximumValueBytes) {
        return errorResponse(statusTooLarge, "the value is larger than 1 MiB");
    }
    const auto lease = body.value("lease", std::string {});
    if (!lease.empty() && data_.leases_.count(lease) == 0) {
        return errorResponse(statusNotFound, "the lease has ended");
    }
    const auto found = data_.entries_.find(key);
    const auto version = found == data_.entries_.end() ? std::int64_t { 0 } : found->second.version_;
    auto response = HttpResponse {};
    if (version != body.value("expected_version", std::int64_t { 0 })) {
        ++counts_["conflict"];
        response = makeResponse(statusConflict, Json { { "value", version == 0 ? "" : found->second.value_ }, { "version", version } });
    } else {
        const auto timeToLive = milliseconds(body.value("time_to_live_ms", std::int64_t { 0 }));
        const auto expiry = timeToLive.count() > 0 ? std::optional(Clock::now() + timeToLive) : std::nullopt;
        data_.entries_[key] = Entry { value, ++data_.lastVersion_, expiry, lease };
        changed_.notify_all();
        response = makeResponse(statusOk, Json { { "version", data_.lastVersion_ } });
    }
    if (faults_.responsesToDrop_ > 0 && afterPrefix(key, faults_.droppedResponsePrefix_)) {
        --faults_.responsesToDrop_;
        ++counts_["lost_reply"];
        response.isDropped_ = true;
    }
    return response;
}

auto StoreServer::handleLease(const std::string &subpath, const HttpRequest &request) -> HttpResponse
{
    if (subpath.empty() && request.method_ == "POST") {
        const auto timeToLive = milliseconds(parseBody(request.body_).at("time_to_live_ms").get<std::int64_t>());
        const auto id = "lease-" + std::to_string(++lastLeaseId_);
        data_.leases_[id] = Lease { timeToLive, Clock::now() + timeToLive };
        return makeResponse(statusOk, Json { { "lease", id } });
    }
    const auto suffix = std::string { "/renew" };
    const auto isRenewal = subpath.size() > suffix.size() && subpath.compare(subpath.size() - suffix.size(), suffix.size(), suffix) == 0;
    const auto id = subpath.empty() ? subpath : subpath.substr(1, subpath.size() - 1 - (isRenewal ? suffix.size() : 0));
    const auto found = data_.leases_.find(id);
    if (found == data_.leases_.end()) {
        return errorResponse(statusNotFound, "the lease has ended");
    }
    if (isRenewal && request.method_ == "POST") {
        found->second.expiry_ = Clock::now() + found->second.timeToLive_;
        return makeResponse(statusOk, Json { { "lease", id } });
    }
    if (request.method_ == "DELETE") {
        removeLease(id);
        return makeResponse(statusOk, Json { { "lease", id } });
    }
    return errorResponse(statusNotFound, "unknown call");
}

auto StoreServer::hostList() -> HttpResponse
{
    while (!pendingHosts_.empty() && pendingHosts_.front().visibleAt_ <= Clock::now()) {
        hostsJson_ = pendingHosts_.front().hostsJson_;
        ++hostSequence_;
        pendingHosts_.pop_front();
    }
    return makeResponse(statusOk, Json { { "sequence", hostSequence_ }, { "hosts", Json::parse(hostsJson_) } });
}

auto StoreServer::handleControl(const HttpRequest &request) -> HttpResponse
{
    const auto name = *afterPrefix(request.path_, "/control/");
    const auto body = parseBody(request.body_);
    const auto lock = Lock(mutex_);
    if (name == "counts") {
        return counts();
    }
    if (name == "dump") {
        return dump();
    }
    if (name == "hosts") {
        return setHosts(request.body_);
    }
    if (name == "outage") {
        faults_.isOutage_ = body.value("on", true);
    } else if (name == "slow") {
        faults_.delay_ = milliseconds(body.value("delay_ms", std::int64_t { 0 }));
    } else if (name == "lose-replies") {
        faults_.responsesToDrop_ = body.value("count", 1);
        faults_.droppedResponsePrefix_ = body.value("prefix", std::string {});
    } else if (name == "snapshot") {
        snapshot_ = data_;
    } else if (name == "rewind") {
        data_ = snapshot_;
    } else {
        return errorResponse(statusNotFound, "unknown control call");
    }
    changed_.notify_all();
    return makeResponse(statusOk, Json::object());
}

auto StoreServer::setHosts(const std::string &text) -> HttpResponse
{
    const auto body = parseBody(text);
    const auto lag = milliseconds(body.value("lag_ms", std::int64_t { 0 }));
    pendingHosts_.push_back(HostListChange { Clock::now() + lag, body.at("hosts").dump() });
    return makeResponse(statusOk, Json::object());
}

auto StoreServer::counts() -> HttpResponse
{
    auto body = Json { { "waiting", waitingWatches_ } };
    for (const auto *const kind : { "read", "write", "watch", "lease", "hosts", "conflict", "lost_reply", "refused_limit", "refused_outage" }) {
        body[kind] = counts_[kind];
    }
    return makeResponse(statusOk, body);
}

auto StoreServer::dump() -> HttpResponse
{
    removeExpired(Clock::now());
    auto entries = Json::object();
    for (const auto &[key, entry] : data_.entries_) {
        entries[key] = Json { { "value", entry.value_ }, { "version", entry.version_ } };
    }
    return makeResponse(statusOk, Json { { "entries", entries } });
}

auto StoreServer::removeExpired(Clock::time_point now) -> void
{
    auto expiredLeases = std::vector<std::string> {};
    for (const auto &[id, lease] : data_.leases_) {
        if (lease.expiry_ <= now) {
            expiredLeases.push_back(id);
        }
    }
    for (const auto &id : expiredLeases) {
        removeLease(id);
    }
    const auto removed = std::erase_if(data_.entries_, [&](const auto &item) {
        return item.second.expiry_ && *item.second.expiry_ <= now;
    });
    if (removed > 0) {
        changed_.notify_all();
    }
}

auto StoreServer::removeLease(const std::string &id) -> void
{
    std::erase_if(data_.entries_, [&](const auto &item) {
        return item.second.lease_ == id;
    });
    data_.leases_.erase(id);
    changed_.notify_all();
}

auto StoreServer::nextExpiry(Clock::time_point limit) -> Clock::time_point
{
    for (const auto &[key, entry] : data_.entries_) {
        limit = std::min(limit, entry.expiry_.value_or(limit));
    }
    for (const auto &[id, lease] : data_.leases_) {
        limit = std::min(limit, lease.expiry_);
    }
    return limit;
}

auto StoreServer::takeToken(TokenBucket &bucket) -> bool
{
    if (bucket.tokensPerSecond_ <= 0) {
        return true;
    }
    const auto now = Clock::now();
    const auto elapsed = std::chrono::duration<double>(now - bucket.updatedAt_).count();
    bucket.tokens_ = std::min(bucket.tokensPerSecond_, bucket.tokens_ + elapsed * bucket.tokensPerSecond_);
    bucket.updatedAt_ = now;
    if (bucket.tokens_ < 1) {
        return false;
    }
    bucket.tokens_ -= 1;
    return true;
}

}
