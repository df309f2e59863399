/**
 * A small deployment for the review's scripts: the project's daemon as separate processes on loopback addresses, and stand-ins for the platform's store, the
 * upstreams and the clients. The stand-ins do what the users' pages say and nothing else, except for what a case asks of them.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** Exit codes of a case. */
constexpr auto ruleHeld = 0;
constexpr auto ruleBroken = 1;
constexpr auto couldNotRun = 2;

/** Whether the disruption is left out (TROUBLE=0). */
[[nodiscard]] auto isTroubleOff() -> bool;

/** Writes lines with the time since the start of the case to record.txt. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &file);
    auto add(const std::string &line) -> void;

private:
    std::mutex mutex_;
    std::ofstream stream_;
    const Clock::time_point start_ = Clock::now();
};

/** An HTTP/1.1 message whose body has a Content-Length. Header names are in lower case. */
struct Message
{
    /** Method and target of a request, or version and status of a response. */
    std::string first_;
    std::string second_;
    std::map<std::string, std::string> headers_;
    std::string body_;

    [[nodiscard]] auto header(const std::string &name) const -> std::string;
};

enum class ReadResult {
    Complete,
    /** The peer closed or reset the connection. */
    Closed,
    TimedOut,
};

/** Reads one message; bytes beyond it stay in the buffer. A slow peer pauses after each piece of 64 KB. */
auto readMessage(int socket, std::string &buffer, Message &message, Clock::time_point deadline, Milliseconds pause = Milliseconds { 0 }) -> ReadResult;

/** Writes all bytes; false if the connection failed. */
auto writeAll(int socket, const std::string &bytes) -> bool;

/** Accepts connections on a free port of an IP address and serves each in a thread of its own. */
class Listener
{
public:
    /** Returns the response to a request; the connection is closed without one if it is empty. */
    using Handler = std::function<std::string(const Message &)>;

    /** Connections on which no request arrives for the idle time are closed. Throws when the address can't be used. */
    Listener(const std::string &ip, Milliseconds idleTime, Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;

    [[nodiscard]] auto address() const -> const std::string &;

    /** Closes the listener and all connections, as at the end of a process. */
    auto stop() -> void;

private:
    auto acceptAll() -> void;
    auto serve(int socket) -> void;

    Handler handler_;
    const Milliseconds idleTime_;
    int socket_ = -1;
    std::string address_;
    std::atomic<bool> isStopping_ = false;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<int> connections_;
    std::thread acceptor_;
};

/** The platform's store. */
class Store
{
public:
    explicit Store(const std::string &ip);
    ~Store();
    Store(const Store &) = delete;
    auto operator=(const Store &) -> Store & = delete;

    [[nodiscard]] auto address() const -> const std::string &;

    /** Writes as the operator and the upstreams do. */
    auto put(const std::string &key, const nlohmann::json &value) -> void;
    auto remove(const std::string &key) -> void;

private:
    struct Item
    {
        std::string value_;
        std::int64_t revision_ = 0;
        std::int64_t created_ = 0;
        std::int64_t lease_ = 0;
    };
    struct Lease
    {
        Milliseconds lifetime_;
        Clock::time_point endsAt_;
    };

    auto handle(const Message &request) -> std::string;
    auto range(const std::string &prefix, const std::string &after) -> std::string;
    auto watch(std::unique_lock<std::mutex> &lock, const std::string &prefix, std::int64_t after, Milliseconds wait) -> std::string;
    auto transact(const nlohmann::json &body) -> std::string;
    auto write(const std::string &key, const std::string &value, std::int64_t lease) -> void;
    auto erase(const std::string &key) -> void;
    auto endLeases() -> void;

    std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopping_ = false;
    std::map<std::string, Item> items_;
    std::vector<nlohmann::json> events_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 0;
    std::unique_ptr<Listener> listener_;
};

/** What an upstream is. */
struct ServerSettings
{
    std::string id_;
    std::string service_;
    std::string zone_;
    std::string ip_;
    /** Requests that it processes at the same time, and requests that it queues besides. */
    int slots_ = 9;
    int queue_ = 27;
    Milliseconds work_ { 300 };
    /** Size of the answers to paths that end with "/report"; other answers are short. */
    std::size_t reportBytes_ = 0;
};

/** An upstream. It registers itself in the store, runs requests and writes each arrival and run to the record. */
class Server
{
public:
    Server(ServerSettings settings, Store &store, Record &record);
    ~Server();
    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;

