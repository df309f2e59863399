/** Callers that send requests to one host around its planned stop and record what became of them. */
#pragma once

#include "connection/tcpconnection.h"
#include "support/fleet.h"

#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace platformtest
{

/** A request to send around a stop. */
struct StopRequest
{
    /** When the head is sent, from the stop signal; negative before it. */
    std::chrono::milliseconds after_ {};
    std::string path_;
    /** Length of the body; a request with one is a POST. */
    std::size_t bodyBytes_ = 0;
    /** Time from the head to the body. */
    std::chrono::milliseconds bodyDelay_ {};
    /** Time from the end of the request until the caller begins to read the response. */
    std::chrono::milliseconds readDelay_ {};
    /** The caller's time limit, as stated in the request. */
    std::chrono::milliseconds timeLimit_ { 6000 };
    /** How long the backend server works on the request; its own time if none is given. */
    std::optional<std::chrono::milliseconds> work_ = std::nullopt;
};

/** What became of a request around a stop. */
struct StopCall
{
    std::string id_;
    /** When the caller began to send it, from the signal; later than planned on a busy machine. */
    std::chrono::milliseconds sentAfter_;
    bool isAnswered_ = false;
    int status_ = 0;
    /** When the response was complete, or found missing, from the signal. */
    std::chrono::milliseconds endedAfter_ {};
    /** Whether the response says that it is the last one on its connection. */
    bool closesConnection_ = false;
};

/** Sends requests to one host around its planned stop, each from a thread of its own. */
class StopCallers
{
public:
    StopCallers(const FleetHost &host, std::chrono::steady_clock::time_point signalAt);
    ~StopCallers();
    StopCallers(const StopCallers &) = delete;
    auto operator=(const StopCallers &) -> StopCallers & = delete;

    /** Sends one request on a connection of its own. Returns its identifier. */
    auto sendAt(const StopRequest &request) -> std::string;

    /**
     * Sends two requests on one connection, the second at its time even if the first has no response yet. The second counts as unanswered if the first
     * response closes the connection. Returns their identifiers.
     */
    auto sendBehind(const StopRequest &first, const StopRequest &second) -> std::pair<std::string, std::string>;

    /** Sends requests one after the other on kept connections until the host accepts none. */
    auto sendOnKeptConnection(std::chrono::milliseconds from, const std::string &path) -> void;

    /** Waits until all requests have ended and returns what became of them. */
    auto join() -> std::vector<StopCall>;

private:
    [[nodiscard]] auto nextId() -> std::string;
    [[nodiscard]] auto sinceSignal() const -> std::chrono::milliseconds;
    auto write(const std::string &id, const StopRequest &request, lycheecleat::TcpConnection &connection) const -> void;
    /** Reads the response. Returns whether the connection may be used again. */
    auto record(const std::string &id, std::chrono::milliseconds after, lycheecleat::TcpConnection &connection) -> bool;
    auto recordUnanswered(const std::string &id, std::chrono::milliseconds after) -> void;

    const FleetHost &host_;
    const std::chrono::steady_clock::time_point signalAt_;
    int count_ = 0;
    std::mutex mutex_;
    std::vector<StopCall> calls_;
    std::vector<std::thread> callers_;
};

}
