#include "crashingserver.h"

#include <fmt/format.h>

#include <stdexcept>
#include <thread>
#include <utility>

namespace review
{

namespace
{

constexpr auto maximumConnections = 600;
constexpr auto workStep = Milliseconds { 10 };

}

auto work(const standin::HttpRequest &request, Milliseconds time) -> bool
{
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
        std::this_thread::sleep_for(workStep);
        if (standin::isPeerClosed(request.socket_)) {
            return false;
        }
    }
    return true;
}

CrashingServer::CrashingServer(Stage &stage, std::string prefix, std::string service, std::string address, standin::HttpHandler handler)
    : stage_(stage)
    , prefix_(std::move(prefix))
    , service_(std::move(service))
    , address_(std::move(address))
    , handler_(std::move(handler))
{
    start();
}

auto CrashingServer::start() -> void
{
    starts_ += 1;
    server_ = std::make_unique<standin::HttpServer>(handler_, maximumConnections);
    if (!server_->start(address_)) {
        throw std::runtime_error("a backend server cannot listen");
    }
    address_ = server_->address();
    stage_.registerBackend(id(), service_, "west-a", address_);
}

auto CrashingServer::crash() -> void
{
    server_->stop();
    server_.reset();
}

auto CrashingServer::restart() -> void
{
    stage_.removeBackend(id());
    start();
}

auto CrashingServer::id() const -> std::string
{
    return fmt::format("{}-{}", prefix_, starts_.load());
}

}
