/** An HTTP client of the system under test that records every call. */
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
    /** API key, sent as a bearer token; none is sent if empty. */
    std::string key_;
    std::string idempotencyKey_;
    /** Sent as X-Test-Id; generated if empty. */
    std::string testId_;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    std::chrono::milliseconds timeout_ { 5000 };
    /** Whether the backend servers together may execute the request with this X-Test-Id at most once. */
    bool runsAtMostOnce_ = false;
};

/** The response to a request, or the reason why there is none. */
struct CallerResponse
{
    /** False if no complete response arrived. */
    bool isComplete_ = false;
    int status_ = 0;
    /** X-Request-Outcome. */
    std::string outcome_;
    /** X-Refusal-Reason. */
    std::string reason_;
    std::string body_;
    /** Transport error if the response is missing or incomplete. */
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

/** Returns an identifier for X-Test-Id that is unique across calls and test processes. */
[[nodiscard]] auto makeTestId() -> std::string;

/** Sends requests and records them. Thread-safe; each call uses a new connection. */
class Caller
{
public:
    /** Sends a request to an entry host, given as ADDRESS:PORT, and waits for the response. */
    auto send(const std::string &entryHost, CallerRequest request) -> CallerResponse;

    /** All finished calls. */
    [[nodiscard]] auto records() const -> std::vector<CallRecord>;

private:
    mutable std::mutex mutex_;
    std::vector<CallRecord> records_;
};

}
