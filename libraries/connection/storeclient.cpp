#include "connection/storeclient.h"

#include "core/socketaddress.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>
#include <utility>

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

auto isUnreserved(unsigned char character) -> bool
{
    const auto isLetter = (character >= 'A' && character <= 'Z') || (character >= 'a' && character <= 'z');
    const auto isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || character == '-' || character == '.' || character == '_' || character == '~';
}

/** Percent-encodes each segment of a key; slashes stay as they are. */
auto encodeKey(const std::string &key) -> std::string
{
    auto encoded = std::string {};
    for (const auto character : key) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '/' || isUnreserved(byte)) {
            encoded += character;
        } else {
            encoded += fmt::format("%{:02X}", byte);
        }
    }
    return encoded;
}

auto keyPath(const std::string &key) -> std::string
{
    return "/v1/keys/" + encodeKey(key);
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
        , address_(parseSocketAddress(settings_.address_).value_or(SocketAddress { settings_.address_, 0 }))
    {
    }

    /** An idle connection, or a new one that connects at its first call. */
    [[nodiscard]] auto acquire() -> std::unique_ptr<httplib::Client>
    {
        {
            const auto lock = absl::MutexLock(&mutex_);
            if (!idle_.empty()) {
                auto connection = std::move(idle_.back());
                idle_.pop_back();
                return connection;
            }
        }
        return open();
    }

    /** Returns a connection to the pool after a complete response. */
    auto release(std::unique_ptr<httplib::Client> connection) -> void
    {
        const auto lock = absl::MutexLock(&mutex_);
        if (idle_.size() < maximumIdleConnections) {
            idle_.push_back(std::move(connection));
        }
    }

    /** Closes the idle connections, since the cause of one failed connection, such as a restart of the store, usually affects all. */
    auto closeIdle() -> void
    {
        auto closed = std::vector<std::unique_ptr<httplib::Client>> {};
        const auto lock = absl::MutexLock(&mutex_);
        closed.swap(idle_);
    }

    /**
     * Sends a request and returns the status and the parsed body. After a failure the connection is closed, since a late response on it
     * would be read as the response to a later call.
     */
    [[nodiscard]] auto call(const std::string &step, const httplib::Request &request, absl::Duration timeout, bool isWrite) -> Result<std::pair<int, Json>>
    {
        auto connection = acquire();
        connection->set_read_timeout(absl::ToChronoMicroseconds(timeout));
        auto response = connection->send(request);
        const auto uncertainty = isWrite ? uncertainWriteNote : "";
        if (!response) {
            closeIdle();
            // Without a connection nothing was sent, so a write can't have taken effect.
            const auto note = response.error() == httplib::Error::Connection ? "" : uncertainty;
            return makeError(step, settings_.address_, fmt::format("no response from the store: {}{}", httplib::to_string(response.error()), note));
        }
        if (response->status == statusTooManyRequests) {
            release(std::move(connection));
            return makeError(step, settings_.address_, "the store rejected the call because its rate limit is reached");
        }
        if (response->status >= firstServerErrorStatus) {
            return makeError(step, settings_.address_, fmt::format("the store responded with status {}{}", response->status, uncertainty));
        }
        auto body = Json::parse(response->body, nullptr, false);
        if (!body.is_object()) {
            return makeError(step, settings_.address_, fmt::format("the store's response is not a JSON object{}", uncertainty));
        }
        release(std::move(connection));
        return std::pair { response->status, std::move(body) };
    }

private:
    [[nodiscard]] auto open() const -> std::unique_ptr<httplib::Client>
    {
        auto connection = std::make_unique<httplib::Client>(address_.ip_, address_.port_);
        const auto timeout = absl::ToChronoMicroseconds(settings_.timeout_);
        connection->set_connection_timeout(timeout);
        connection->set_read_timeout(timeout);
        connection->set_write_timeout(timeout);
        connection->set_keep_alive(true);
        connection->set_tcp_nodelay(true);
        connection->set_decompress(false);
        connection->set_follow_location(false);
        // Paths are already percent-encoded; encoding them again would change the key.
        connection->set_url_encode(false);
        return connection;
    }

    const StoreSettings settings_;
    const SocketAddress address_;
    absl::Mutex mutex_;
    std::vector<std::unique_ptr<httplib::Client>> idle_ ABSL_GUARDED_BY(mutex_);
};

namespace
{

auto makeRequest(const std::string &method, const std::string &path) -> httplib::Request
{
    auto request = httplib::Request {};
    request.method = method;
    request.path = path;
    return request;
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
    BOOST_LEAF_AUTO(response, connections_->call(step, makeRequest("GET", keyPath(key)), settings_.timeout_, false));
    if (response.first != statusOk && response.first != statusNotFound) {
        return unexpectedStatus(step, settings_.address_, response.first);
    }
    return convertBody(step, settings_.address_, response.second, toEntry);
}

auto StoreClient::watch(const std::string &key, std::int64_t knownVersion, absl::Duration wait) -> Result<StoreEntry>
{
    const auto step = "watch store key " + key;
    const auto path = fmt::format("{}?wait_ms={}&version={}", keyPath(key), absl::ToInt64Milliseconds(wait), knownVersion);
    BOOST_LEAF_AUTO(response, connections_->call(step, makeRequest("GET", path), settings_.timeout_ + wait, false));
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
    auto request = makeRequest("PUT", keyPath(key));
    request.set_header("Content-Type", "application/json");
    try {
        request.body = content.dump();
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
    BOOST_LEAF_AUTO(response, connections_->call(step, makeRequest("GET", "/v1/hosts"), settings_.timeout_, false));
    if (response.first != statusOk) {
        return unexpectedStatus(step, settings_.address_, response.first);
    }
    return convertBody(step, settings_.address_, response.second, toHostList);
}

}
