/** A small deployment for the review's scripts: daemons as the deploy file starts them, and stand-ins for the store, the upstreams and the clients. */
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

/** Exit codes of the scripts. */
constexpr auto ruleHeld = 0;
constexpr auto ruleBroken = 1;
constexpr auto couldNotRun = 2;

/** Whether the disruption is to take place; TROUBLE=0 leaves it out. */
[[nodiscard]] auto isTroubled() -> bool;

/** Writes lines with the time since the start to record.txt and to standard output. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &file);
    auto write(const std::string &line) -> void;

private:
    std::mutex mutex_;
    std::ofstream stream_;
    Clock::time_point startedAt_;
};

/** A request as an upstream receives it. */
struct UpstreamRequest
{
    std::string method_;
    std::string path_;
    /** X-Request-Id, X-Deadline-Ms and X-Tenant. */
    std::string id_;
    std::string remainingMilliseconds_;
    std::string tenant_;
};

/** What an upstream answers when it has run a request. */
struct UpstreamAnswer
{
    int status_ = 200;
    std::string body_;
};

/** An upstream. Its function runs the requests, several at a time. */
struct UpstreamSettings
{
    std::string instance_;
    std::string service_;
    std::string zone_;
    std::function<UpstreamAnswer(const UpstreamRequest &)> run_;
    int slots_ = 9;
};

/** An entry host. */
struct Host
{
    std::string name_;
    std::string zone_;
    std::string ip_;
    std::string front_;
    std::string settingsFile_;
    pid_t pid_ = -1;
};

struct DeploymentSettings
{
    int memoryMegabytes_ = 112;
    int hostsPerZone_ = 1;
    /** Time from SIGTERM to SIGKILL, in seconds. */
    int graceSeconds_ = 6;
};

/** Two zones in two regions. The destructor ends all processes that it has started; so does a time limit for the whole script. */
class Deployment
{
public:
    explicit Deployment(DeploymentSettings settings);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    auto operator=(const Deployment &) -> Deployment & = delete;

    auto addUpstream(const UpstreamSettings &settings) -> void;
    /** Writes the next version of the configuration with these routes, services and tenants. */
    auto configure(const Json &routes, const std::vector<std::string> &services, const Json &tenants) -> void;
    auto startHosts() -> void;
    auto startHost(Host &host) -> void;
    /** Whether the process still runs; notes how it has ended otherwise. */
    [[nodiscard]] auto isRunning(Host &host) -> bool;
    /** Largest resident memory of the process so far, in megabytes; 0 if it doesn't run. */
    [[nodiscard]] auto peakMegabytes(const Host &host) const -> int;
    /** How the process of a host ended. */
    [[nodiscard]] auto endOf(const Host &host) const -> std::string;
    auto signal(const Host &host, int number) -> void;
    [[nodiscard]] auto hosts() -> std::vector<Host> &;
    /** Waits until every host answers this request with 200; false after 20 s. */
    [[nodiscard]] auto waitUntilServing(const std::string &path, const std::string &key) -> bool;

private:
    struct Platform;

    auto writeSettings(const Host &host) -> void;
    [[nodiscard]] auto ip(int third, int fourth) const -> std::string;

    DeploymentSettings settings_;
    std::string folder_;
    int secondOctet_;
    int version_ = 0;
    std::unique_ptr<Platform> platform_;
    std::vector<Host> hosts_;
    std::vector<std::pair<std::string, std::string>> ends_;
};

/** What a client received for one request. */
struct Answer
{
    /** 0 if the connection ended without a complete answer. */
    int status_ = 0;
    std::size_t bodyBytes_ = 0;
    /** All bytes that were received, also of an incomplete answer. */
    std::size_t receivedBytes_ = 0;
    std::string stamp_;
    /** The connection ended before the answer was complete; false at the client's time limit. */
    bool isClosed_ = false;
    double seconds_ = 0;
};

/** A client's connection, which is kept for several requests. */
class ClientConnection
{
public:
    explicit ClientConnection(const std::string &address);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    auto operator=(const ClientConnection &) -> ClientConnection & = delete;

    /** Sends a request and waits for its answer for as long as the request says. */
    auto send(const std::string &method, const std::string &path, const std::string &key, const std::string &id, std::chrono::milliseconds timeLimit) -> Answer;

    /** Sends the head of an upload and a part of its body; false if the connection does not take them. */
    [[nodiscard]] auto beginUpload(const std::string &path, const std::string &key, const std::string &id, std::size_t bodyBytes, std::size_t sentBytes)
        -> bool;

    /** Limits the bytes that are read per second; 0 is no limit. */
    auto setReadRate(std::size_t bytesPerSecond) -> void;
    /** Header lines that later requests contain, each with its line end. */
    auto setFurtherHeaders(const std::string &lines) -> void;

private:
    int socket_;
    std::string furtherHeaders_;
    std::size_t bytesPerSecond_ = 0;
};

/** A route as the operator writes it. */
[[nodiscard]] auto routeJson(const std::string &name, const std::string &kind, const std::string &service, int maximumAttempts) -> Json;

}
