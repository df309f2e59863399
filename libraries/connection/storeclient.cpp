#include "connection/storeclient.h"

#include "connection/httpclient.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace lycheecleat
{

namespace
{

using Json = nlohmann::json;

/** Maximum number of idle connections; further connections of a burst are closed after use. */
constexpr auto maximumIdleConnections = std::size_t { 32 };

constexpr auto statusOk = 200;
constexpr auto statusNotFound = 404;
constexpr auto statusConflict = 409;
constexpr auto statusTooManyRequests = 429;
constexpr auto firstServerErrorStatus = 500;

constexpr auto uncertainWriteNote = "; the write may have taken effect";

auto keyPath(const std::string &key) -> std::string
{
    return "/v1/keys/" + percentEncoded(key, "/");
}

auto toEntry(const Json &body) -> StoreEntry
{
    return StoreEntry { body.value("value", std::string {}), body.value("version", std::int64_t { 0 }) };
}

auto toHostList(const Json &body) -> HostList
{
    auto list = HostList {};
    list.sequence_ = body.value("sequence", std::int64_t { 0 });
    for (const auto &host : body.at("hosts")) {
        list.hosts_.push_back(ListedHost { host.at("name").get<std::string>(), host.value("address", std::string {}), host.value("leaving", false) });
    }
    return list;
}

}

/** Pool of idle connections to the store. Thread-safe. */
struct StoreClient::ConnectionPool
{
    explicit ConnectionPool(StoreSettings settings)
        : settings_(std::move(settings))
    {
    }

    /** An idle connection, or a new one that connects at its first call. */
    [[nodiscard]] auto acquire() -> HttpClient
    {
        {
            const auto lock = absl::MutexLock(&mutex_);
            if (!idle_.empty()) {
                auto connection = std::move(idle_.back());
                idle_.pop_back();
                return connection;
            }
        }
        return HttpClient(settings_.address_);
    }

    /** Returns a connection to the pool after a complete response. */
    auto release(HttpClient connection) -> void
    {
        const auto lock = absl::MutexLock(&mutex_);
        if (idle_.size() < maximumIdleConnections) {
            idle_.push_back(std::move(connection));
        }
    }

    /** Closes the idle connections, since the cause of one failed connection, such as a restart of the store, usually affects all. */
    auto closeIdle() -> void
    {
        auto closed = std::vector<HttpClient> {};
        const auto lock = absl::MutexLock(&mutex_);
        closed.swap(idle_);
    }

    /**
     * Sends a request and returns the status and the parsed body. After a failure the connection is closed, since a late response on it
     * would be read as the response to a later call.
     */
    [[nodiscard]] auto call(const std::string &step, RequestContent request, absl::Duration timeout, bool isWrite) -> Result<std::pair<int, Json>>
    {
        auto connection = acquire();
        const auto result = connection.call(std::move(request), { settings_.timeout_, timeout, timeout });
        const auto uncertainty = isWrite ? uncertainWriteNote : "";
        if (result.status_ != HttpCallStatus::Complete) {
            closeIdle();
            // A write of which nothing was sent can't have taken effect.
            const auto note = result.status_ == HttpCallStatus::NotSent ? "" : uncertainty;
            return makeError(step, settings_.address_, fmt::format("no response from the store: {}{}", result.detail_, note));
        }
        const auto &response = result.response_;
        if (response.status_ == statusTooManyRequests) {
            release(std::move(connection));
            return makeError(step, settings_.address_, "the store rejected the call because its rate limit is reached");
        }
        if (response.status_ >= firstServerErrorStatus) {
            return makeError(step, settings_.address_, fmt::format("the store responded with status {}{}", response.status_, uncertainty));
        }
        auto body = Json::parse(response.body_.text(), nullptr, false);
        if (!body.is_object()) {
            return makeError(step, settings_.address_, fmt::format("the store's response is not a JSON object{}", uncertainty));
        }
        release(std::move(connection));
        return std::pair { response.status_, std::move(body) };
    }

private:
    const StoreSettings settings_;
    absl::Mutex mutex_;
    std::vector<HttpClient> idle_ ABSL_GUARDED_BY(mutex_);
};

namespace
{

auto getRequest(const std::string &path) -> RequestContent
{
    return { "GET", path, {}, {} };
}

auto unexpectedStatus(const std::string &step, const std::string &address, int status) -> boost::leaf::error_id
{
    return makeError(step, address, fmt::format("the store responded with status {}", status));
}

/** Converts the body of a response to a value; a missing field or one of another type is an error. */
template<typename Convert>
auto convertBody(const std::string &step, const std::string &address, const Json &body, Convert convert) -> Result<std::invoke_result_t<Convert, const Json &>>
{
    try {
        return convert(body);
    } catch (const Json::exception &exception) {
        return makeError(step, address, fmt::format("the store's response is malformed: {}", exception.what()));
    }
}

}

StoreClient::StoreClient(StoreSettings settings)
    : settings_(std::move(settings))
    , connections_(std::make_unique<ConnectionPool>(settings_))
{
}

StoreClient::~StoreClient() = default;

auto StoreClient::get(const std::string &key) -> Result<StoreEntry>
{
    const auto step = "read store key " + key;
    BOOST_LEAF_AUTO(response, connections_->call(step, getRequest(keyPath(key)), settings_.timeout_, false));
    if (response.first != statusOk && response.first != statusNotFound) {
        return unexpectedStatus(step, settings_.address_, response.first);
    }
    return convertBody(step, settings_.address_, response.second, toEntry);
}

auto StoreClient::watch(const std::string &key, std::int64_t knownVersion, absl::Duration wait) -> Result<StoreEntry>
{
    const auto step = "watch store key " + key;
    const auto path = fmt::format("{}?wait_ms={}&version={}", keyPath(key), absl::ToInt64Milliseconds(wait), knownVersion);
    BOOST_LEAF_AUTO(response, connections_->call(step, getRequest(path), settings_.timeout_ + wait, false));
    if (response.first != statusOk && response.first != statusNotFound) {
        return unexpectedStatus(step, settings_.address_, response.first);
    }
    return convertBody(step, settings_.address_, response.second, toEntry);
}

auto StoreClient::compareAndSwap(const std::string &key, std::int64_t expectedVersion, const std::string &value, absl::Duration timeToLive)
    -> Result<SwapResult>
{
    const auto step = "write store key " + key;
    auto content = Json { { "value", value }, { "expected_version", expectedVersion } };
    if (timeToLive > absl::ZeroDuration()) {
        content["time_to_live_ms"] = absl::ToInt64Milliseconds(timeToLive);
    }
    auto request = RequestContent { "PUT", keyPath(key), { { "Content-Type", "application/json" } }, {} };
    try {
        request.body_ = content.dump();
    } catch (const Json::exception &) {
        return makeError(step, settings_.address_, "the value is not valid UTF-8; nothing was sent");
    }
    BOOST_LEAF_AUTO(response, connections_->call(step, request, settings_.timeout_, true));
    if (response.first != statusOk && response.first != statusConflict) {
        return unexpectedStatus(step, settings_.address_, response.first);
    }
    const auto swapped = response.first == statusOk;
    BOOST_LEAF_AUTO(entry, convertBody(step, settings_.address_, response.second, toEntry));
    return SwapResult { swapped, StoreEntry { swapped ? value : entry.value_, entry.version_ } };
}

auto StoreClient::hostList() -> Result<HostList>
{
    const auto step = std::string { "read host list" };
    BOOST_LEAF_AUTO(response, connections_->call(step, getRequest("/v1/hosts"), settings_.timeout_, false));
    if (response.first != statusOk) {
        return unexpectedStatus(step, settings_.address_, response.first);
    }
    return convertBody(step, settings_.address_, response.second, toHostList);
}

}