    /** Reports "draining" and goes on serving. */
    auto drain() -> void;
    /** Removes its entry and ends. */
    auto end() -> void;

    /** Identifiers of the requests that it has run. */
    [[nodiscard]] auto runs() -> std::set<std::string>;

private:
    auto handle(const Message &request) -> std::string;
    auto report(const std::string &state) -> void;

    const ServerSettings settings_;
    const std::int64_t born_;
    Store &store_;
    Record &record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    int running_ = 0;
    int waiting_ = 0;
    int sequence_ = 0;
    bool isDraining_ = false;
    std::set<std::string> runs_;
    std::unique_ptr<Listener> listener_;
};

/** What a machine's settings say. */
struct HostSettings
{
    std::string name_;
    std::string zone_;
    std::string ip_;
    std::vector<std::string> seedIps_;
    int memoryMegabytes_ = 182;
    int maximumDescriptors_ = 2870;
};

/** A front machine with the project's daemon, started by the command of the deploy file. */
class Host
{
public:
    Host(HostSettings settings, const nlohmann::json &zones, const std::string &storeAddress, const std::string &folder);
    ~Host();
    Host(const Host &) = delete;
    auto operator=(const Host &) -> Host & = delete;

    auto start() -> void;
    /** SIGKILL. */
    auto kill() -> void;
    [[nodiscard]] auto isRunning() -> bool;
    /** How the process ended, for the record. */
    [[nodiscard]] auto describeEnd() const -> std::string;

    [[nodiscard]] auto name() const -> const std::string &;
    [[nodiscard]] auto frontAddress() const -> std::string;
    /** Whether the readiness question is answered with 200 within a second. */
    [[nodiscard]] auto isReady() const -> bool;
    /** Memory of the process that belongs to no file, in megabytes; 0 if it does not run. */
    [[nodiscard]] auto memoryMegabytes() const -> int;
    /** Open descriptors of the process. */
    [[nodiscard]] auto descriptors() const -> int;

private:
    const HostSettings settings_;
    std::string settingsFile_;
    std::string logFile_;
    pid_t pid_ = -1;
    int status_ = 0;
};

/** Waits until all machines are ready. Throws after 15 s. */
auto awaitReady(const std::vector<std::unique_ptr<Host>> &hosts) -> void;

enum class CallEnd {
    Answered,
    /** No connection was established within a second. */
    NotConnected,
    /** The connection was closed without a complete answer. */
    Closed,
    /** No complete answer within the client's time. */
    TimedOut,
};

/** What became of a request. */
struct Call
{
    std::string id_;
    CallEnd end_ = CallEnd::NotConnected;
    int status_ = 0;
    /** Whether it was sent on a connection that had carried a request before. */
    bool wasKept_ = false;
    Milliseconds duration_ { 0 };
};

/** A request of a client. */
struct CallSettings
{
    std::string method_ = "GET";
    std::string path_ = "/read/x";
    std::string object_ = "1";
    std::string body_;
    Milliseconds time_ { 4000 };
    /** Pause after each 64 KB of the answer, for a client with a slow link and a small window; none if it is 0. */
    Milliseconds readPause_ { 0 };
};

/** A client with one connection, which it keeps while it can. */
class Client
{
public:
    Client(std::string name, std::string address, Record &record);
    ~Client();
    Client(const Client &) = delete;
    auto operator=(const Client &) -> Client & = delete;

    auto call(const CallSettings &settings) -> Call;

private:
    auto close() -> void;

    const std::string name_;
    const std::string address_;
    Record &record_;
    int number_ = 0;
    int socket_ = -1;
    std::string buffer_;
};

/** The configuration of the cases: a safe route /read/ and an unsafe route /book/ of the service "s", and one tenant without a limit. */
[[nodiscard]] auto configuration() -> nlohmann::json;

/** An address of 127.0.0.0/8 that differs between runs: 127.N.third.fourth. */
[[nodiscard]] auto loopbackIp(int third, int fourth) -> std::string;

/** A new folder for settings and logs, removed at the end. */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    auto operator=(const TemporaryFolder &) -> TemporaryFolder & = delete;
    [[nodiscard]] auto path() const -> const std::string &;

private:
    std::string path_;
};

/** Polls until the condition holds; false after the time limit. */
auto waitFor(const std::function<bool()> &condition, Milliseconds limit) -> bool;

/** Runs a case and returns its exit code: couldNotRun if it throws. */
auto runCase(const std::function<int(Record &)> &body, const std::string &recordFile) -> int;

}
