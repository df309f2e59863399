/** TCP proxy whose faults can be switched on and off at run time. */
#pragma once

#include "support/connectionowner.h"
#include "support/httpserver.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace standin
{

/** A listening address and the target to which its connections are forwarded. */
struct ProxyLink
{
    std::string name_;
    std::string listen_;
    std::string target_;
};

/** Faults of one link. */
struct LinkFaults
{
    /** Refuses new connections and resets open ones. */
    bool isCut_ = false;
    /** Keeps connections open but forwards nothing until the fault is switched off. */
    bool isFrozen_ = false;
    /** Discards all bytes sent by the target. */
    bool dropsResponses_ = false;
    /** Delay of every byte in each direction. */
    std::chrono::milliseconds delay_ {};
};

/**
 * Forwards the connections of its links and injects faults. Control calls: POST /control/cut, freeze, drop-replies {"links": [...], "on"}, delay {"links",
 * "ms"}, silence {"links"}; GET /control/links. A link is given by its full name or by a prefix that ends in "*". With "sources": [NAME, ...] a fault applies
 * only to the connections of those processes; POST /control/sources {NAME: PID} sets the names and must come before the processes connect. Silence makes the
 * connections that are open at the call permanently unresponsive; new ones work.
 */
class FaultProxy
{
public:
    explicit FaultProxy(std::vector<ProxyLink> links);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    auto operator=(const FaultProxy &) -> FaultProxy & = delete;

    /** Listens on all links and on the control address; false when an address can't be used. */
    [[nodiscard]] auto start(const std::string &controlAddress) -> bool;
    [[nodiscard]] auto controlAddress() const -> const std::string &;

private:
    struct Connection;
    struct Link;

    /** The links, and their connections, to which a control call applies. */
    struct Selection
    {
        std::vector<std::string> links_;
        /** Names of processes; empty for all connections. */
        std::vector<std::string> sources_;
    };

    auto handleControl(const HttpRequest &request) -> HttpResponse;
    auto linksResponse() -> HttpResponse;
    auto setSources(const HttpRequest &request) -> HttpResponse;
    auto changeFaults(const Selection &selection, const std::function<void(LinkFaults &)> &change) -> int;
    auto silenceConnections(const Selection &selection) -> int;
    auto updateLinks(const std::vector<std::string> &patterns, const std::function<void(Link &)> &change) -> int;
    auto reopenListener(Link &link) -> void;
    auto acceptLoop(Link &link) -> void;
    /** The faults that apply to a connection; nothing when the connection must be reset. */
    auto faultsOf(const Link &link, const Connection &connection) -> std::optional<LinkFaults>;
    auto relayConnection(Link &link, Connection &connection) -> void;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::unique_ptr<Link>> links_;
    NamedProcesses sources_;
    bool isStopping_ = false;
    HttpServer control_;
};

}
