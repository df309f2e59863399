/** A small deployment for the cases of the third review: real daemons, the store's stand-in, and backend servers whose answers a case decides. */
#pragma once

#include "../../tests/integration/support/process.h"
#include "../../tests/platform/support/keyvalueserver.h"
#include "../../tests/standins/support/httpserver.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** Exit codes of a case. */
inline constexpr auto ruleHeld = 0;
inline constexpr auto ruleBroken = 1;
inline constexpr auto couldNotRun = 2;

/** Whether the case is to inject its disruption: false with TROUBLE=0. */
[[nodiscard]] auto hasTrouble() -> bool;

/** Writes lines with the time since the start of the case to a file. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &file);

    auto line(const std::string &text) -> void;

private:
    std::mutex mutex_;
    std::ofstream stream_;
    Clock::time_point startedAt_ = Clock::now();
};

/** The response to a request, as far as it was received. */
struct ClientResponse
{
    bool isComplete_ = false;
    int status_ = 0;
    /** The whole head, with its status line. */
    std::string head_;
    std::size_t bodyBytes_ = 0;
    /** Length of the body that the head states. */
    std::size_t statedBytes_ = 0;
    /** Why the response is not complete. */
    std::string error_;
};

/** How a client reads. */
struct ReadingPace
{
    /** Bytes of one read and the pause after it; no pause if zero. */
    std::size_t bytes_ = std::size_t { 64 } * 1024;
    Milliseconds pause_ { 0 };
};

/** A client's connection to one entry host, kept for several requests. */
class ClientConnection
{
public:
    /** Connects. A segment size above 0 is set as on a network with such packets, and the buffer size bounds what the client's system reads ahead. */
    explicit ClientConnection(const std::string &address, int segmentBytes = 0, int bufferBytes = 0);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    auto operator=(const ClientConnection &) -> ClientConnection & = delete;

    [[nodiscard]] auto isOpen() const -> bool;
    /** Sends the bytes of a request; false if the connection is closed. */
    auto send(const std::string &bytes) -> bool;
    /** Reads one response, whose head must state the length of its body, until the deadline. */
    [[nodiscard]] auto read(Clock::time_point deadline, const ReadingPace &pace = {}) -> ClientResponse;

private:
    auto receive(Clock::time_point deadline, std::size_t limit, std::string &error) -> bool;

    int socket_ = -1;
    std::string buffer_;
};

/** The bytes of a request of a client. */
[[nodiscard]] auto requestBytes(const std::string &method, const std::string &path, const std::string &id, Milliseconds timeLimit, const std::string &body = "")
    -> std::string;

/** One entry host. */
struct StageHost
{
    std::string name_;
    std::string zone_;
    std::string ip_;
    std::string settingsFile_;
    std::unique_ptr<integration::Process> process_;

    [[nodiscard]] auto callerAddress() const -> std::string;
};

/** Sizes of the deployment, in the settings of each host. */
struct StageSettings
{
    int memoryMegabytes_ = 112;
    Milliseconds grace_ { 6000 };
    Milliseconds drain_ { 4000 };
};

/** The deployment: one region with the zones west-a and west-b. Everything listens on loopback addresses that belong to this process. */
class Stage
{
public:
    explicit Stage(StageSettings settings = {});
    ~Stage();
    Stage(const Stage &) = delete;
    auto operator=(const Stage &) -> Stage & = delete;

    /** Starts a backend server and registers it. */
    auto addBackend(const std::string &id, const std::string &service, const std::string &zone, const standin::HttpHandler &handler) -> void;
    /** Writes the entry of a backend server that has just started. */
    auto registerBackend(const std::string &id, const std::string &service, const std::string &zone, const std::string &address) -> void;
    /** Removes a backend server's entry, as a server that leaves without reporting it. The server goes on serving. Returns when the store has accepted it. */
    auto removeBackend(const std::string &id) -> void;
    /** Waits until each host has begun a watch since the last cut, and cuts the watches that wait at the store, which goes on serving at once. */
    auto cutWatches() -> void;
    /** Writes a configuration as the operator does. */
    auto configure(const nlohmann::json &configuration) -> void;
    auto addHost(const std::string &zone) -> void;
    /** Starts all hosts and waits until they are ready; false after 20 s. */
    [[nodiscard]] auto start() -> bool;
    [[nodiscard]] auto hosts() -> std::vector<StageHost> &;

private:
    StageSettings settings_;
    std::string folder_;
    platformtest::KeyValueServer store_;
    int watchesAtLastCut_ = 0;
    std::vector<std::unique_ptr<standin::HttpServer>> backends_;
    std::vector<StageHost> hosts_;
};

/** A route of a configuration. */
[[nodiscard]] auto routeJson(const std::string &name, const std::string &kind, const std::string &service, Milliseconds timeout) -> nlohmann::json;

/** A configuration without tenants. */
[[nodiscard]] auto configurationJson(const std::vector<std::string> &services, const std::vector<nlohmann::json> &routes) -> nlohmann::json;

/** The answer of a backend server to a request that it has run. */
[[nodiscard]] auto answerTo(const standin::HttpRequest &request, const std::string &server, int status, std::size_t bodyBytes) -> standin::HttpResponse;

}
