/** A caller of the system under test, which remembers every call it made. */
#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace integration
{

/** A request to send. */
struct CallerRequest
{
    std::string method_ = "GET";
    std::string path_ = "/";
    /** Host header. */
    std::string host_ = "service.example";
    /** Sent as a bearer token; empty: none. */
    std::string key_;
    std::string idempotencyKey_;
    /** Sent as X-Test-Id; empty: a new identifier is made. */
    std::string testId_;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    std::chrono::milliseconds timeout_ { 5000 };
    /** Whether the backend servers may execute this identifier at most once. */
    bool runsAtMostOnce_ = false;
};

/** What came back. */
struct CallerResponse
{
    /** False when there was no complete answer. */
    bool isComplete_ = false;
    int status_ = 0;
    /** X-Request-Outcome. */
    std::string outcome_;
    /** X-Refusal-Reason. */
    std::string reason_;
    std::string body_;
    /** Why there was no answer. */
    std::string error_;
    std::chrono::microseconds latency_ {};
};

/** A finished call. */
struct CallRecord
{
    std::string entryHost_;
    CallerRequest request_;
    CallerResponse response_;
    std::chrono::steady_clock::time_point startedAt_;
};

/** An identifier for X-Test-Id that no other call of this program uses. */
[[nodiscard]] auto makeTestId() -> std::string;

/** Sends requests and records them. Thread-safe; each call has its own connection unless a Connection is used. */
class Caller
{
public:
    /** Sends a request to an entry host on a new connection. */
    auto send(const std::string &entryHost, CallerRequest request) -> CallerResponse;

    /** All finished calls. */
    [[nodiscard]] auto records() const -> std::vector<CallRecord>;

private:
    mutable std::mutex mutex_;
    std::vector<CallRecord> records_;
};

}
