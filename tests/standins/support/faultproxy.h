/** TCP proxy with faults that are switched on and off while it runs. */
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

/** A listening address and where its connections lead. */
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
    /** Keeps connections open and passes nothing until it is switched off. */
    bool isFrozen_ = false;
    /** Discards what the target sends. */
    bool dropsResponses_ = false;
    /** Delay of every byte in either direction. */
    std::chrono::milliseconds delay_ {};
};

/**
 * The proxy. Control calls: POST /control/cut, freeze, drop-replies {"links": [...], "on"}, delay {"links", "ms"}, silence {"links"}; GET /control/links.
 * With "sources": [NAME, ...] a fault applies to the connections of those processes only; POST /control/sources {NAME: PID} names them, which must be
 * done before they connect. A link is named in full or by a prefix that ends in "*". Silence makes the connections that are open now unresponsive for good; new
 * ones work.
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

    /** Which links, and which connections of them, a control call means. */
    struct Selection
    {
        std::vector<std::string> links_;
        /** Empty: all sources. */
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
    /** The faults that apply to a connection; none when it is to be reset. */
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
