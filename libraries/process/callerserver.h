/** Accepts callers' connections and takes each request to the handler. */
#pragma once

#include "core/error.h"
#include "request/httpfields.h"
#include "request/idempotencytable.h"

#include <absl/time/time.h>
#include <httplib.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Path of lookups; every other path goes to the request handler. */
inline constexpr auto lookupPath = "/.well-known/lycheecleat/lookup";

/** How callers are served. */
struct CallerServerSettings
{
    /** IP address and port; port 0 takes a free one. */
    std::string address_;
    /** Further addresses, whose requests name the address in ReceivedRequest::listener_. */
    std::vector<std::string> furtherAddresses_ = {};
    /** Requests served at once. Requests beyond it are refused as not run. */
    int maximumRequests_ = 256;
    /** Connections open at once; further ones are closed. */
    std::size_t maximumConnections_ = 20'000;
    std::size_t maximumHeadBytes_ = std::size_t { 32 } * 1024;
    /** Longest time from the first byte of a request to the end of its head, and from there to the end of its body. */
    absl::Duration readTimeout_ = absl::Seconds(5);
    /** Longest time from the start of a request to the end of its body, and its largest size, where the route does not limit it. */
    absl::Duration bodyTimeout_ = absl::Seconds(30);
    std::size_t maximumBodyBytes_ = std::size_t { 64 } * 1024 * 1024;
    absl::Duration writeTimeout_ = absl::Seconds(10);
    absl::Duration idleTimeout_ = absl::Seconds(60);
    /** How long idle connections are still served after stop was called, so that a request on its way is not lost. */
    absl::Duration stopGrace_ = absl::Milliseconds(500);
};

/** A whole request as it came. */
struct ReceivedRequest
{
    const RequestContent &content_;
    /** Monotonic time at which the first part of the request was read. */
    absl::Time receivedAt_;
    /** The caller's socket, to be watched while its request runs. */
    int socket_ = -1;
    /** 0 for the first address, then the further addresses in order. */
    std::size_t listener_ = 0;
};

/** An answer for a caller. */
struct CallerAnswer
{
    HttpResponse answer_;
    /** Closes the connection after the answer. */
    bool closes_ = false;
    /** Closes the connection without an answer: the caller has left. */
    bool isAbandoned_ = false;
};

/** How long callers may take, which a configuration may change while the server runs. */
struct CallerTimeouts
{
    absl::Duration read_ = absl::Seconds(5);
    absl::Duration idle_ = absl::Seconds(60);
};

/** What the server calls. Each call may come from any of its threads. */
struct CallerHandlers
{
    std::function<void(const httplib::Request &, httplib::Response &)> handle_;
    std::function<void(const httplib::Request &, httplib::Response &)> lookup_;
    /** Largest body of a request whose head is known. */
    std::function<std::size_t(const httplib::Request &)> bodyLimit_;
    /** Answers every request in place of the functions above. */
    std::function<CallerAnswer(const ReceivedRequest &)> answer_ = nullptr;
    /** Answers a request that is not served because too many are. */
    std::function<CallerAnswer(const ReceivedRequest &)> answerOverloaded_ = nullptr;
    /** Replaces the times of the settings. */
    std::function<CallerTimeouts()> timeouts_ = nullptr;
};

/**
 * An HTTP/1.1 server. Idle connections wait in one epoll set; a thread is taken up only from a whole request head to the end of the answer.
 * The header values and bodies that the handler sees are exactly those that were sent.
 */
class CallerServer
{
public:
    CallerServer(CallerServerSettings settings, CallerHandlers handlers);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    auto operator=(const CallerServer &) -> CallerServer & = delete;

    /** Binds and starts to serve. Errors: the address cannot be bound. */
    [[nodiscard]] auto start() -> Result<void>;

    /** The port in use after start. */
    [[nodiscard]] auto port() const -> int;

    /** Accepts nothing new, finishes every request in flight, closes all connections and returns. Answers carry Connection: close. */
    auto stop() -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

}
