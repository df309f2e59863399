#include "support/loadgenerator.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <thread>
#include <unistd.h>

namespace standin
{

namespace
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto maximumDuration = std::chrono::seconds { 120 };
constexpr auto medianFraction = 0.5;
constexpr auto tailFraction = 0.99;
constexpr auto firstErrorStatus = 400;

using Counts = std::map<std::string, std::int64_t>;

/** Results of one thread, or the sum over all threads. */
struct LoadResult
{
    std::int64_t sent_ = 0;
    /** Microseconds from the scheduled start and from the actual start to the response, for served requests. */
    std::vector<std::int64_t> latencies_;
    std::vector<std::int64_t> serviceLatencies_;
    Counts statuses_;
    Counts outcomes_;
    Counts reasons_;
    Counts errors_;
};

/** Connections of one thread, one per target. */
using Connections = std::vector<std::unique_ptr<httplib::Client>>;

auto openConnections(const LoadSettings &settings) -> Connections
{
    auto connections = Connections {};
    for (const auto &target : settings.targets_) {
        auto connection = std::make_unique<httplib::Client>("http://" + target);
        connection->set_keep_alive(true);
        connection->set_tcp_nodelay(true);
        connection->set_decompress(false);
        connection->set_url_encode(false);
        connection->set_connection_timeout(settings.timeout_);
        connection->set_read_timeout(settings.timeout_);
        connection->set_write_timeout(settings.timeout_);
        connections.push_back(std::move(connection));
    }
    return connections;
}

auto makeRequest(const LoadSettings &settings, std::int64_t number) -> httplib::Request
{
    auto request = httplib::Request {};
    request.method = settings.method_;
    request.path = settings.path_;
    request.set_header("Host", settings.host_);
    request.set_header("X-Test-Id", "load-" + std::to_string(getpid()) + "-" + std::to_string(number));
    if (!settings.key_.empty()) {
        request.set_header("Authorization", "Bearer " + settings.key_);
    }
    if (!settings.idempotencyPrefix_.empty()) {
        request.set_header("Idempotency-Key", settings.idempotencyPrefix_ + std::to_string(number));
    }
    for (const auto &header : settings.headers_) {
        const auto colon = std::min(header.find(':'), header.size());
        request.set_header(header.substr(0, colon), colon < header.size() ? header.substr(colon + 1) : "");
    }
    request.body = std::string(settings.bodyBytes_, 'b');
    return request;
}

auto microsecondsSince(Clock::time_point begin) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begin).count();
}

auto sendRequest(httplib::Client &connection, const httplib::Request &request, Clock::time_point scheduledStart, LoadResult &result) -> void
{
    const auto begin = Clock::now();
    const auto response = connection.send(request);
    ++result.sent_;
    if (!response) {
        ++result.errors_[httplib::to_string(response.error())];
        return;
    }
    ++result.statuses_[std::to_string(response->status)];
    ++result.outcomes_[response->get_header_value("X-Request-Outcome")];
    const auto reason = response->get_header_value("X-Refusal-Reason");
    if (!reason.empty()) {
        ++result.reasons_[reason];
    }
    // Refusals are fast; including their latency would make an overloaded system appear fast.
    if (response->status < firstErrorStatus) {
        result.latencies_.push_back(microsecondsSince(scheduledStart));
        result.serviceLatencies_.push_back(microsecondsSince(begin));
    }
}

/** Sends requests whose numbers are taken from the counter shared by all threads. */
auto runThread(const LoadSettings &settings, Clock::time_point start, std::atomic<std::int64_t> &nextNumber, LoadResult &result) -> void
{
    const auto total = static_cast<std::int64_t>(settings.rate_ * settings.duration_.count());
    auto connections = openConnections(settings);
    for (auto number = nextNumber++; number < total; number = nextNumber++) {
        const auto offset = std::chrono::duration<double>(static_cast<double>(number) / settings.rate_);
        const auto scheduledStart = start + std::chrono::duration_cast<Clock::duration>(offset);
        std::this_thread::sleep_until(scheduledStart);
        // Limits the total time when the system does not respond.
        if (Clock::now() > start + std::chrono::duration_cast<Clock::duration>(settings.duration_) + settings.timeout_) {
            return;
        }
        auto &connection = *connections[static_cast<std::size_t>(number) % connections.size()];
        sendRequest(connection, makeRequest(settings, number), scheduledStart, result);
    }
}

auto addCounts(Counts &total, const Counts &part) -> void
{
    for (const auto &[name, count] : part) {
        total[name] += count;
    }
}

auto addResult(LoadResult &total, const LoadResult &part) -> void
{
    total.sent_ += part.sent_;
    total.latencies_.insert(total.latencies_.end(), part.latencies_.begin(), part.latencies_.end());
    total.serviceLatencies_.insert(total.serviceLatencies_.end(), part.serviceLatencies_.begin(), part.serviceLatencies_.end());
    addCounts(total.statuses_, part.statuses_);
    addCounts(total.outcomes_, part.outcomes_);
    addCounts(total.reasons_, part.reasons_);
    addCounts(total.errors_, part.errors_);
}

/** Nearest-rank percentile of the sorted values for a fraction; null when there are no values. */
auto percentile(const std::vector<std::int64_t> &sorted, double fraction) -> Json
{
    if (sorted.empty()) {
        return Json();
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
}

auto describe(LoadResult &result, double seconds) -> std::string
{
    std::sort(result.latencies_.begin(), result.latencies_.end());
    std::sort(result.serviceLatencies_.begin(), result.serviceLatencies_.end());
    const auto report = Json { { "sent", result.sent_ },
                               { "seconds", seconds },
                               { "served", result.latencies_.size() },
                               { "p50_us", percentile(result.latencies_, medianFraction) },
                               { "p99_us", percentile(result.latencies_, tailFraction) },
                               { "max_us", percentile(result.latencies_, 1) },
                               { "service_p50_us", percentile(result.serviceLatencies_, medianFraction) },
                               { "service_p99_us", percentile(result.serviceLatencies_, tailFraction) },
                               { "statuses", result.statuses_ },
                               { "outcomes", result.outcomes_ },
                               { "reasons", result.reasons_ },
                               { "errors", result.errors_ } };
    return report.dump();
}

}

auto isValid(const LoadSettings &settings) -> bool
{
    return settings.rate_ > 0 && settings.threads_ > 0 && !settings.targets_.empty() && settings.duration_.count() > 0 && settings.duration_ <= maximumDuration;
}

auto runLoad(const LoadSettings &settings) -> std::string
{
    auto nextNumber = std::atomic<std::int64_t> { 0 };
    auto results = std::vector<LoadResult>(static_cast<std::size_t>(settings.threads_));
    auto threads = std::vector<std::thread> {};
    const auto start = Clock::now();
    for (auto &result : results) {
        threads.emplace_back([&] {
            runThread(settings, start, nextNumber, result);
        });
    }
    auto total = LoadResult {};
    for (auto index = std::size_t { 0 }; index < threads.size(); ++index) {
        threads[index].join();
        addResult(total, results[index]);
    }
    return describe(total, std::chrono::duration<double>(Clock::now() - start).count());
}

}
