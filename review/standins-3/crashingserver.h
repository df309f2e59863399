/** A backend server that crashes and starts again: all its connections are closed, its port is closed meanwhile, and it comes back under a new id. */
#pragma once

#include "stage.h"

#include <atomic>
#include <memory>
#include <string>

namespace review
{

/** What a server does with a request until it answers; false if it ended before. */
[[nodiscard]] auto work(const standin::HttpRequest &request, Milliseconds time) -> bool;

class CrashingServer
{
public:
    /** Starts and registers the server under the id "PREFIX-START". */
    CrashingServer(Stage &stage, std::string prefix, std::string service, std::string address, standin::HttpHandler handler);

    /** Closes the port and all connections at once. */
    auto crash() -> void;
    /** Starts it again on the same address and registers it, in the place of the earlier entry. */
    auto restart() -> void;

    [[nodiscard]] auto id() const -> std::string;

private:
    auto start() -> void;

    Stage &stage_;
    std::string prefix_;
    std::string service_;
    std::string address_;
    standin::HttpHandler handler_;
    std::atomic<int> starts_ = 0;
    std::unique_ptr<standin::HttpServer> server_;
};

}
