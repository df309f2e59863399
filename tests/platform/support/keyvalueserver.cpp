#include "support/keyvalueserver.h"

#include <absl/strings/escaping.h>
#include <absl/time/time.h>

#include <algorithm>
#include <stdexcept>
#include <thread>
#include <utility>

namespace platformtest
{

namespace
{

using Json = nlohmann::json;
using standin::HttpRequest;
using standin::HttpResponse;

/** Limit for each address, which one entry host uses with a few connections. */
constexpr auto maximumConnections = 200;
constexpr auto maximumPageItems = 500;
constexpr auto maximumTransactionEntries = 32;
/** Longer than the response timeout of any host. */
constexpr auto maximumUnresponsiveTime = std::chrono::seconds { 20 };
constexpr auto pollInterval = std::chrono::milliseconds { 50 };

constexpr auto longStatusLineBytes = std::size_t { 1024 } * 1024;

constexpr auto okStatus = 200;
constexpr auto forbiddenStatus = 403;
constexpr auto notFoundStatus = 404;
constexpr auto goneStatus = 410;
constexpr auto conflictStatus = 412;
constexpr auto tooManyStatus = 429;
constexpr auto unavailableStatus = 503;

auto makeResponse(int status, const Json &body) -> HttpResponse
{
    return standin::jsonResponse(status, body.dump());
}

auto queryText(const HttpRequest &request, const std::string &name) -> std::string
{
    const auto found = request.query_.find(name);
    return found == request.query_.end() ? std::string {} : found->second;
}

auto queryNumber(const HttpRequest &request, const std::string &name) -> std::int64_t
{
    const auto text = queryText(request, name);
    return text.empty() ? 0 : std::stoll(text);
}

auto parseDuration(const std::string &text) -> std::chrono::milliseconds
{
    auto duration = absl::Duration {};
    if (!absl::ParseDuration(text, &duration)) {
        throw std::runtime_error("invalid duration: " + text);
    }
    return std::chrono::milliseconds { absl::ToInt64Milliseconds(duration) };
}

auto droppedResponse() -> HttpResponse
{
    auto response = HttpResponse {};
    response.isDropped_ = true;
    return response;
}

}

KeyValueServer::~KeyValueServer()
{
    {
        const auto lock = Lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_all();
    for (auto &endpoint : endpoints_) {
        endpoint.server_->stop();
    }
}

auto KeyValueServer::listen(const std::string &address) -> std::string
{
    const auto index = endpoints_.size();
    auto server = std::make_unique<standin::HttpServer>(
        [this, index](const HttpRequest &request) {
            return handle(index, request);
        },
        maximumConnections);
    if (!server->start(address)) {
        throw std::runtime_error("the store cannot listen on " + address);
    }
    auto bound = server->address();
    const auto lock = Lock(mutex_);
    endpoints_.push_back({ bound, StoreFault::None, std::move(server) });
    return bound;
}

auto KeyValueServer::put(const std::string &key, const std::string &value) -> void
{
    const auto lock = Lock(mutex_);
    write(key, value, 0);
}

auto KeyValueServer::remove(const std::string &key) -> void
{
    const auto lock = Lock(mutex_);
    erase(key);
}

auto KeyValueServer::contains(const std::string &key) -> bool
{
    const auto lock = Lock(mutex_);
    removeExpiredLeases();
    return items_.count(key) > 0;
}

auto KeyValueServer::setFault(const std::string &address, StoreFault fault) -> void
{
    const auto lock = Lock(mutex_);
    for (auto &endpoint : endpoints_) {
        if (address.empty() || endpoint.address_ == address) {
            endpoint.fault_ = fault;
        }
    }
    changed_.notify_all();
}

auto KeyValueServer::compact() -> void
{
    const auto lock = Lock(mutex_);
    history_.clear();
    firstAvailableRevision_ = revision_ + 1;
    changed_.notify_all();
}

auto KeyValueServer::saveCopy() -> void
{
    const auto lock = Lock(mutex_);
    copy_ = { items_, history_, leases_, revision_, lastLeaseId_ };
}

auto KeyValueServer::restoreCopy() -> void
{
    const auto lock = Lock(mutex_);
    items_ = copy_.items_;
    history_ = copy_.history_;
    leases_ = copy_.leases_;
    revision_ = copy_.revision_;
    lastLeaseId_ = copy_.lastLeaseId_;
    for (auto &[number, lease] : leases_) {
        lease.expiresAt_ = Clock::now() + lease.timeToLive_;
    }
    ++era_;
    changed_.notify_all();
}

auto KeyValueServer::expireAllLeases() -> void
{
    const auto lock = Lock(mutex_);
    while (!leases_.empty()) {
        removeLease(leases_.begin()->first);
    }
}

auto KeyValueServer::setCallsPerSecond(int calls) -> void
{
    const auto lock = Lock(mutex_);
    callsPerSecond_ = calls;
}

auto KeyValueServer::calls(const std::string &name) -> int
{
    const auto lock = Lock(mutex_);
    return callCounts_[name];
}

auto KeyValueServer::handle(std::size_t endpoint, const HttpRequest &request) -> HttpResponse
{
    auto lock = Lock(mutex_);
    auto response = respond(lock, endpoint, request);
    response.headers_.emplace_back("Store-Era", std::to_string(era_));
    return response;
}

auto KeyValueServer::respond(Lock &lock, std::size_t endpoint, const HttpRequest &request) -> HttpResponse
{
    constexpr auto prefix = std::string_view("/-/");
    const auto call = request.path_.substr(std::min(prefix.size(), request.path_.size()));
    ++callCounts_[call.substr(0, call.find('/'))];
    const auto isWrite = call == "kv-txn" || call == "kv-lease";
    switch (endpoints_.at(endpoint).fault_) {
    case StoreFault::Unavailable:
        return makeResponse(unavailableStatus, Json::object());
    case StoreFault::RateLimited:
        return makeResponse(tooManyStatus, Json::object());
    case StoreFault::ConnectionReset:
        return droppedResponse();
    case StoreFault::Unresponsive:
        return stayUnresponsive(lock, request);
    case StoreFault::LostWriteResponses:
        if (isWrite) {
            serve(lock, endpoint, call, request);
            return droppedResponse();
        }
        break;
    case StoreFault::LongStatusLine:
    case StoreFault::EndlessHead:
    case StoreFault::EndlessBody:
        return sendTooMuch(lock, endpoints_[endpoint].fault_, request);
    case StoreFault::None:
        break;
    }
    return isWithinRate() ? serve(lock, endpoint, call, request) : makeResponse(tooManyStatus, Json::object());
}

// Sends nothing until the caller gives up, so that the connection stays open.
auto KeyValueServer::stayUnresponsive(Lock &lock, const HttpRequest &request) -> HttpResponse
{
    changed_.wait_for(lock, maximumUnresponsiveTime, [&] {
        return isStopping_ || standin::isPeerClosed(request.socket_);
    });
    return droppedResponse();
}

// Does not hold the lock while it sends, so that the other addresses are served meanwhile.
auto KeyValueServer::sendTooMuch(Lock &lock, StoreFault fault, const HttpRequest &request) -> HttpResponse
{
    const auto statusLine = std::string("HTTP/1.1 200 OK");
    lock.unlock();
    if (fault == StoreFault::LongStatusLine) {
        standin::sendAll(request.socket_, statusLine + std::string(longStatusLineBytes, 'x') + "\r\n");
    } else if (fault == StoreFault::EndlessHead) {
        standin::sendEndlessly(request.socket_, statusLine + "\r\nA: ", "x");
    } else {
        standin::sendEndlessly(request.socket_, statusLine + "\r\n\r\n", "x");
    }
    lock.lock();
    return droppedResponse();
}

auto KeyValueServer::serve(Lock &lock, std::size_t endpoint, const std::string &call, const HttpRequest &request) -> HttpResponse
{
    removeExpiredLeases();
    if (call == "kv-range") {
        return readRange(request);
    }
    if (call == "kv-key") {
        return readKey(request);
    }
    if (call == "kv-watch") {
        return watch(lock, endpoint, request);
    }
    return call == "kv-txn" ? transact(request) : handleLease(call, request);
}

namespace
{

template<typename Item>
auto itemJson(const std::string &key, const Item &item) -> Json
{
    return {
        { "key", key }, { "value", absl::Base64Escape(item.value_) }, { "revision", item.revision_ }, { "created", item.created_ }, { "lease", item.lease_ }
    };
}

}

auto KeyValueServer::readRange(const HttpRequest &request) -> HttpResponse
{
    const auto prefix = queryText(request, "prefix");
    const auto after = queryText(request, "after");
    auto items = Json::array();
    auto isTruncated = false;
    for (auto found = items_.lower_bound(prefix); found != items_.end() && found->first.starts_with(prefix); ++found) {
        if (!after.empty() && found->first <= after) {
            continue;
        }
        if (items.size() >= maximumPageItems) {
            isTruncated = true;
            break;
        }
        items.push_back(itemJson(found->first, found->second));
    }
    return makeResponse(okStatus, { { "items", items }, { "truncated", isTruncated }, { "as_of", revision_ } });
}

auto KeyValueServer::readKey(const HttpRequest &request) -> HttpResponse
{
    const auto found = items_.find(queryText(request, "key"));
    if (found == items_.end()) {
        return makeResponse(notFoundStatus, { { "as_of", revision_ } });
    }
    auto body = itemJson(found->first, found->second);
    body["as_of"] = revision_;
    return makeResponse(okStatus, body);
}

auto KeyValueServer::watch(Lock &lock, std::size_t endpoint, const HttpRequest &request) -> HttpResponse
{
    const auto prefix = queryText(request, "prefix");
    const auto after = queryNumber(request, "after");
    const auto deadline = Clock::now() + std::chrono::milliseconds { queryNumber(request, "wait_ms") };
    const auto eraBefore = era_;
    while (true) {
        if (after + 1 < firstAvailableRevision_ || after > revision_) {
            return makeResponse(goneStatus, Json::object());
        }
        auto events = Json::array();
        for (const auto &event : history_) {
            if (event.revision_ > after && event.key_.starts_with(prefix)) {
                events.push_back(event.isDeleted_ ? Json { { "key", event.key_ }, { "revision", event.revision_ }, { "deleted", true } }
                                                  : itemJson(event.key_, event.item_));
            }
        }
        if (!events.empty() || Clock::now() >= deadline) {
            return makeResponse(okStatus, { { "events", events }, { "as_of", revision_ } });
        }
        changed_.wait_until(lock, std::min(deadline, Clock::now() + pollInterval));
        removeExpiredLeases();
        if (endpoints_[endpoint].fault_ == StoreFault::Unresponsive) {
            return stayUnresponsive(lock, request);
        }
        if (isStopping_ || endpoints_[endpoint].fault_ != StoreFault::None || era_ != eraBefore) {
            return droppedResponse();
        }
    }
}

auto KeyValueServer::transact(const HttpRequest &request) -> HttpResponse
{
    const auto body = Json::parse(request.body_);
    const auto puts = body.value("puts", Json::array());
    const auto removals = body.value("remove", Json::array());
    const auto expected = body.value("expected_rev", Json::array());
    if (puts.size() + removals.size() + expected.size() > maximumTransactionEntries) {
        return makeResponse(forbiddenStatus, Json::object());
    }
    for (const auto &entry : expected) {
        const auto found = items_.find(entry.at("key").get<std::string>());
        if ((found == items_.end() ? 0 : found->second.revision_) != entry.at("revision").get<std::int64_t>()) {
            return makeResponse(conflictStatus, { { "items", Json::array() } });
        }
    }
    for (const auto &entry : puts) {
        const auto key = entry.at("key").get<std::string>();
        const auto lease = entry.value("lease", std::int64_t { 0 });
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return makeResponse(forbiddenStatus, Json::object());
        }
        if (lease != 0 && leases_.count(lease) == 0) {
            return makeResponse(notFoundStatus, Json::object());
        }
    }
    for (const auto &entry : puts) {
        auto value = std::string {};
        absl::Base64Unescape(entry.at("value").get<std::string>(), &value);
        write(entry.at("key").get<std::string>(), value, entry.value("lease", std::int64_t { 0 }));
    }
    for (const auto &key : removals) {
        erase(key.get<std::string>());
    }
    return makeResponse(okStatus, { { "revision", revision_ } });
}

auto KeyValueServer::handleLease(const std::string &call, const HttpRequest &request) -> HttpResponse
{
    if (call == "kv-lease") {
        const auto text = Json::parse(request.body_).at("ttl_time").get<std::string>();
        const auto timeToLive = parseDuration(text);
        leases_[++lastLeaseId_] = { timeToLive, Clock::now() + timeToLive };
        return makeResponse(okStatus, { { "lease", lastLeaseId_ }, { "ttl_time", text } });
    }
    const auto slash = call.find('/');
    const auto found = slash == std::string::npos ? leases_.end() : leases_.find(std::stoll(call.substr(slash + 1)));
    if (found == leases_.end()) {
        return makeResponse(notFoundStatus, Json::object());
    }
    if (call.starts_with("kv-keep")) {
        found->second.expiresAt_ = Clock::now() + found->second.timeToLive_;
    } else {
        removeLease(found->first);
    }
    return makeResponse(okStatus, Json::object());
}

auto KeyValueServer::write(const std::string &key, const std::string &value, std::int64_t lease) -> void
{
    ++revision_;
    auto &item = items_[key];
    item = { value, revision_, item.created_ == 0 ? revision_ : item.created_, lease };
    history_.push_back({ key, revision_, false, item });
    changed_.notify_all();
}

auto KeyValueServer::erase(const std::string &key) -> void
{
    if (items_.erase(key) > 0) {
        history_.push_back({ key, ++revision_, true, {} });
        changed_.notify_all();
    }
}

auto KeyValueServer::removeLease(std::int64_t lease) -> void
{
    auto keys = std::vector<std::string> {};
    for (const auto &[key, item] : items_) {
        if (item.lease_ == lease) {
            keys.push_back(key);
        }
    }
    leases_.erase(lease);
    for (const auto &key : keys) {
        erase(key);
    }
}

auto KeyValueServer::removeExpiredLeases() -> void
{
    auto expired = std::vector<std::int64_t> {};
    for (const auto &[number, lease] : leases_) {
        if (lease.expiresAt_ <= Clock::now()) {
            expired.push_back(number);
        }
    }
    for (const auto number : expired) {
        removeLease(number);
    }
}

auto KeyValueServer::isWithinRate() -> bool
{
    const auto now = Clock::now();
    if (now - rateWindowStart_ >= std::chrono::seconds { 1 }) {
        rateWindowStart_ = now;
        callsInWindow_ = 0;
    }
    ++callsInWindow_;
    return callsPerSecond_ == 0 || callsInWindow_ <= callsPerSecond_;
}

}
