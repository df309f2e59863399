/** HTTP server of the stand-ins: one thread per connection, full control over the bytes of a response, and a copy of every byte received. */
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin
{

/** A received request. */
struct HttpRequest
{
    std::string method_;
    /** Path without the query, percent-decoded. */
    std::string path_;
    std::map<std::string, std::string> query_;
    /** Names in lower case, in the order received. */
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    /** All bytes as received, from the request line to the end of the body. */
    std::string raw_;
    /** Socket of the connection, for isPeerClosed. */
    int socket_ = -1;
};

/** A response and how to send it. */
struct HttpResponse
{
    int status_ = 200;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    /** Closes the connection without sending anything. */
    bool isDropped_ = false;
    /** Sends no Content-Length and ends the body by closing the connection. */
    bool omitsContentLength_ = false;
    /** Sends only this many bytes of the body and closes the connection. */
    std::optional<std::size_t> truncatedBodyBytes_;
    /** Closes the connection after the response. */
    bool closesConnection_ = false;
};

/** Computes the response to a request. Called concurrently from the connection threads. */
using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/** Receives the bytes of an incomplete request when its connection ends. Called concurrently from the connection threads. */
using IncompleteRequestHandler = std::function<void(const std::string &)>;

/** First value of a header whose name is given in lower case; empty when it is absent. */
[[nodiscard]] auto headerValue(const HttpRequest &request, const std::string &name) -> std::string;

/** Whether the peer has closed or reset the connection. */
[[nodiscard]] auto isPeerClosed(int socket) -> bool;

/** Sends bytes; false if the peer closes the connection before their end. */
auto sendAll(int socket, const std::string &bytes) -> bool;

/** Sends bytes, and then others again and again, until the peer closes the connection or a limit of bytes is reached. */
auto sendEndlessly(int socket, const std::string &first, const std::string &repeated) -> void;

/** A response with a JSON body. */
[[nodiscard]] auto jsonResponse(int status, std::string text) -> HttpResponse;

/** HTTP server. The destructor stops it. */
class HttpServer
{
public:
    /** Connections above the limit are closed when they are accepted. */
    HttpServer(HttpHandler handler, int maximumConnections, IncompleteRequestHandler incompleteRequestHandler = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /** Listens on "IP:PORT" (port 0: any) and accepts in its own thread; false when the address can't be used. */
    [[nodiscard]] auto start(const std::string &address) -> bool;

    /** The bound address with its port. */
    [[nodiscard]] auto address() const -> const std::string &;

    /** Closes the listener and all connections and waits for their threads. */
    auto stop() -> void;

    /** Shuts down all open connections; the listener stays open. */
    auto closeConnections() -> void;

    /** Number of open connections. */
    [[nodiscard]] auto connectionCount() -> int;

private:
    auto acceptLoop() -> void;
    auto serve(int socket) -> void;

    HttpHandler handler_;
    int maximumConnections_;
    IncompleteRequestHandler incompleteRequestHandler_;
    int listener_ = -1;
    std::string address_;
    std::atomic<bool> isStopping_ = false;
    std::thread acceptor_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<int> sockets_;
};

}
